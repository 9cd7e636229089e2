//! The instances of one kind that a store lists, kept usable through outages of the store.
//!
//! An object in the store can expire during an outage although its instance is running; such an
//! instance writes its object again soon after the outage. An object that is missing after an
//! outage is therefore treated as removed only after a delay, so that an outage does not take
//! running instances out of use.

use {
    ffw_protocol::{instance::Instance, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Shortest outage in which objects may expire. A connection that was cut is opened again sooner,
/// and then removals are not delayed.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// Time after an outage within which instances write their expired objects again.
const REWRITE_TIME_MAX: Duration = Duration::from_millis(2_100);

/// One object of the list.
#[derive(Clone, Debug)]
struct Object {
    /// Name of the object in the store.
    key: Arc<str>,
    /// The instance; `None` if the object can't be used.
    instance: Option<Instance>,
    /// Time from which the object is to be removed; `None` while the store lists it.
    remove_at: Option<Moment>,
}

/// Objects of one kind, in order of their names, and the state of the connection to the store.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    objects: Vec<Object>,
    failing_since: Option<Moment>,
    removals_delayed_until: Moment,
}

impl Listing {
    /// Records that a call to the store failed; returns whether it is the first one since a call
    /// succeeded.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        is_first
    }

    /// Records that a call to the store succeeded; returns the length of the outage that this ends,
    /// `None` if the call before succeeded too.
    pub fn record_success(&mut self, now: Moment) -> Option<Duration> {
        let outage = now.since(self.failing_since.take()?);
        if outage >= OUTAGE_MIN {
            self.removals_delayed_until = now + REWRITE_TIME_MAX;
        }
        Some(outage)
    }

    /// Records that the store was restored from an earlier copy of itself, which lacks what
    /// instances have written since. Removals are delayed as after an outage.
    pub fn record_restore(&mut self, now: Moment) {
        self.removals_delayed_until = now + REWRITE_TIME_MAX;
    }

    /// Adds or replaces an object; `instance` is `None` if the object can't be used.
    pub fn put(&mut self, key: &Arc<str>, instance: Option<Instance>) {
        let object = Object { key: key.clone(), instance, remove_at: None };
        match self.objects.binary_search_by(|object| object.key.cmp(key)) {
            Ok(index) => self.objects[index] = object,
            Err(index) => self.objects.insert(index, object),
        }
    }

    /// Marks an object for removal, which [`Listing::expire`] carries out; returns the time until a
    /// removal that is marked now is due.
    pub fn remove(&mut self, now: Moment, key: &str) -> Duration {
        let remove_at = now.max(self.removals_delayed_until);
        if let Ok(index) = self.objects.binary_search_by(|object| (*object.key).cmp(key)) {
            self.objects[index].remove_at.get_or_insert(remove_at);
        }
        remove_at.since(now)
    }

    /// Marks the objects that aren't listed for removal, with the same delay as
    /// [`Listing::remove`].
    pub fn retain(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        let remove_at = now.max(self.removals_delayed_until);
        let missing = self.objects.iter_mut().filter(|object| !is_listed(&object.key));
        missing.for_each(|object| {
            object.remove_at.get_or_insert(remove_at);
        });
    }

    /// Drops the objects whose removal is due; returns the time until the next one is due, `None`
    /// if no removal is pending.
    pub fn expire(&mut self, now: Moment) -> Option<Duration> {
        self.objects.retain(|object| object.remove_at.is_none_or(|time| time > now));
        let next = self.objects.iter().filter_map(|object| object.remove_at).min();
        next.map(|time| time.since(now))
    }

    /// Names of the instances whose removal is pending, sorted. While there are any, the daemon
    /// must not send its list to other daemons as one that is newer than theirs, because theirs may
    /// be more accurate.
    pub fn pending_removals(&self) -> Vec<Arc<str>> {
        let pending = self.objects.iter().filter(|object| object.remove_at.is_some());
        let mut names: Vec<Arc<str>> = pending
            .filter_map(|object| object.instance.as_ref())
            .map(|instance| instance.name.clone())
            .collect();
        names.sort();
        names
    }

    /// The usable instances, including those whose removal is pending.
    pub fn instances(&self) -> Vec<Instance> {
        self.objects.iter().filter_map(|object| object.instance.clone()).collect()
    }
}
