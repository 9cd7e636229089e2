//! Retries: delays, and a budget that limits retries to a small share of the calls.

use std::time::Duration;

/// Delay before the retry after `failures` failures in a row, without jitter: `first` after the
/// first failure, doubled with each further one up to 16 times, at most `max`.
pub fn delay(failures: u32, first: Duration, max: Duration) -> Duration {
    first.saturating_mul(1_u32 << failures.saturating_sub(1).min(16)).min(max)
}

/// Delay before the retry during an outage that has lasted for `age`: the same time again, between
/// `min` and `max`, because an outage is expected to last about as long as it has lasted so far.
/// It answers one load pattern: callers that retry only once, while all daemons have restarted and
/// the store is not available.
///
/// # Panics
/// If `min` is above `max`.
pub fn after_outage(age: Duration, min: Duration, max: Duration) -> Duration {
    age.clamp(min, max)
}

/// What one call adds to the budget, in hundredths of a retry.
const BUDGET_PER_CALL: u32 = 20;

/// What one retry costs, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Maximum of the budget, in hundredths of a retry: a burst of ten retries.
const BUDGET_MAX: u32 = 1_000;

/// Budget of one retry for every five calls, and a burst of up to ten retries. It is full at first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// In hundredths of a retry.
    remaining: u32,
}

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance { remaining: BUDGET_MAX }
    }
}

impl Allowance {
    /// Counts the first attempt of a call, which adds to the budget.
    pub fn record_call(&mut self) {
        self.remaining = (self.remaining + BUDGET_PER_CALL).min(BUDGET_MAX);
    }

    /// Takes the cost of one retry from the budget; returns whether the retry may be made.
    pub fn take(&mut self) -> bool {
        let is_allowed = self.remaining >= RETRY_COST;
        if is_allowed {
            self.remaining -= RETRY_COST;
        }
        is_allowed
    }
}
