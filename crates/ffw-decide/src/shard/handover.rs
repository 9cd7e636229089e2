//! Limits how many prompts are between their grant and their decode server.
//!
//! The load pattern is slow hand-overs: entries, engines or links are short of processor time or
//! throughput, so that results expire before their decode servers have fetched them. Every further
//! prefill makes the others slower, and each one that expires is repeated. As in congestion
//! control, a slow hand-over sets the limit to what is open, an expired result halves it, and as
//! many fast hand-overs as it allows raise it by one. There is no limit at first.

use {ffw_protocol::time::Moment, std::time::Duration};

/// Lowest limit: one prompt is handed over while the next one is prefilled.
const LIMIT_MIN: f64 = 2.0;

/// Limit above which there is none.
const LIMIT_MAX: f64 = 64.0;

/// Share of a result's lifetime from which a hand-over counts as slow.
const SLOW_SHARE: f64 = 0.5;

/// The limit, and when it was last halved.
#[derive(Clone, Copy, Debug, Default)]
pub struct Handover {
    limit: Option<f64>,
    halved_at: Moment,
}

impl Handover {
    /// Whether another prompt may be granted while `open` prompts are not handed over.
    pub fn may_grant(&self, open: usize) -> bool {
        self.limit.is_none_or(|limit| (open as f64) < limit.floor())
    }

    /// Largest number of prompts that may be open; `None` if there is no limit.
    pub fn limit(&self) -> Option<u32> {
        self.limit.map(|limit| limit as u32)
    }

    /// Records that a decode server has fetched a result of this lifetime after `span`, while
    /// `open` prompts, this one included, were not handed over.
    pub fn record_success(&mut self, span: Duration, lifetime: Duration, open: usize) {
        if span > lifetime.mul_f64(SLOW_SHARE) {
            let open = (open as f64).max(LIMIT_MIN);
            self.limit = Some(self.limit.map_or(open, |limit| limit.min(open)));
            return;
        }
        let raised = self.limit.map(|limit| limit + 1.0 / limit);
        self.limit = raised.filter(|limit| *limit <= LIMIT_MAX);
    }

    /// Records that a result expired while `open` prompts, this one included, were not handed over.
    /// Results that expire within `lifetime` of the first were granted before the limit was halved.
    pub fn record_expired(&mut self, now: Moment, open: usize, lifetime: Duration) {
        if self.limit.is_some() && now.since(self.halved_at) < lifetime {
            return;
        }
        let before = self.limit.unwrap_or(LIMIT_MAX).min(open as f64);
        self.limit = Some((before / 2.0).max(LIMIT_MIN));
        self.halved_at = now;
    }
}
