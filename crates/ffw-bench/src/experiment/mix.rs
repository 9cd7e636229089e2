//! The mixes of requests of the two users.

use {
    super::Plan,
    eyre::{Result, eyre},
    ffw_standin::answer,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
};

/// Bytes of one prompt token.
const TOKEN_BYTES: usize = 4;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    pub(super) service: &'static str,
    pub(super) rank: u8,
    /// Share of the requests.
    share: f64,
    /// Prompt length in tokens, from and to.
    prompt: (u32, u32),
    /// Most output tokens.
    pub(super) max_tokens: u32,
    pub(super) first_token: Duration,
    pub(super) deadline: Duration,
}

/// A mix of requests with its declaration.
#[derive(Clone, Debug)]
pub(super) struct Mix {
    pub(super) declaration: &'static str,
    pub(super) model: &'static str,
    pub(super) pool: &'static str,
    pub(super) kinds: Vec<Kind>,
    /// Workspaces and their keys.
    pub(super) workspaces: Vec<(&'static str, &'static str)>,
}

/// One request to come.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) kind: Kind,
    pub(super) workspace: &'static str,
    pub(super) key: &'static str,
    pub(super) prompt: Arc<str>,
    pub(super) tokens_in: u32,
    pub(super) tokens_out: u32,
    /// Which daemon the balancer picks, as a number to reduce.
    pub(super) daemon: usize,
}

impl Mix {
    pub(super) fn named(name: &str) -> Result<Mix> {
        match name {
            "matariki" => Ok(matariki()),
            "port-louis" => Ok(port_louis()),
            _ => Err(eyre!("--mix `{name}` is neither matariki nor port-louis")),
        }
    }

    /// Requests a second at which the decode slots, or the prefill engines, are just full.
    pub(super) fn capacity(&self, plan: &Plan) -> f64 {
        let mean = |value: fn(&Kind) -> f64| -> f64 {
            self.kinds.iter().map(|kind| kind.share * value(kind)).sum()
        };
        let prompt = mean(|kind| f64::from(kind.prompt.0 + kind.prompt.1) / 2.0);
        let output = mean(|kind| f64::from(kind.max_tokens) * 0.75);
        let settings = super::run::engine();
        let hold =
            output * settings.token_time.as_secs_f64() + prompt / f64::from(settings.link_rate);
        let by_slots = plan.decodes as f64 * f64::from(settings.slots) / hold;
        let by_prefill = plan.prefills as f64 * f64::from(settings.prefill_rate) / prompt;
        by_slots.min(by_prefill)
    }

    /// Poisson arrivals at a multiple of the capacity.
    pub(super) fn arrivals(&self, plan: &Plan, load: f64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let rate = self.capacity(plan) * load;
        let (mut at, mut arrivals) = (0.0, Vec::new());
        while at < plan.seconds as f64 {
            at += -rng.gen_range(1e-9_f64..1.0).ln() / rate;
            arrivals.push(self.arrival(&mut rng, Duration::from_secs_f64(at)));
        }
        arrivals
    }

    fn arrival(&self, rng: &mut ChaCha8Rng, at: Duration) -> Arrival {
        let mut point = rng.gen_range(0.0..1.0);
        let mut kind = self.kinds[0];
        for one in &self.kinds {
            kind = *one;
            point -= one.share;
            if point < 0.0 {
                break;
            }
        }
        let tokens_in = rng.gen_range(kind.prompt.0..=kind.prompt.1);
        let prompt = prompt(rng, tokens_in);
        let (workspace, key) = self.workspaces[rng.gen_range(0..self.workspaces.len())];
        let tokens_out = answer::length(&prompt, kind.max_tokens);
        let daemon = rng.r#gen();
        Arrival { at, kind, workspace, key, prompt, tokens_in, tokens_out, daemon }
    }
}

fn prompt(rng: &mut ChaCha8Rng, tokens: u32) -> Arc<str> {
    let letters =
        (0..tokens as usize * TOKEN_BYTES).map(|_| char::from(rng.gen_range(b'a'..=b'z')));
    letters.collect::<String>().into()
}

fn matariki() -> Mix {
    let notes = Kind {
        service: "show-notes",
        rank: 1,
        share: 0.4,
        prompt: (1_000, 8_000),
        max_tokens: 512,
        first_token: Duration::from_millis(5_000),
        deadline: Duration::from_millis(30_000),
    };
    let captions = Kind {
        service: "captions",
        rank: 0,
        share: 0.6,
        prompt: (100, 1_500),
        max_tokens: 160,
        first_token: Duration::from_millis(710),
        deadline: Duration::from_millis(3_000),
    };
    Mix {
        declaration: include_str!("../../../../examples/matariki.toml"),
        model: "season-notes",
        pool: "notes",
        kinds: vec![notes, captions],
        workspaces: vec![("matariki", "matariki-demo-key"), ("kahurangi", "kahurangi-demo-key")],
    }
}

fn port_louis() -> Mix {
    let verdicts = Kind {
        service: "verdicts",
        rank: 0,
        share: 1.0,
        prompt: (2_000, 12_000),
        max_tokens: 128,
        first_token: Duration::from_millis(4_000),
        deadline: Duration::from_millis(8_000),
    };
    Mix {
        declaration: include_str!("../../../../examples/port-louis.toml"),
        model: "intake-verdicts",
        pool: "manifests",
        kinds: vec![verdicts],
        workspaces: vec![
            ("recycler-a", "recycler-a-demo-key"),
            ("recycler-b", "recycler-b-demo-key"),
            ("recycler-c", "recycler-c-demo-key"),
        ],
    }
}
