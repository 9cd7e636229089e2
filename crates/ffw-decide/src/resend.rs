//! When a read of the store is sent again.
//!
//! The load pattern is a store that is slow, or that has been silent for a time: a call without a
//! response either waits or was lost, and only time tells which. Further calls are therefore sent
//! while the first one stays open, at growing intervals, as each costs the store work.

use {crate::belief::Timeouts, ffw_protocol::time::Moment, std::time::Duration};

/// Time limit for the response to a read, in addition to the time for which a watch asks the store
/// to wait.
const LIMIT: Duration = Duration::from_secs(10);

/// The times of the calls of one read.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    began_at: Moment,
    /// Time for which a watch asks the store to wait for changes; zero for other reads.
    wait: Duration,
    /// Time without a response, beyond `wait`, after which a call is late.
    late_after: Duration,
    /// Time from the begin after which the response to a later call shows that earlier ones were
    /// lost. Below it, it is more often that a packet was sent again.
    loss_after: Duration,
    late_at: Moment,
    end_at: Moment,
}

impl Schedule {
    /// The times of a read whose first call is sent now, and is late after `response` beyond `wait`.
    pub fn start(now: Moment, wait: Duration, response: Duration) -> Schedule {
        Schedule {
            began_at: now,
            wait,
            late_after: response,
            loss_after: doubled(response),
            late_at: now + wait + response,
            end_at: now + wait + LIMIT,
        }
    }

    /// Longest time for which one call waits for its response.
    pub fn call_limit(&self) -> Duration {
        self.wait + LIMIT
    }

    /// Time at which the next call is due.
    pub fn late_at(&self) -> Moment {
        self.late_at
    }

    /// Whether the read is given up.
    pub fn has_ended(&self, now: Moment) -> bool {
        now >= self.end_at
    }

    /// Records that another call is sent now because the last one is late.
    pub fn record_late(&mut self, now: Moment) {
        self.late_after = doubled(self.late_after);
        self.record_sent(now);
    }

    /// Records that another call is sent now for another reason.
    pub fn record_sent(&mut self, now: Moment) {
        self.late_at = now + self.wait + self.late_after;
        if !self.wait.is_zero() {
            // The store may hold the latest call of a watch for as long as the first.
            self.end_at = self.late_at + LIMIT;
        }
    }

    /// Whether a response that comes now, to a call that was sent as an earlier one was late, shows
    /// that calls were lost.
    pub fn shows_loss(&self, now: Moment) -> bool {
        now.since(self.began_at) >= self.loss_after
    }
}

fn doubled(time: Duration) -> Duration {
    (time * 2).min(Timeouts::LONGEST.response)
}
