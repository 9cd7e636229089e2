//! How many servers of a pool read prompts and how many make tokens.
//!
//! Answers the load pattern of a mix of prompts and answers that the split of the servers does not
//! fit: one side is full while the other idles. The split is changed only for a clear gain that has
//! lasted, because a server is away while it changes. In a large pool one server is no clear gain,
//! so several change together, as many as the other side can spare at the present rate.

use {
    super::Shard,
    ffw_protocol::{
        admission::{Ask, Server},
        time::Moment,
    },
    std::time::Duration,
};

/// Requests that must have been seen before the split is changed for them.
const SEEN_MIN: f64 = 20.0;

/// Weight of a request in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.03;

/// Share of a prefill server's time that is planned with: prompts come in clumps, and a queue of
/// them delays first tokens.
const PREFILL_SHARE: f64 = 0.9;

/// Least gain in served requests for which servers change their role.
const GAIN_MIN: f64 = 1.07;

/// Share of the servers on the way to the best split that change together: the mix is an estimate,
/// and a server that went too far is away twice.
const TOGETHER_SHARE: f64 = 0.8;

/// Time for which a gain must have lasted.
const GAIN_LASTS: Duration = Duration::from_secs(2);

/// Time for which a side must have been without servers.
const EMPTY_LASTS: Duration = Duration::from_millis(300);

/// Least time between two changes.
const CHANGE_PAUSE: Duration = Duration::from_secs(8);

/// Time after which a server that was to change its role is taken to have kept it.
const CHANGE_LIMIT: Duration = Duration::from_secs(15);

/// Side of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// Servers that should change to one side together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Their new side.
    pub to: Side,
    /// How many, one at least.
    pub count: usize,
}

/// A server that is to change its role.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The server.
    pub server: Server,
    /// Its new role.
    pub to: Side,
    /// The split that decided.
    pub split: Split,
}

/// What requests bring, as moving averages, and what was last decided.
#[derive(Clone, Debug, Default)]
pub struct Roles {
    seen: f64,
    prompt: f64,
    output: f64,
    wanted: Option<Wanted>,
    changed_at: Option<Moment>,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    to: Side,
    since: Moment,
}

impl Roles {
    /// Notes a request and the output that is expected of it.
    pub fn note(&mut self, ask: &Ask, output: u32) {
        self.seen += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.seen);
        self.prompt += (f64::from(ask.tokens_in) - self.prompt) * weight;
        self.output += (f64::from(output) - self.output) * weight;
    }
}

/// Servers of a pool by side, and what a request takes of each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Servers that read prompts.
    pub prefills: usize,
    /// Servers that make tokens.
    pub decodes: usize,
    /// Time of a prefill server for a request, in seconds.
    pub prefill_s: f64,
    /// Time of a whole decode server for a request, in seconds.
    pub decode_s: f64,
}

impl Split {
    /// Requests a second that both sides can serve.
    pub fn rate(&self) -> f64 {
        let by_prefill = self.prefills as f64 * PREFILL_SHARE / self.prefill_s.max(1e-6);
        let by_decode = self.decodes as f64 / self.decode_s.max(1e-6);
        by_prefill.min(by_decode)
    }

    /// The servers that should change their side now, if that is a clear gain.
    pub fn shift(&self) -> Option<Shift> {
        let best = |to: Side| {
            let most = self.from(to).saturating_sub(1);
            let rates = (1..=most).map(|count| (count, self.after(to, count).rate()));
            rates.reduce(|best, next| if next.1 > best.1 { next } else { best })
        };
        let least = self.rate() * GAIN_MIN;
        let clear =
            |to: Side| best(to).filter(|(_, rate)| *rate > least).map(|(count, _)| (to, count));
        let (to, count) = clear(Side::Prefill).or_else(|| clear(Side::Decode))?;
        let together = (count as f64 * TOGETHER_SHARE).ceil() as usize;
        let spared =
            (1..=together).rev().find(|count| self.without(to, *count).rate() >= self.rate());
        Some(Shift { to, count: spared.unwrap_or(1) })
    }

    /// Servers of the side that a change to `to` takes from.
    fn from(&self, to: Side) -> usize {
        match to {
            Side::Prefill => self.decodes,
            Side::Decode => self.prefills,
        }
    }

    /// The split once `count` servers have changed.
    fn after(&self, to: Side, count: usize) -> Split {
        let rest = self.without(to, count);
        match to {
            Side::Prefill => Split { prefills: rest.prefills + count, ..rest },
            Side::Decode => Split { decodes: rest.decodes + count, ..rest },
        }
    }

    /// The split while `count` servers change.
    fn without(&self, to: Side, count: usize) -> Split {
        match to {
            Side::Prefill => Split { decodes: self.decodes - count, ..*self },
            Side::Decode => Split { prefills: self.prefills - count, ..*self },
        }
    }
}

impl Shard {
    /// The servers that are to change their role now.
    pub fn role_changes(&mut self, now: Moment) -> Vec<Change> {
        if now < self.recovered_at {
            return Vec::new();
        }
        let split = self.split(now);
        let is_empty = split.prefills == 0 || split.decodes == 0;
        let shift = if self.roles.seen < SEEN_MIN { None } else { split.shift() };
        let Some(Shift { to, count }) = shift else {
            self.roles.wanted = None;
            return Vec::new();
        };
        let since = match self.roles.wanted {
            Some(wanted) if wanted.to == to => wanted.since,
            _ => now,
        };
        self.roles.wanted = Some(Wanted { to, since });
        let lasts = if is_empty { EMPTY_LASTS } else { GAIN_LASTS };
        let is_changing = self.roles.changed_at.is_some_and(|at| now.since(at) < CHANGE_PAUSE);
        if now.since(since) < lasts || is_changing {
            return Vec::new();
        }
        let servers = self.least_used(now, to).into_iter().take(count);
        servers.map(|server| Change { server, to, split }).collect()
    }

    /// Notes that a server was told to change its role; it takes no new work meanwhile.
    pub fn record_role_change(&mut self, now: Moment, server: &str) {
        self.roles.changed_at = Some(now);
        let until = now + CHANGE_LIMIT;
        for prefill in self.prefills.values_mut().filter(|one| &*one.server.name == server) {
            prefill.changes_until = until;
        }
        for decode in self.decodes.values_mut().filter(|one| &*one.server.name == server) {
            decode.changes_until = until;
        }
    }

    /// Notes that a server keeps its role for now.
    pub fn record_role_kept(&mut self, now: Moment, server: &str) {
        for prefill in self.prefills.values_mut().filter(|one| &*one.server.name == server) {
            prefill.changes_until = now;
        }
        for decode in self.decodes.values_mut().filter(|one| &*one.server.name == server) {
            decode.changes_until = now;
        }
    }

    /// The servers that can be used, counting those that change their role on their new side.
    fn split(&self, now: Moment) -> Split {
        let prefills: Vec<_> = self.prefills.iter().filter(|(_, one)| !one.leaving).collect();
        let decodes: Vec<_> = self.decodes.iter().filter(|(_, one)| !one.leaving).collect();
        let to_decode = prefills.iter().filter(|(_, one)| now < one.changes_until).count();
        let to_prefill = decodes.iter().filter(|(_, one)| now < one.changes_until).count();
        let usable_prefills = prefills
            .iter()
            .filter(|(_, one)| now >= one.changes_until && !one.backoff.is_backing_off(now));
        let usable_decodes = decodes
            .iter()
            .filter(|(_, one)| now >= one.changes_until && !one.backoff.is_backing_off(now));
        let times: Vec<f64> = decodes.iter().map(|(_, one)| one.token_time_s).collect();
        let token_time_s = times.iter().sum::<f64>() / times.len().max(1) as f64;
        let token_time_s =
            if times.is_empty() { self.settings.token_time.as_secs_f64() } else { token_time_s };
        let memory = f64::from(self.settings.pieces) * f64::from(self.settings.piece_tokens);
        let held = (self.roles.prompt + self.roles.output / 2.0).max(1.0);
        let together = (memory / held).min(f64::from(self.settings.slots)).max(1.0);
        Split {
            prefills: usable_prefills.count() + to_prefill,
            decodes: usable_decodes.count() + to_decode,
            prefill_s: self.roles.prompt / f64::from(self.settings.prefill_rate.max(1)),
            decode_s: self.roles.output * token_time_s / together,
        }
    }

    /// The servers of the other side, first those that lose least by changing to `to`.
    fn least_used(&self, now: Moment, to: Side) -> Vec<Server> {
        match to {
            Side::Decode => {
                let open = self.prefills.iter().filter(|(_, one)| one.is_open(now));
                let mut open: Vec<_> = open.map(|(_, one)| one).collect();
                open.sort_by_key(|one| (one.free_at, one.server.name.clone()));
                open.into_iter().map(|one| one.server.clone()).collect()
            }
            Side::Prefill => {
                let open = self.decodes.iter().filter(|(_, one)| one.is_open(now));
                let mut open: Vec<_> = open.map(|(_, one)| one).collect();
                open.sort_by_key(|one| (one.reservations.len(), one.server.name.clone()));
                open.into_iter().map(|one| one.server.clone()).collect()
            }
        }
    }
}
