//! Memory of a decode server over time, where it grows with each token that is made.
//!
//! Answers the load pattern of answers much shorter than asked for: to reserve the most that each
//! could need would leave most of the memory empty. Instead, the memory that the running requests
//! and a further one are expected to hold is followed to the end of each, and the further one is let
//! in if it never exceeds what the server has.

use {ffw_protocol::time::Moment, std::time::Duration};

/// Share of a server's memory that is planned with.
const PLANNED_SHARE: f64 = 0.95;

/// A request's memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// Tokens that it holds now.
    pub tokens: f64,
    /// When it is expected to end.
    pub end: Moment,
}

/// Most tokens held at any time from `now` on, if each hold grows by a token each `token_time_s`
/// seconds.
pub fn peak(now: Moment, holds: &[Hold], token_time_s: f64) -> f64 {
    let at = |time: Moment| {
        let grown = time.since(now).as_secs_f64() / token_time_s.max(1e-6);
        let open = holds.iter().filter(|hold| hold.end >= time);
        open.map(|hold| hold.tokens + grown).sum::<f64>()
    };
    holds.iter().map(|hold| at(hold.end)).fold(at(now), f64::max)
}

/// Earliest moment at which a request of `tokens` that runs for `span` fits beside the others;
/// `None` if it can't be told.
pub fn fits_at(
    now: Moment,
    holds: &[Hold],
    tokens: f64,
    span: Duration,
    token_time_s: f64,
    capacity: f64,
) -> Option<Moment> {
    let capacity = capacity * PLANNED_SHARE;
    let fits = |time: Moment| {
        let grown = time.since(now).as_secs_f64() / token_time_s.max(1e-6);
        let open = holds.iter().filter(|hold| hold.end > time);
        let mut later: Vec<Hold> =
            open.map(|hold| Hold { tokens: hold.tokens + grown, ..*hold }).collect();
        let is_alone = later.is_empty();
        later.push(Hold { tokens, end: time + span });
        // A request that would not fit an empty server by its estimate may still end sooner.
        is_alone || peak(time, &later, token_time_s) <= capacity
    };
    if fits(now) {
        return Some(now);
    }
    let mut ends: Vec<Moment> =
        holds.iter().map(|hold| hold.end).filter(|end| *end >= now).collect();
    ends.sort_unstable();
    ends.into_iter().find(|end| fits(*end))
}
