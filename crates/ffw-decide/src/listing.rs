//! The instances that a store lists, kept through its outages.
//!
//! Entries may lapse while the store is out, though their instances live; those are written again
//! soon after its return. So an entry that is missing then counts as gone only after a time.

use {
    ffw_protocol::{instance::Instance, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Shortest outage in which entries may lapse; a connection that was cut is opened again sooner.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// Time after the store's return within which entries that lapsed are written again.
const LAPSE_LIMIT: Duration = Duration::from_millis(2_100);

/// One listed instance.
#[derive(Clone, Debug)]
struct Entry {
    /// Name under which the store keeps it.
    key: Arc<str>,
    /// The instance; none if the entry can't be used.
    instance: Option<Instance>,
    /// When its removal is believed, if it is not listed any more.
    gone_at: Option<Moment>,
}

/// Instances of one kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    entries: Vec<Entry>,
    lost_since: Option<Moment>,
    held_until: Moment,
}

impl Listing {
    /// Notes that a call failed; answers whether the one before had not.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        let is_first = self.lost_since.is_none();
        self.lost_since.get_or_insert(now);
        is_first
    }

    /// Notes that the store answered; gives the length of the outage that this ends.
    pub fn record_success(&mut self, now: Moment) -> Option<Duration> {
        let outage = now.since(self.lost_since.take()?);
        if outage >= OUTAGE_MIN {
            self.held_until = now + LAPSE_LIMIT;
        }
        Some(outage)
    }

    /// Takes over an entry; `None` if it can't be used.
    pub fn put(&mut self, key: &Arc<str>, instance: Option<Instance>) {
        let entry = Entry { key: key.clone(), instance, gone_at: None };
        match self.entries.binary_search_by(|one| one.key.cmp(key)) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Takes over the removal of an entry; gives the time for which it is held back.
    pub fn remove(&mut self, now: Moment, key: &str) -> Duration {
        let gone_at = now.max(self.held_until);
        if let Ok(at) = self.entries.binary_search_by(|one| (*one.key).cmp(key)) {
            self.entries[at].gone_at.get_or_insert(gone_at);
        }
        gone_at.since(now)
    }

    /// Takes over which entries there are; the others are removed.
    pub fn retain(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        let gone_at = now.max(self.held_until);
        let missing = self.entries.iter_mut().filter(|one| !is_listed(&one.key));
        missing.for_each(|one| {
            one.gone_at.get_or_insert(gone_at);
        });
    }

    /// Drops what is gone; gives the time until the next entry is.
    pub fn expire(&mut self, now: Moment) -> Option<Duration> {
        self.entries.retain(|one| one.gone_at.is_none_or(|at| at > now));
        let next = self.entries.iter().filter_map(|one| one.gone_at).min();
        next.map(|at| at.since(now))
    }

    /// Names of the instances whose removal is held back, in order. A list with such is for this
    /// daemon only: others may know better.
    pub fn pending_removals(&self) -> Vec<Arc<str>> {
        let pending = self.entries.iter().filter(|one| one.gone_at.is_some());
        let mut names: Vec<Arc<str>> =
            pending.filter_map(|one| one.instance.as_ref()).map(|one| one.name.clone()).collect();
        names.sort();
        names
    }

    /// The instances that can be used.
    pub fn instances(&self) -> Vec<Instance> {
        self.entries.iter().filter_map(|one| one.instance.clone()).collect()
    }
}
