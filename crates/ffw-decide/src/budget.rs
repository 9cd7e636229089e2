//! The budget of repeated sends that all daemons share.
//!
//! Each daemon keeps to the share that its own requests earn and to its part of the slack, so that
//! the sum over all daemons stays within the budget without a message between them.

use {
    ffw_protocol::time::Moment,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Parts of a window that are counted together.
const PARTS: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    start: Moment,
    requests: u32,
    repeats: u32,
}

#[derive(Clone, Debug)]
struct Account {
    pool: Arc<str>,
    parts: VecDeque<Part>,
}

/// Calls of a pool that could be repeated now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// The pool.
    pub pool: Arc<str>,
    /// Calls.
    pub calls: u32,
}

/// Requests and repeats of one daemon, by pool.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    window: Duration,
    accounts: Vec<Account>,
}

impl Budget {
    /// A budget of `ratio` repeats a request within any `window`.
    pub fn new(ratio: f64, window: Duration) -> Budget {
        Budget { ratio, window, accounts: Vec::new() }
    }

    /// Takes another ratio and window over; what was counted stays.
    pub fn configure(&mut self, ratio: f64, window: Duration) {
        (self.ratio, self.window) = (ratio, window);
    }

    /// Notes a request for a pool.
    pub fn record_request(&mut self, now: Moment, pool: &Arc<str>) {
        self.part(now, pool).requests += 1;
    }

    /// Takes `calls` repeated calls from the budget; answers whether they may be made. `slack` is
    /// this daemon's part of the repeats beyond the share of requests.
    pub fn take(&mut self, now: Moment, pool: &Arc<str>, calls: u32, slack: f64) -> bool {
        let is_allowed = calls <= self.calls_left(now, pool, slack);
        if is_allowed {
            self.part(now, pool).repeats += calls;
        }
        is_allowed
    }

    /// Calls that could be taken now, by pool; see [`Budget::take`].
    pub fn remaining(&mut self, now: Moment, slack: f64) -> Vec<Remaining> {
        let pools: Vec<Arc<str>> = self.accounts.iter().map(|one| one.pool.clone()).collect();
        let to_remaining =
            |pool: Arc<str>| Remaining { calls: self.calls_left(now, &pool, slack), pool };
        pools.into_iter().map(to_remaining).collect()
    }

    fn calls_left(&mut self, now: Moment, pool: &Arc<str>, slack: f64) -> u32 {
        let ratio = self.ratio;
        let parts = &self.account(now, pool).parts;
        let sum = |count: fn(&Part) -> u32| parts.iter().map(count).sum::<u32>();
        let allowed = ratio * f64::from(sum(|part| part.requests)) + slack;
        (allowed - f64::from(sum(|part| part.repeats))).max(0.0) as u32
    }

    fn account(&mut self, now: Moment, pool: &Arc<str>) -> &mut Account {
        let at = match self.accounts.binary_search_by(|one| one.pool.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                let account = Account { pool: pool.clone(), parts: VecDeque::new() };
                self.accounts.insert(at, account);
                at
            }
        };
        let window = self.window;
        let account = &mut self.accounts[at];
        while account.parts.front().is_some_and(|part| now.since(part.start) > window) {
            account.parts.pop_front();
        }
        account
    }

    fn part(&mut self, now: Moment, pool: &Arc<str>) -> &mut Part {
        let length = self.window / PARTS;
        let account = self.account(now, pool);
        let is_current = account.parts.back().is_some_and(|part| now.since(part.start) < length);
        if !is_current {
            account.parts.push_back(Part { start: now, ..Part::default() });
        }
        let last = account.parts.len() - 1;
        &mut account.parts[last]
    }
}
