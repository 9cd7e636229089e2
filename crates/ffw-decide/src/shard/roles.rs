//! Decides how many servers of a pool are prefill servers and how many are decode servers.
//!
//! The load pattern is a mix of prompts and answers that the split of the servers does not fit, so
//! that one side is full while the other is idle. The split is changed only for a clear gain that
//! has lasted, because a server serves no requests while it changes its role. In a large pool a
//! single server is no clear gain, so several change together, as many as can change
//! without reducing the rate of requests that the split can serve.

use {
    super::Shard,
    ffw_protocol::{
        admission::{Ask, Server},
        time::Moment,
    },
    std::time::Duration,
};

/// Least number of requests in the averages for a change of the split.
const REQUESTS_MIN: f64 = 20.0;

/// Weight of a request in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.03;

/// Share of a prefill server's time that is planned for prefills: prompts arrive in bursts, and a
/// queue of them delays first tokens.
const PREFILL_UTILISATION: f64 = 0.9;

/// Least factor by which the rate that the split can serve must grow for servers to change their
/// role.
const GAIN_FACTOR_MIN: f64 = 1.07;

/// Largest share of the servers needed for the best split that change together: the mix is an
/// estimate, and a server too many has to change back and is unavailable twice.
const BATCH_SHARE: f64 = 0.8;

/// Time for which a gain must have lasted before servers change.
const GAIN_TIME_MIN: Duration = Duration::from_secs(2);

/// Time for which a change must have been a gain if one side has no usable servers.
const EMPTY_TIME_MIN: Duration = Duration::from_millis(300);

/// Least time between two changes of the split.
const CHANGE_PAUSE: Duration = Duration::from_secs(8);

/// Time after which a server that has not completed a role change counts with its old role again.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Role of a server in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A number of servers that should change to one side together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Their new side.
    pub to: Side,
    /// Number of servers, at least 1.
    pub count: usize,
}

/// A server that is to change its role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// Name and address.
    pub server: Server,
    /// Its new role.
    pub to: Side,
    /// The split before the change, on which the decision is based.
    pub split: Split,
}

/// Moving averages of the request sizes, and the state of the last decision.
#[derive(Clone, Debug, Default)]
pub struct Roles {
    request_count: f64,
    prompt_tokens: f64,
    output_tokens: f64,
    proposal: Option<Proposal>,
    changed_at: Option<Moment>,
}

/// A change of the split that is a clear gain, and since when it has been one.
#[derive(Clone, Copy, Debug)]
struct Proposal {
    to: Side,
    since: Moment,
}

impl Roles {
    /// Adds a request with its expected output tokens to the averages.
    pub fn record_request(&mut self, ask: &Ask, output: u32) {
        self.request_count += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.request_count);
        self.prompt_tokens += (f64::from(ask.tokens_in) - self.prompt_tokens) * weight;
        self.output_tokens += (f64::from(output) - self.output_tokens) * weight;
    }
}

/// Servers of a pool by side, and the time that an average request takes on each side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Number of prefill servers.
    pub prefills: usize,
    /// Number of decode servers.
    pub decodes: usize,
    /// Prefill server time per request, in seconds.
    pub prefill_s: f64,
    /// Decode server time per request, in seconds: the time of a request divided by the number of
    /// requests that a server runs at once.
    pub decode_s: f64,
}

impl Split {
    /// Requests per second that both sides can serve.
    pub fn rate(&self) -> f64 {
        let by_prefill = self.prefills as f64 * PREFILL_UTILISATION / self.prefill_s.max(1e-6);
        let by_decode = self.decodes as f64 / self.decode_s.max(1e-6);
        by_prefill.min(by_decode)
    }

    /// Number of servers that should change their side, if that is a clear gain. The servers that
    /// remain on the side keep up the present rate during the change, or a single server changes.
    pub fn shift(&self) -> Option<Shift> {
        let best = |to: Side| {
            let most = self.sources(to).saturating_sub(1);
            let rates = (1..=most).map(|count| (count, self.after(to, count).rate()));
            rates.reduce(|best, next| if next.1 > best.1 { next } else { best })
        };
        let least = self.rate() * GAIN_FACTOR_MIN;
        let clear =
            |to: Side| best(to).filter(|(_, rate)| *rate > least).map(|(count, _)| (to, count));
        let (to, count) = clear(Side::Prefill).or_else(|| clear(Side::Decode))?;
        let batch = (count as f64 * BATCH_SHARE).ceil() as usize;
        let spared = (1..=batch).rev().find(|count| self.without(to, *count).rate() >= self.rate());
        Some(Shift { to, count: spared.unwrap_or(1) })
    }

    /// Number of servers on the side from which servers change to `to`.
    fn sources(&self, to: Side) -> usize {
        match to {
            Side::Prefill => self.decodes,
            Side::Decode => self.prefills,
        }
    }

    /// The split after `count` servers have changed to `to`.
    fn after(&self, to: Side, count: usize) -> Split {
        let remaining = self.without(to, count);
        match to {
            Side::Prefill => Split { prefills: remaining.prefills + count, ..remaining },
            Side::Decode => Split { decodes: remaining.decodes + count, ..remaining },
        }
    }

    /// The split while `count` servers change to `to` and serve on neither side.
    fn without(&self, to: Side, count: usize) -> Split {
        match to {
            Side::Prefill => Split { decodes: self.decodes - count, ..*self },
            Side::Decode => Split { prefills: self.prefills - count, ..*self },
        }
    }
}

impl Shard {
    /// Servers that are to change their role now. Empty during recovery, until a gain has lasted
    /// and while an earlier change is recent.
    pub fn role_changes(&mut self, now: Moment) -> Vec<RoleChange> {
        if now < self.recovery_end {
            return Vec::new();
        }
        let split = self.split(now);
        let is_empty = split.prefills == 0 || split.decodes == 0;
        let shift = if self.roles.request_count < REQUESTS_MIN { None } else { split.shift() };
        let Some(Shift { to, count }) = shift else {
            self.roles.proposal = None;
            return Vec::new();
        };
        let since = match self.roles.proposal {
            Some(proposal) if proposal.to == to => proposal.since,
            _ => now,
        };
        self.roles.proposal = Some(Proposal { to, since });
        let time_min = if is_empty { EMPTY_TIME_MIN } else { GAIN_TIME_MIN };
        let is_changing = self.roles.changed_at.is_some_and(|time| now.since(time) < CHANGE_PAUSE);
        if now.since(since) < time_min || is_changing {
            return Vec::new();
        }
        let servers = self.least_used(now, to).into_iter().take(count);
        servers.map(|server| RoleChange { server, to, split }).collect()
    }

    /// Records that a server was ordered to change its role. It gets no new work until it is listed
    /// with its new role, or for 15 seconds.
    pub fn record_role_change(&mut self, now: Moment, server: &str) {
        self.roles.changed_at = Some(now);
        let until = now + CHANGE_TIMEOUT;
        for prefill in self.prefills.values_mut().filter(|prefill| &*prefill.server.name == server)
        {
            prefill.changing_until = until;
        }
        for decode in self.decodes.values_mut().filter(|decode| &*decode.server.name == server) {
            decode.changing_until = until;
        }
    }

    /// Records that a server keeps its role, so that it gets new work again.
    pub fn cancel_role_change(&mut self, now: Moment, server: &str) {
        for prefill in self.prefills.values_mut().filter(|prefill| &*prefill.server.name == server)
        {
            prefill.changing_until = now;
        }
        for decode in self.decodes.values_mut().filter(|decode| &*decode.server.name == server) {
            decode.changing_until = now;
        }
    }

    /// The split of the usable servers, in which servers that change their role count on their new
    /// side.
    fn split(&self, now: Moment) -> Split {
        let prefills: Vec<_> =
            self.prefills.iter().filter(|(_, prefill)| !prefill.leaving).collect();
        let decodes: Vec<_> = self.decodes.iter().filter(|(_, decode)| !decode.leaving).collect();
        let to_decode = prefills.iter().filter(|(_, prefill)| now < prefill.changing_until).count();
        let to_prefill = decodes.iter().filter(|(_, decode)| now < decode.changing_until).count();
        let usable_prefills = prefills.iter().filter(|(_, server)| {
            now >= server.changing_until && !server.backoff.is_backing_off(now)
        });
        let usable_decodes = decodes.iter().filter(|(_, server)| {
            now >= server.changing_until && !server.backoff.is_backing_off(now)
        });
        let token_times = decodes.iter().map(|(_, decode)| decode.token_time_s);
        let token_time_s = mean(token_times).unwrap_or(self.settings.token_time.as_secs_f64());
        let slowness = mean(prefills.iter().map(|(_, prefill)| prefill.timing.slowness()));
        let prefill_rate = f64::from(self.settings.prefill_rate.max(1)) / slowness.unwrap_or(1.0);
        let memory = f64::from(self.settings.pieces) * f64::from(self.settings.piece_tokens);
        let request_tokens = (self.roles.prompt_tokens + self.roles.output_tokens / 2.0).max(1.0);
        let concurrency = (memory / request_tokens).min(f64::from(self.settings.slots)).max(1.0);
        Split {
            prefills: usable_prefills.count() + to_prefill,
            decodes: usable_decodes.count() + to_decode,
            prefill_s: self.roles.prompt_tokens / prefill_rate,
            decode_s: self.roles.output_tokens * token_time_s / concurrency,
        }
    }

    /// Servers that could change to `to`, in order of their present load: prefill servers by the
    /// end of their reserved work, decode servers by their reservations.
    fn least_used(&self, now: Moment, to: Side) -> Vec<Server> {
        match to {
            Side::Decode => {
                let open = self.prefills.iter().filter(|(_, prefill)| prefill.is_open(now));
                let mut open: Vec<_> = open.map(|(_, server)| server).collect();
                open.sort_by_key(|server| (server.free_at, server.server.name.clone()));
                open.into_iter().map(|server| server.server.clone()).collect()
            }
            Side::Prefill => {
                let open = self.decodes.iter().filter(|(_, decode)| decode.is_open(now));
                let mut open: Vec<_> = open.map(|(_, server)| server).collect();
                open.sort_by_key(|server| (server.reservations.len(), server.server.name.clone()));
                open.into_iter().map(|server| server.server.clone()).collect()
            }
        }
    }
}

/// Mean of the values; `None` if there are none.
fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
