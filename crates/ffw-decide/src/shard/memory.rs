//! Prediction of a decode server's memory over time, for engines that allocate memory with each
//! generated token.
//!
//! This is for answers that are much shorter than the requested maximum: reserving that maximum for
//! each request would leave most of the memory empty. Instead, the memory that the running requests
//! and a new one are expected to use is computed up to the end of each, and the new one is accepted
//! if the sum never exceeds the server's capacity.

use {ffw_protocol::time::Moment, std::time::Duration};

/// Share of a server's memory that plans may use.
const PLANNED_SHARE: f64 = 0.95;

/// Memory that a request uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Tokens whose KV cache it keeps now.
    pub tokens: f64,
    /// When it is expected to end.
    pub end: Moment,
}

/// Most tokens in memory at any time from `now` on, if each request adds a token every
/// `token_time_s` seconds until it ends.
pub fn peak(now: Moment, usages: &[Usage], token_time_s: f64) -> f64 {
    let tokens_at = |time: Moment| {
        let grown = time.since(now).as_secs_f64() / token_time_s.max(1e-6);
        let open = usages.iter().filter(|usage| usage.end >= time);
        open.map(|usage| usage.tokens + grown).sum::<f64>()
    };
    usages.iter().map(|usage| tokens_at(usage.end)).fold(tokens_at(now), f64::max)
}

/// Earliest moment at which a request that starts with `tokens` and runs for `span` fits beside the
/// others into `capacity` tokens: now or at the end of one of them. Plans use only
/// `PLANNED_SHARE` of the capacity. The result is always `Some`, because the request is alone
/// after the last end and is accepted then.
pub fn earliest_fit(
    now: Moment,
    usages: &[Usage],
    tokens: f64,
    span: Duration,
    token_time_s: f64,
    capacity: f64,
) -> Option<Moment> {
    let capacity = capacity * PLANNED_SHARE;
    let fits = |time: Moment| {
        let grown = time.since(now).as_secs_f64() / token_time_s.max(1e-6);
        let open = usages.iter().filter(|usage| usage.end > time);
        let mut later: Vec<Usage> =
            open.map(|usage| Usage { tokens: usage.tokens + grown, ..*usage }).collect();
        let is_alone = later.is_empty();
        later.push(Usage { tokens, end: time + span });
        // A request whose estimate exceeds even an empty server is accepted there, as it may end
        // sooner.
        is_alone || peak(time, &later, token_time_s) <= capacity
    };
    if fits(now) {
        return Some(now);
    }
    let mut ends: Vec<Moment> =
        usages.iter().map(|usage| usage.end).filter(|end| *end >= now).collect();
    ends.sort_unstable();
    ends.into_iter().find(|end| fits(*end))
}
