//! The permits that a daemon holds for one backend server with a rate limit, and when it asks for
//! more.
//!
//! The load pattern is requests that come faster than the server takes them, with free servers
//! beside: a request uses a permit that is there, and goes elsewhere otherwise, without waiting for
//! the daemon that grants permits. Permits are asked for ahead of the requests of the last second,
//! and expire soon, so that those of a daemon whose requests end serve another one.

use {
    crate::rate_limit::{Granted, PERMIT_LIFETIME},
    ffw_protocol::time::Moment,
    std::time::Duration,
};

/// Time for whose requests permits are asked for ahead.
const AHEAD: Duration = Duration::from_millis(100);

/// Largest number of permits that are asked for at once.
const COUNT_MAX: u32 = 64;

/// Longest time for which no permits are asked for after a refusal.
const REFUSAL_MAX: Duration = Duration::from_secs(5);

/// Time for which none are asked for after a request for them was not answered.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);

/// Largest part of the time that a request has left for which it waits for a permit.
const WAIT_SHARE: f64 = 0.5;

/// Longest time for which a request waits for a permit.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Span over which requests are counted.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Longest time for which a request waits for a permit that has `time_left` until its deadline.
/// Permits are reserved ahead in the order of the requests; each rank that goes before that of the
/// request halves the time, so that requests of that rank still find permits when there are too
/// few.
pub fn patience(time_left: Duration, more_urgent_ranks: u32) -> Duration {
    let patience = time_left.mul_f64(WAIT_SHARE).min(WAIT_MAX);
    patience / 2_u32.saturating_pow(more_urgent_ranks)
}

/// The permits of a daemon for one server.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    /// Time until which each permit may be used, in order.
    permits: Vec<Moment>,
    /// Permits that expired and were not reported yet.
    unused: u32,
    /// Whether an answer to a request for more permits is outstanding.
    is_asking: bool,
    /// Time before which no permits are asked for ahead.
    ask_at: Moment,
    /// Time before which no request gets a permit by waiting, as the last refusal said.
    due_at: Moment,
    /// Requests that could have gone to the server, in the present and in the last span.
    demand: [u32; 2],
    demand_since: Moment,
}

impl Stock {
    /// Counts a request that could go to the server.
    pub fn record_demand(&mut self, now: Moment) {
        let elapsed = now.since(self.demand_since);
        if elapsed >= DEMAND_SPAN {
            let last = if elapsed < DEMAND_SPAN * 2 { self.demand[0] } else { 0 };
            self.demand = [0, last];
            self.demand_since = now;
        }
        self.demand[0] += 1;
    }

    /// Whether a permit is there.
    pub fn has_permit(&mut self, now: Moment) -> bool {
        self.drop_expired(now);
        !self.permits.is_empty()
    }

    /// Uses a permit; returns whether one was there.
    pub fn take(&mut self, now: Moment) -> bool {
        self.drop_expired(now);
        let is_there = !self.permits.is_empty();
        if is_there {
            self.permits.remove(0);
        }
        is_there
    }

    /// Gives up a permit that was taken and not used.
    pub fn give_up(&mut self) {
        self.unused += 1;
    }

    /// Number of permits to ask for now; `None` if there are some, or none can be had yet. The
    /// answer must be recorded by [`Stock::record_answer`].
    pub fn next_ask(&mut self, now: Moment) -> Option<u32> {
        if self.is_asking || self.has_permit(now) || now < self.ask_at {
            return None;
        }
        self.is_asking = true;
        let requests = self.demand[0].max(self.demand[1]);
        let ahead = f64::from(requests) * AHEAD.as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        Some((ahead.ceil() as u32).clamp(1, COUNT_MAX))
    }

    /// Permits that expired since the last call.
    pub fn take_unused(&mut self) -> u32 {
        std::mem::take(&mut self.unused)
    }

    /// Records the answer to the request of [`Stock::next_ask`]; `None` if there was none.
    pub fn record_answer(&mut self, now: Moment, granted: Option<Granted>) {
        self.is_asking = false;
        let granted =
            granted.unwrap_or(Granted { retry_after: SILENCE_PAUSE, ..Granted::default() });
        let until = now + PERMIT_LIFETIME;
        self.permits.extend((0..granted.count).map(|_| until));
        if granted.count == 0 {
            self.ask_at = now + granted.retry_after.min(REFUSAL_MAX);
        }
    }

    /// Records that a request that would have waited for `patience` got no permit.
    pub fn record_refusal(&mut self, now: Moment, patience: Duration, retry_after: Duration) {
        self.due_at = now + retry_after.min(REFUSAL_MAX) + patience;
    }

    /// Time after which a request that waits for at most `patience` can expect a permit; `None` if
    /// nothing is known against one.
    pub fn wait(&self, now: Moment, patience: Duration) -> Option<Duration> {
        let wait = self.due_at.since(now).saturating_sub(patience);
        (!wait.is_zero()).then_some(wait)
    }

    fn drop_expired(&mut self, now: Moment) {
        let before = self.permits.len();
        self.permits.retain(|until| *until > now);
        self.unused += (before - self.permits.len()) as u32;
    }
}
