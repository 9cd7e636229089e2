//! Versions of servers' software at which a stream that callers may still take up can have begun.
//!
//! A daemon may know only from the list of servers where such a stream began, as the memory of its
//! origin can be lost with the daemons that had it. The list of now is not enough, since the last
//! server of the stream's version may just have left. So a version counts from its first listing
//! until no server of it has been listed for the lifetime of an origin, which is the longest time
//! from a stream's first event until a caller may take it up.
//!
//! A daemon that has just started, or has missed changes of the list, does not know what was listed
//! before. It reads the record of versions that daemons keep in the store, or observes the list for
//! the lifetime. What the record should hold is decided here as well, by [`History::plan`].

use {
    ffw_protocol::{declaration::Deployment, software::Version, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Shortest lifetime of an origin.
const LIFETIME_MIN: Duration = Duration::from_secs(60);

/// Time after which a version that is no longer listed is forgotten. It is longer than any lifetime
/// that a configuration may bring later.
const FORGET_AFTER: Duration = Duration::from_secs(24 * 3_600);

/// Time after a restore of the store in which servers that it has lost write their entries again.
const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Longest time from the first start of the system to the first list that a daemon reads, in which no
/// server can have come, served and left. A server that leaves stays listed for longer.
const FIRST_LIST_MAX: Duration = Duration::from_secs(2);

/// Longest time from a stream's first event until a caller may take it up: twice the longest
/// timeout of a stream route, since the first attempt and its continuation have one each.
pub fn lifetime(deployment: &Deployment) -> Duration {
    let streams = deployment.routes.iter().filter(|route| route.is_stream);
    let longest = streams.map(|route| route.timeout_ms).max().unwrap_or(0);
    LIFETIME_MIN.max(Duration::from_millis(longest.saturating_mul(2)))
}

/// A backend server of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of the server.
    pub server: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// Version of its software; `None` if it is not known.
    pub version: Option<Version>,
}

/// A version that appears in the list of a pool's servers, or is gone from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The version.
    pub version: Version,
    /// Whether it is listed now.
    pub is_listed: bool,
}

/// The versions of all pools, listed now and before.
#[derive(Clone, Debug)]
pub struct History {
    lifetime: Duration,
    /// Since when no change of the list can have been missed; `None` before the first list.
    observed_since: Option<Moment>,
    /// Whether nothing was listed before `observed_since`, in any pool.
    is_from_start: bool,
    /// Time until which servers may be missing in the list that the copy lacked from which the
    /// store was restored; `None` before the first restore.
    settles_at: Option<Moment>,
    /// In order of name.
    pools: Vec<Pool>,
}

#[derive(Clone, Debug)]
struct Pool {
    name: Arc<str>,
    /// Whether the versions from before `observed_since` are known.
    is_past_known: bool,
    /// In order of version.
    versions: Vec<Seen<Version>>,
    /// Servers of unknown version, in order of name.
    unknown: Vec<Seen<Arc<str>>>,
}

#[derive(Clone, Debug)]
struct Seen<T> {
    what: T,
    is_listed: bool,
    /// When it was last listed, unless it is now.
    last: Moment,
}

impl<T: Ord> Seen<T> {
    fn counts(&self, now: Moment, lifetime: Duration) -> bool {
        self.is_listed || now.since(self.last) < lifetime
    }

    /// Records in a sorted list that `what` was listed at `now`, and whether it still is.
    fn record(list: &mut Vec<Seen<T>>, what: T, now: Moment, is_listed: bool) {
        match list.binary_search_by(|seen| seen.what.cmp(&what)) {
            Ok(index) => {
                list[index].is_listed |= is_listed;
                list[index].last = list[index].last.max(now);
            }
            Err(index) => list.insert(index, Seen { what, is_listed, last: now }),
        }
    }
}

impl Default for History {
    fn default() -> History {
        History {
            lifetime: LIFETIME_MIN,
            observed_since: None,
            is_from_start: false,
            settles_at: None,
            pools: Vec::new(),
        }
    }
}

impl History {
    /// Sets the lifetime of an origin.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Since when no change of the list can have been missed; `None` before the first list.
    pub fn observed_since(&self) -> Option<Moment> {
        self.observed_since
    }

    /// Records that changes of the list before `now` may have been missed.
    pub fn record_gap(&mut self, now: Moment) {
        self.observed_since = Some(now);
        self.is_from_start = false;
        self.pools.iter_mut().for_each(|pool| pool.is_past_known = false);
    }

    /// Records a list from a store that was restored from an earlier copy of itself. It lacks the
    /// servers that came since the copy, until they have written their entries again.
    pub fn record_restore(&mut self, now: Moment) {
        self.settles_at = Some(now + RESTORE_SETTLE_TIME);
    }

    /// Records that the whole system started for the first time at `started_at`. Then the past of
    /// every pool is known, also of those that come later, as long as no change is missed. This
    /// holds only if the list was read soon: a version may have come and gone before a later one.
    pub fn record_first_start(&mut self, started_at: Moment) {
        let Some(since) = self.observed_since else { return };
        self.is_from_start = since.since(started_at) <= FIRST_LIST_MAX;
    }

    /// Records that a server was listed, if only for a moment.
    pub fn record_server(&mut self, now: Moment, listed: &Listed) {
        self.pool(&listed.pool).record(now, listed, false);
    }

    /// Records the whole list of servers; returns the changes of listed versions.
    pub fn record_list(&mut self, now: Moment, list: &[Listed]) -> Vec<Change> {
        let before = self.listed();
        for pool in &mut self.pools {
            unlist(&mut pool.versions, now);
            unlist(&mut pool.unknown, now);
        }
        for listed in list {
            self.pool(&listed.pool).record(now, listed, true);
        }
        self.forget(now);
        let after = self.listed();
        let mut changes = Vec::new();
        add_missing(&mut changes, &after, &before, true);
        add_missing(&mut changes, &before, &after, false);
        changes
    }

    /// Records what the store held for a pool at `now`; `None` if it held no record, as for a pool
    /// whose servers have never stated a version. `observed_since` is the value from before the
    /// read; the read counts for nothing if changes have been missed since then.
    pub fn record_stored(
        &mut self,
        now: Moment,
        observed_since: Option<Moment>,
        pool: &Arc<str>,
        stored: Option<&[Version]>,
    ) {
        if observed_since != self.observed_since {
            return;
        }
        let pool = self.pool(pool);
        for version in stored.unwrap_or_default() {
            Seen::record(&mut pool.versions, version.clone(), now, false);
        }
        let is_unstated = pool.unknown.is_empty()
            && pool.versions.iter().all(|seen| seen.what == Version::Unstated);
        pool.is_past_known |= stored.is_some() || is_unstated;
    }

    /// The only version at which a stream of a pool that callers may still take up can have begun;
    /// `None` if there are several, or if not all are known.
    pub fn sole(&self, now: Moment, pool: &str) -> Option<Version> {
        let pool = self.find(pool)?;
        let mut versions = self.versions(now, pool);
        let sole = versions.next()?;
        let is_sole = versions.next().is_none();
        (is_sole && self.knows_all(now, pool)).then(|| sole.clone())
    }

    /// Whether several versions are known at which such a stream can have begun.
    pub fn has_several(&self, now: Moment, pool: &str) -> bool {
        self.find(pool).is_some_and(|pool| self.versions(now, pool).nth(1).is_some())
    }

    /// Versions that a pool's record in the store should hold, sorted, in place of `stored`;
    /// `None` if it needs no write.
    pub fn plan(
        &self,
        now: Moment,
        pool: &str,
        stored: Option<&[Version]>,
    ) -> Option<Vec<Version>> {
        let pool = self.find(pool)?;
        let mut wanted: Vec<Version> = self.versions(now, pool).cloned().collect();
        let Some(stored) = stored else {
            // A record tells others that it is complete.
            let is_stated = wanted.iter().any(|version| *version != Version::Unstated);
            return (is_stated && self.knows_all(now, pool)).then_some(wanted);
        };
        wanted.extend(stored.iter().filter(|version| !self.is_past(now, pool, version)).cloned());
        wanted.sort();
        wanted.dedup();
        let mut before = stored.to_vec();
        before.sort();
        before.dedup();
        (wanted != before).then_some(wanted)
    }

    /// Names of the pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.iter().map(|pool| &pool.name)
    }

    /// Versions at which such a stream can have begun, as far as they are known.
    fn versions<'a>(&self, now: Moment, pool: &'a Pool) -> impl Iterator<Item = &'a Version> {
        let lifetime = self.lifetime;
        let counting = pool.versions.iter().filter(move |seen| seen.counts(now, lifetime));
        counting.map(|seen| &seen.what)
    }

    fn knows_all(&self, now: Moment, pool: &Pool) -> bool {
        let Some(since) = self.observed_since else { return false };
        if self.settles_at.is_some_and(|at| now < at) {
            return false;
        }
        (self.is_from_start || pool.is_past_known || now.since(since) >= self.lifetime)
            && !pool.unknown.iter().any(|seen| seen.counts(now, self.lifetime))
    }

    /// Whether this daemon itself has seen for the lifetime that no server of a version is listed.
    fn is_past(&self, now: Moment, pool: &Pool, version: &Version) -> bool {
        let Some(since) = self.observed_since else { return false };
        now.since(since) >= self.lifetime
            && self.settles_at.is_none_or(|at| now >= at)
            && !pool.unknown.iter().any(|seen| seen.counts(now, self.lifetime))
            && !self.versions(now, pool).any(|counting| counting == version)
    }

    /// Pools with the versions of their listed servers, in order.
    fn listed(&self) -> Vec<(Arc<str>, Version)> {
        let of_pool = |pool: &Pool| {
            let listed = pool.versions.iter().filter(|seen| seen.is_listed);
            listed.map(|seen| (pool.name.clone(), seen.what.clone())).collect::<Vec<_>>()
        };
        self.pools.iter().flat_map(of_pool).collect()
    }

    fn forget(&mut self, now: Moment) {
        for pool in &mut self.pools {
            pool.versions.retain(|seen| seen.counts(now, FORGET_AFTER));
            pool.unknown.retain(|seen| seen.counts(now, FORGET_AFTER));
        }
    }

    fn find(&self, name: &str) -> Option<&Pool> {
        let found = self.pools.binary_search_by(|pool| (*pool.name).cmp(name));
        found.ok().map(|index| &self.pools[index])
    }

    fn pool(&mut self, name: &Arc<str>) -> &mut Pool {
        let found = self.pools.binary_search_by(|pool| pool.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            self.pools.insert(index, Pool::new(name.clone()));
            index
        });
        &mut self.pools[index]
    }
}

impl Pool {
    fn new(name: Arc<str>) -> Pool {
        Pool { name, is_past_known: false, versions: Vec::new(), unknown: Vec::new() }
    }

    /// Records a server. Once its version is known, it no longer counts as a server of unknown
    /// version.
    fn record(&mut self, now: Moment, listed: &Listed, is_listed: bool) {
        let Some(version) = &listed.version else {
            Seen::record(&mut self.unknown, listed.server.clone(), now, is_listed);
            return;
        };
        self.unknown.retain(|seen| seen.what != listed.server);
        Seen::record(&mut self.versions, version.clone(), now, is_listed);
    }
}

fn unlist<T>(list: &mut [Seen<T>], now: Moment) {
    for seen in list.iter_mut().filter(|seen| seen.is_listed) {
        seen.is_listed = false;
        seen.last = now;
    }
}

/// Adds a change for each pair of `from` that is missing in `other`; both are sorted.
fn add_missing(
    changes: &mut Vec<Change>,
    from: &[(Arc<str>, Version)],
    other: &[(Arc<str>, Version)],
    is_listed: bool,
) {
    let missing = from.iter().filter(|pair| other.binary_search(pair).is_err());
    changes.extend(missing.map(|(pool, version)| Change {
        pool: pool.clone(),
        version: version.clone(),
        is_listed,
    }));
}
