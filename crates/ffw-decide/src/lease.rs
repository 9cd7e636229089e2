//! A lease of a controller, kept as an object of the platform.
//!
//! The holder counts the lease from before its last successful write began and stops well before
//! the end; a candidate counts from when it first saw the lease's present version, on its own
//! clock, and waits longer than any holder may act. Clocks of instances are never compared.

use {
    ffw_protocol::time::Moment,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Time for which a holder may act after it began its last successful write.
pub const HOLD_TIME: Duration = Duration::from_secs(4);

/// Period of renewal.
pub const RENEW_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a candidate must see no renewal. The difference to [`HOLD_TIME`] bounds the
/// pause between a holder's last look at its clock and the arrival of its order.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(8);

/// Content of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Instance that holds it.
    pub holder: Arc<str>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Fencing number: one higher with each change of holder.
    pub fence: u64,
    /// Number of renewals, so that each write changes the object.
    pub renewals: u64,
}

/// A lease as the platform returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The lease.
    pub lease: Lease,
    /// Its resource version.
    pub resource: Arc<str>,
}

/// What one daemon knows of a lease.
#[derive(Clone, Debug)]
pub struct Tracker {
    instance: Arc<str>,
    incarnation: u64,
    seen: Option<Seen>,
    first_seen: Moment,
    held_from: Option<Moment>,
}

/// A write to try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// Create the object.
    Create(Lease),
    /// Replace the object at this resource version.
    Replace(Arc<str>, Lease),
}

impl Tracker {
    /// A tracker that knows nothing of the lease yet.
    pub fn new(instance: Arc<str>, incarnation: u64) -> Tracker {
        Tracker { instance, incarnation, seen: None, first_seen: Moment(0), held_from: None }
    }

    /// Takes the object as read over; none if there is none.
    pub fn record_read(&mut self, now: Moment, seen: Option<Seen>) {
        let resource = |seen: &Option<Seen>| seen.as_ref().map(|one| one.resource.clone());
        if resource(&seen) != resource(&self.seen) {
            self.first_seen = now;
        }
        if seen.as_ref().is_none_or(|one| !self.is_own(&one.lease)) {
            self.held_from = None;
        }
        self.seen = seen;
    }

    /// The write to try now, if there is one.
    pub fn attempt(&self, now: Moment) -> Option<Attempt> {
        let Some(seen) = &self.seen else {
            return Some(Attempt::Create(self.own_lease(1, 0)));
        };
        let lease = &seen.lease;
        if self.is_own(lease) {
            let renewed = self.own_lease(lease.fence, lease.renewals + 1);
            return Some(Attempt::Replace(seen.resource.clone(), renewed));
        }
        let is_silent = now.since(self.first_seen) >= TAKEOVER_TIME;
        is_silent
            .then(|| Attempt::Replace(seen.resource.clone(), self.own_lease(lease.fence + 1, 0)))
    }

    /// Takes a successful write over that began at `began`.
    pub fn record_written(&mut self, began: Moment, seen: Seen) {
        self.first_seen = began;
        self.held_from = Some(began);
        self.seen = Some(seen);
    }

    /// Drops what is known of the object, so that the next read decides; the time for which the
    /// lease is held does not grow by it.
    pub fn forget(&mut self) {
        self.held_from = None;
    }

    /// The fencing number under which this daemon may act now.
    pub fn fence(&self, now: Moment) -> Option<u64> {
        let from = self.held_from?;
        let seen = self.seen.as_ref()?;
        (now.since(from) < HOLD_TIME).then_some(seen.lease.fence)
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.instance && lease.incarnation == self.incarnation
    }

    fn own_lease(&self, fence: u64, renewals: u64) -> Lease {
        let holder = self.instance.clone();
        Lease { holder, incarnation: self.incarnation, fence, renewals }
    }
}
