//! Quotas of workspaces over all daemons together: the account that one daemon keeps, and the
//! allowance that each daemon spends without asking.
//!
//! The load is a workspace whose requests arrive at all daemons at once, unevenly, and that may
//! send many times what it may use. One daemon keeps the account, so that no part of the quota is
//! lost at daemons that have no use for it. The quota tolerates an overshoot in each window. Parts
//! of it pay for a larger burst, as requests come in waves within the window in which the quota is
//! counted; for allowances, so that small requests cost no call; and for daemons that stand in for
//! one that keeps the account and can't be reached, as that one may still be granting to others.
//!
//! An account starts without units. A new keeper therefore adds at most what the rate allows, and
//! the bound holds while accounts move.

use {
    ffw_protocol::{quota::Limit, time::Moment},
    std::time::Duration,
};

/// Time for which units that were granted can be given back. Later, they would be granted again in
/// a window that does not count the first grant.
const REFUND_TIME: Duration = Duration::from_millis(500);

/// Time for which units that were given back can be used by another request of the same daemon.
const REFUND_LIFETIME: Duration = Duration::from_millis(500);

/// Longest time for which a request waits for its units. A new keeper does not know what the one
/// before has granted ahead, so this adds to the overshoot.
const PATIENCE_MAX: Duration = Duration::from_millis(200);

/// Largest part of its time left for which a request waits for its units.
const PATIENCE_SHARE: f64 = 0.1;

/// Longest time for which a request waits for a daemon that keeps its account.
const KEEPER_PATIENCE_MAX: Duration = Duration::from_secs(1);

/// The same as a share of the time until the request's deadline.
const KEEPER_PATIENCE_SHARE: f64 = 0.25;

/// Share of the tolerated overshoot by which the keeper's burst exceeds the declared one.
const BURST_SHARE: f64 = 0.4;

/// Share of the tolerated overshoot that pays for allowances.
const ALLOWANCE_SHARE: f64 = 0.25;

/// Share of the tolerated overshoot that the first daemon grants that stands in for the keeper.
const STAND_IN_SHARE: f64 = 0.2;

/// Share of the tolerated overshoot that all daemons together use that reach no keeper.
const ISOLATED_SHARE: f64 = 0.05;

/// What a quota tolerates beyond its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Span in which the use is counted.
    pub window: Duration,
    /// Units beyond the limit, as a fraction of it.
    pub overshoot: f64,
    /// Units beyond the limit, in addition.
    pub slack: f64,
}

impl Tolerance {
    /// Units beyond the limit that are tolerated in a window.
    pub fn units(&self, limit: Limit) -> f64 {
        (limit.per_s * self.window.as_secs_f64() + limit.burst) * self.overshoot + self.slack
    }

    /// The allowance of one of `daemons` daemons: in any window, all of them together use at most
    /// their share of the tolerated overshoot.
    pub fn allowance(&self, limit: Limit, daemons: usize) -> Limit {
        self.part(limit, ALLOWANCE_SHARE / daemons.max(1) as f64)
    }

    /// What a daemon grants that has `preceding` daemons before it in the order of keepers: the
    /// whole limit, with a larger burst, if none.
    pub fn kept(&self, limit: Limit, preceding: usize) -> Limit {
        match preceding {
            0 => Limit { burst: limit.burst + self.units(limit) * BURST_SHARE, ..limit },
            1 => self.part(limit, STAND_IN_SHARE),
            _ => Limit::default(),
        }
    }

    /// What one of `daemons` daemons grants itself while it reaches no keeper.
    pub fn isolated(&self, limit: Limit, daemons: usize) -> Limit {
        self.part(limit, ISOLATED_SHARE / daemons.max(1) as f64)
    }

    /// A limit that allows this share of the tolerated overshoot in any window: one half at once,
    /// the other half over the window.
    fn part(&self, limit: Limit, share: f64) -> Limit {
        let half = self.units(limit) * share / 2.0;
        let window = self.window.as_secs_f64();
        Limit { per_s: if window > 0.0 { half / window } else { 0.0 }, burst: half }
    }
}

/// Time for which a request waits for its units that has `time_left` until its deadline.
pub fn patience(time_left: Duration) -> Duration {
    time_left.mul_f64(PATIENCE_SHARE).min(PATIENCE_MAX)
}

/// Time for which a request waits until a daemon that keeps its account is reached. A daemon that
/// has ended is mostly back soon, and many callers have no further try than this one.
pub fn keeper_patience(time_left: Duration) -> Duration {
    time_left.mul_f64(KEEPER_PATIENCE_SHARE).min(KEEPER_PATIENCE_MAX)
}

/// Units that may be used: they come at a rate, and are kept up to the burst.
#[derive(Clone, Debug)]
pub struct Account {
    limit: Limit,
    /// Below 0 if units were granted ahead.
    units: f64,
    /// Units of refused requests that were told when to come back, until those times.
    promised: f64,
    updated_at: Moment,
}

impl Account {
    /// An account without units.
    pub fn new(now: Moment, limit: Limit) -> Account {
        Account { limit, units: 0.0, promised: 0.0, updated_at: now }
    }

    /// Drops the units that may be used now, as another daemon may have granted them meanwhile.
    pub fn empty(&mut self, now: Moment) {
        self.refill(now);
        self.units = self.units.min(0.0);
    }

    /// Sets the limit from now on.
    pub fn set_limit(&mut self, now: Moment, limit: Limit) {
        if limit == self.limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.units = self.units.min(limit.burst);
    }

    /// Uses units for a request; returns the time after which they may be used, at most
    /// `patience`. A request that is larger than the burst gets its units when the account is full.
    ///
    /// # Errors
    /// Time after which a request of this size and patience can expect its units, if those that
    /// were refused before it come back first; [`Duration::MAX`] if never.
    pub fn take(
        &mut self,
        now: Moment,
        units: f64,
        patience: Duration,
    ) -> Result<Duration, Duration> {
        self.refill(now);
        let missing = units.min(self.limit.burst) - self.units;
        let time_for = |units: f64| match units / self.limit.per_s {
            _ if units <= 0.0 => Duration::ZERO,
            seconds => Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
        };
        let wait = time_for(missing);
        if wait > patience {
            let wait_behind = time_for(missing + self.promised);
            self.promised += units;
            return Err(wait_behind.saturating_sub(patience));
        }
        self.units -= units;
        Ok(wait)
    }

    /// Uses units that are there; returns whether there were enough. A request that is larger than
    /// the burst gets none.
    pub fn take_available(&mut self, now: Moment, units: f64) -> bool {
        self.refill(now);
        let has_enough = self.units >= units;
        if has_enough {
            self.units -= units;
        }
        has_enough
    }

    /// Units that may be used now; below 0 if some were granted ahead.
    pub fn units(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.units
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let refill = elapsed * self.limit.per_s;
        self.units = (self.units + refill).min(self.limit.burst);
        self.promised = (self.promised - refill).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }
}

/// What a daemon may use of one workspace's quota without asking: its allowance, and units of
/// requests that reached no server.
#[derive(Clone, Debug)]
pub struct Local {
    allowance: Account,
    refunded: f64,
    refunded_at: Moment,
}

impl Local {
    /// State with an allowance that is not used yet.
    pub fn new(now: Moment, allowance: Limit) -> Local {
        let mut full = Account::new(now, allowance);
        full.units = allowance.burst;
        Local { allowance: full, refunded: 0.0, refunded_at: now }
    }

    /// Uses units for a request; returns whether there were enough.
    pub fn take(&mut self, now: Moment, allowance: Limit, units: f64) -> bool {
        self.allowance.set_limit(now, allowance);
        self.expire_refunds(now);
        if self.refunded >= units {
            self.refunded -= units;
            return true;
        }
        self.allowance.take_available(now, units)
    }

    /// Gives back the units of a request that reached no server and got them at `granted_at`.
    pub fn refund(&mut self, now: Moment, granted_at: Moment, units: f64) {
        if now.since(granted_at) >= REFUND_TIME {
            return;
        }
        self.expire_refunds(now);
        self.refunded += units;
        self.refunded_at = now;
    }

    fn expire_refunds(&mut self, now: Moment) {
        if now.since(self.refunded_at) >= REFUND_LIFETIME {
            self.refunded = 0.0;
        }
    }
}
