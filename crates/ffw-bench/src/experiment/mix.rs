//! Mixes of requests that imitate the two deployments with bundled declarations, and the
//! arrivals drawn from them.

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
    /// Rank of the priority class; 0 is interactive and comes first.
    pub(super) rank: u8,
    /// Share of all requests, from 0 to 1.
    share: f64,
    /// Shortest and longest prompt, in tokens.
    prompt_tokens: (u32, u32),
    /// Limit of the output tokens.
    pub(super) max_tokens: u32,
    /// Target of the time to the first token.
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
    /// Names and keys of the workspaces.
    pub(super) workspaces: Vec<(&'static str, &'static str)>,
}

/// A request that will be sent.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Time from the start of the run until the request is sent.
    pub(super) at: Duration,
    pub(super) kind: Kind,
    pub(super) workspace: &'static str,
    pub(super) key: &'static str,
    pub(super) prompt: Arc<str>,
    pub(super) tokens_in: u32,
    /// Number of tokens that the engine will generate.
    pub(super) tokens_out: u32,
    /// Random number whose remainder by the number of daemons is the index of the daemon that
    /// receives the request.
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

    /// Requests per second at which either the decode slots or the prefill engines are fully used,
    /// whichever comes first.
    pub(super) fn capacity(&self, plan: &Plan) -> f64 {
        let mean = |value: fn(&Kind) -> f64| -> f64 {
            self.kinds.iter().map(|kind| kind.share * value(kind)).sum()
        };
        let prompt = mean(|kind| f64::from(kind.prompt_tokens.0 + kind.prompt_tokens.1) / 2.0);
        // The stand-ins answer with half to all of `max_tokens`; the mean is three quarters.
        let output = mean(|kind| f64::from(kind.max_tokens) * 0.75);
        let settings = super::run::engine();
        let slot_time_s =
            output * settings.token_time.as_secs_f64() + prompt / f64::from(settings.link_rate);
        let by_slots = plan.decodes as f64 * f64::from(settings.slots) / slot_time_s;
        let by_prefill = plan.prefills as f64 * f64::from(settings.prefill_rate) / prompt;
        by_slots.min(by_prefill)
    }

    /// Poisson arrivals at `load` times the capacity, drawn from the seed of the plan.
    pub(super) fn arrivals(&self, plan: &Plan, load: f64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let rate = self.capacity(plan) * load;
        let (mut time_s, mut arrivals) = (0.0, Vec::new());
        while time_s < plan.seconds as f64 {
            time_s += -rng.gen_range(1e-9_f64..1.0).ln() / rate;
            arrivals.push(self.arrival(&mut rng, Duration::from_secs_f64(time_s)));
        }
        arrivals
    }

    fn arrival(&self, rng: &mut ChaCha8Rng, at: Duration) -> Arrival {
        let mut point = rng.gen_range(0.0..1.0);
        let mut kind = self.kinds[0];
        for candidate in &self.kinds {
            kind = *candidate;
            point -= candidate.share;
            if point < 0.0 {
                break;
            }
        }
        let tokens_in = rng.gen_range(kind.prompt_tokens.0..=kind.prompt_tokens.1);
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
        prompt_tokens: (1_000, 8_000),
        max_tokens: 512,
        first_token: Duration::from_millis(5_000),
        deadline: Duration::from_millis(30_000),
    };
    let captions = Kind {
        service: "captions",
        rank: 0,
        share: 0.6,
        prompt_tokens: (100, 1_500),
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
        prompt_tokens: (2_000, 12_000),
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
