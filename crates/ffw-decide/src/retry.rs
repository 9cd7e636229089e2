//! Retries: exponential delay, and a budget that keeps retries a small share of the calls.

use std::time::Duration;

/// Delay before the retry after `failures` failures in a row, without jitter.
pub fn delay(failures: u32, first: Duration, most: Duration) -> Duration {
    first.saturating_mul(1_u32 << failures.saturating_sub(1).min(16)).min(most)
}

/// Time after which to come back to something that has been away for `age`: an outage that has lasted
/// is taken to last as long again. Answers the load pattern of callers that come back once only,
/// while all daemons have started anew and the store is out.
pub fn after_outage(age: Duration, least: Duration, most: Duration) -> Duration {
    age.clamp(least, most)
}

/// Tokens that one call earns, in hundredths of a retry.
const EARNED: u32 = 20;

/// Price of one retry, in the same unit.
const PRICE: u32 = 100;

/// Most that can be saved up: a burst of ten retries.
const SAVED_MAX: u32 = 1_000;

/// Allows one retry for each five calls, and a small burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    saved: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: SAVED_MAX }
    }
}

impl Budget {
    /// Notes a first try.
    pub fn count_call(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_MAX);
    }

    /// Takes the price of a retry; false if the budget is spent.
    pub fn take(&mut self) -> bool {
        let affordable = self.saved >= PRICE;
        if affordable {
            self.saved -= PRICE;
        }
        affordable
    }
}
