//! The account of a backend server that takes only so many requests a second from all daemons
//! together: a generic cell rate algorithm from which daemons get permits, one for each request.
//!
//! The load pattern is a server in need beside free ones, or a pool in which all servers are in
//! need, with traffic that is uneven between the daemons and moves. One daemon keeps the account,
//! so that whoever has requests gets permits, and what idle daemons leave is not lost. Permits can
//! be reserved a little ahead, within the patience of the request; beyond it the wait is told, so
//! that the request can be refused at once.
//!
//! The bound is kept while accounts move. An account starts empty. A daemon that stands in for
//! others, because some daemon can't reach them, grants a smaller share, as the others may still be
//! granting.

use {
    ffw_protocol::{rate::Stated, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Permits that are granted at once after a pause by the daemon that keeps the account.
const BURST: f64 = 2.0;

/// The same, as time for which unclaimed permits are kept, for servers with high limits.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Longest time for which permits that were reserved ahead delay others after the limit has
/// changed, unless a single permit takes longer.
const AHEAD_MAX: Duration = Duration::from_secs(5);

/// Least rate with bursts, in permits a second.
const BURST_RATE_MIN: f64 = 0.5;

/// Least rate of permits, in permits a second. A server that takes next to nothing still gets a
/// request now and then, as only its response can tell that the limit has ended.
const RATE_MIN: f64 = 0.2;

/// Share of the limit that a daemon grants, by the number of daemons that precede it in the order
/// of ownership. The sum stays below one and a half.
const SHARES: [f64; 4] = [1.0, 0.3, 0.1, 0.0];

/// Number of times that all daemons together ask for each permit, so that one of them takes it soon
/// after it is due.
const ASKS_PER_PERMIT: u32 = 4;

/// Longest time for which a daemon does not ask because many others do. Meanwhile it does not hear
/// from the owner that the limit has ended.
const TURN_MAX: Duration = Duration::from_secs(2);

/// Time for which a daemon counts as asking after it has asked.
const ASKING_MEMORY: Duration = Duration::from_secs(3);

/// Time for which a permit may be used. What was granted before a span of time may be used in it.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(200);

/// Share of the limit that all daemons together use that reach no daemon that keeps the account.
const ISOLATED_SHARE: f64 = 0.1;

/// Share of the limit that a daemon grants that has `preceding` daemons before it in the order of
/// ownership.
pub fn share(preceding: usize) -> f64 {
    SHARES[preceding.min(SHARES.len() - 1)]
}

/// Share of the limit that one of `daemons` daemons uses while it reaches none that keeps the
/// account.
pub fn isolated_share(daemons: usize) -> f64 {
    ISOLATED_SHARE / daemons.max(1) as f64
}

/// What is granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Granted {
    /// Number of permits.
    pub count: u32,
    /// Time after which the last of them may be used.
    pub start_in: Duration,
    /// If there is none, time after which the daemon can expect one for a request with the same
    /// patience.
    pub retry_after: Duration,
}

/// The latest statement of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    per_s: Option<f64>,
    at: Moment,
}

/// The account of one server.
#[derive(Clone, Debug)]
pub struct Account {
    statement: Option<Statement>,
    /// Share of the limit that is granted here.
    share: f64,
    /// Time at which the next permit is due if they come evenly; earlier than now if some were left
    /// unclaimed.
    next_at: Moment,
    /// Daemons that have asked lately, and when, in order of name.
    asking: Vec<(Arc<str>, Moment)>,
}

impl Account {
    /// An account without permits.
    pub fn new(now: Moment) -> Account {
        Account { statement: None, share: 1.0, next_at: now, asking: Vec::new() }
    }

    /// The latest statement that is known; `None` if there was none.
    pub fn stated(&self, now: Moment) -> Option<Stated> {
        self.statement.map(|latest| Stated { per_s: latest.per_s, age: now.since(latest.at) })
    }

    /// Records a statement, unless a later one is known. Returns whether the limit changed.
    pub fn record(&mut self, now: Moment, stated: Stated) -> bool {
        let new = Statement { per_s: stated.per_s, at: now - stated.age };
        let before = self.statement;
        if before.is_some_and(|latest| latest.at > new.at) {
            return false;
        }
        let rate_before = self.rate();
        self.statement = Some(new);
        let is_changed = before.is_none_or(|latest| latest.per_s != new.per_s);
        if is_changed {
            self.rescale(now, rate_before, before.is_none());
        }
        is_changed
    }

    /// Sets the share of the limit that is granted here, see [`share`].
    pub fn set_share(&mut self, now: Moment, share: f64) {
        if share != self.share {
            let rate_before = self.rate();
            self.share = share;
            self.rescale(now, rate_before, false);
        }
    }

    /// Grants a daemon up to `count` permits that may be used within `patience`. Without a limit,
    /// all.
    pub fn grant(
        &mut self,
        now: Moment,
        daemon: &Arc<str>,
        count: u32,
        patience: Duration,
    ) -> Granted {
        let Some(rate) = self.rate() else { return Granted { count, ..Granted::default() } };
        if rate <= 0.0 {
            return Granted { retry_after: Duration::from_secs(1), ..Granted::default() };
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        // Unclaimed permits are kept up to the burst.
        self.next_at = self.next_at.max(now - self.burst_time(rate));
        let mut granted = Granted::default();
        while granted.count < count && self.next_at.since(now) <= patience {
            granted.count += 1;
            granted.start_in = self.next_at.since(now);
            self.next_at = self.next_at + interval;
        }
        if granted.count == 0 && count > 0 {
            self.record_asking(now, daemon);
            let due_in = self.next_at.since(now).saturating_sub(patience);
            granted.retry_after = due_in.max(self.turn(interval));
        }
        granted
    }

    fn record_asking(&mut self, now: Moment, daemon: &Arc<str>) {
        self.asking.retain(|(_, at)| now.since(*at) < ASKING_MEMORY);
        match self.asking.binary_search_by(|(name, _)| name.cmp(daemon)) {
            Ok(index) => self.asking[index].1 = now,
            Err(index) => self.asking.insert(index, (daemon.clone(), now)),
        }
    }

    /// Time between two questions of a daemon, so that the questions of all daemons grow with the
    /// limit and not with their number.
    fn turn(&self, interval: Duration) -> Duration {
        let others = self.asking.len().saturating_sub(1) as u32;
        (interval * others / ASKS_PER_PERMIT).min(TURN_MAX)
    }

    /// Takes back permits that were not used.
    pub fn give_back(&mut self, now: Moment, count: u32) {
        if let Some(rate) = self.rate().filter(|rate| *rate > 0.0) {
            let returned = Duration::from_secs_f64(f64::from(count) / rate);
            self.next_at = (self.next_at - returned).max(now - self.burst_time(rate));
        }
    }

    /// Permits a second that are granted here; `None` without a limit.
    fn rate(&self) -> Option<f64> {
        let per_s = self.statement?.per_s?;
        Some(per_s.max(RATE_MIN) * self.share)
    }

    /// Keeps the number of permits that are reserved ahead, but not for long. An account whose
    /// limit has just become known has none to grant at once.
    fn rescale(&mut self, now: Moment, rate_before: Option<f64>, is_new: bool) {
        let Some(rate) = self.rate().filter(|rate| *rate > 0.0) else { return };
        let ahead = match rate_before {
            Some(before) if before > 0.0 => {
                self.next_at.since(now).as_secs_f64() * (before / rate).min(f64::MAX)
            }
            _ if is_new => 1.0 / rate,
            _ => 0.0,
        };
        let longest = f64::max(1.0 / rate, AHEAD_MAX.as_secs_f64());
        self.next_at = now + Duration::from_secs_f64(ahead.min(longest));
    }

    /// Time for which unclaimed permits are kept, in addition to the one that is due. A daemon that
    /// stands in for another one keeps none, and a server that takes next to nothing gets no burst.
    fn burst_time(&self, rate: f64) -> Duration {
        if self.share < 1.0 || rate < BURST_RATE_MIN {
            return Duration::ZERO;
        }
        BURST_TIME.max(Duration::from_secs_f64((BURST - 1.0) / rate))
    }
}
