//! The retry budget of a pool: limits the retries of all daemons together.
//!
//! Each daemon may retry calls in proportion to its own requests. In addition it has a part of the
//! slack, a number of retries in a window that are allowed beyond this proportion. The sum over all
//! daemons then stays within the budget without messages between them. Requests and retries are
//! counted over a sliding window. [`crate::retry::Allowance`] is a separate budget, which has no
//! window and does not depend on the pool.

use {
    ffw_protocol::time::Moment,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Buckets that one window is divided into for counting.
const BUCKETS_PER_WINDOW: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

#[derive(Clone, Debug)]
struct Account {
    pool: Arc<str>,
    buckets: VecDeque<Bucket>,
}

/// Number of retries that the budget of a pool allows now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Number of retries.
    pub calls: u32,
}

/// Requests and retries of one daemon, by pool.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    window: Duration,
    accounts: Vec<Account>,
}

impl Budget {
    /// A budget of `ratio` retries for each request, plus the slack that is passed to
    /// [`Budget::take`]. Both are counted over about the last `window`: a count is dropped when it
    /// is between nine tenths of the window and the whole window old, together with its bucket.
    pub fn new(ratio: f64, window: Duration) -> Budget {
        Budget { ratio, window, accounts: Vec::new() }
    }

    /// Sets another ratio and window; the counts stay.
    pub fn configure(&mut self, ratio: f64, window: Duration) {
        (self.ratio, self.window) = (ratio, window);
    }

    /// Counts a request to a pool, which adds to its budget.
    pub fn record_request(&mut self, now: Moment, pool: &Arc<str>) {
        self.bucket(now, pool).requests += 1;
    }

    /// Takes `calls` retries from the budget of a pool, all or none; returns whether they may be
    /// made. `slack` is this daemon's part of the retries that are allowed beyond the ratio, in
    /// retries within a window.
    pub fn take(&mut self, now: Moment, pool: &Arc<str>, calls: u32, slack: f64) -> bool {
        let is_allowed = calls <= self.calls_left(now, pool, slack);
        if is_allowed {
            self.bucket(now, pool).retries += calls;
        }
        is_allowed
    }

    /// Number of retries that could be taken now, by pool; for `slack` see [`Budget::take`].
    pub fn remaining(&mut self, now: Moment, slack: f64) -> Vec<Remaining> {
        let pools: Vec<Arc<str>> =
            self.accounts.iter().map(|account| account.pool.clone()).collect();
        let to_remaining =
            |pool: Arc<str>| Remaining { calls: self.calls_left(now, &pool, slack), pool };
        pools.into_iter().map(to_remaining).collect()
    }

    fn calls_left(&mut self, now: Moment, pool: &Arc<str>, slack: f64) -> u32 {
        let ratio = self.ratio;
        let buckets = &self.account(now, pool).buckets;
        let sum = |count: fn(&Bucket) -> u32| buckets.iter().map(count).sum::<u32>();
        let allowed = ratio * f64::from(sum(|bucket| bucket.requests)) + slack;
        (allowed - f64::from(sum(|bucket| bucket.retries))).max(0.0) as u32
    }

    fn account(&mut self, now: Moment, pool: &Arc<str>) -> &mut Account {
        let index = match self.accounts.binary_search_by(|account| account.pool.cmp(pool)) {
            Ok(index) => index,
            Err(index) => {
                let account = Account { pool: pool.clone(), buckets: VecDeque::new() };
                self.accounts.insert(index, account);
                index
            }
        };
        let window = self.window;
        let account = &mut self.accounts[index];
        while account.buckets.front().is_some_and(|bucket| now.since(bucket.start) > window) {
            account.buckets.pop_front();
        }
        account
    }

    fn bucket(&mut self, now: Moment, pool: &Arc<str>) -> &mut Bucket {
        let length = self.window / BUCKETS_PER_WINDOW;
        let account = self.account(now, pool);
        let is_current =
            account.buckets.back().is_some_and(|bucket| now.since(bucket.start) < length);
        if !is_current {
            account.buckets.push_back(Bucket { start: now, ..Bucket::default() });
        }
        let last = account.buckets.len() - 1;
        &mut account.buckets[last]
    }
}
