//! The lease of a controller, stored as an object in the platform's store.
//!
//! The holder measures its lease from the start of its last successful write and stops acting well
//! before a candidate may replace it. A candidate measures from the start of the read that first
//! returned the lease's current resource version, on its own clock, and waits longer than any
//! holder may act. Clocks of different instances are never compared. Each change of holder raises
//! the fencing number, by which engines can reject orders of an earlier holder.
//!
//! The store may be restored from an earlier copy of itself, in which the lease is older or
//! missing. From then on no earlier lease is in force: each holder must acquire it again, and
//! fencing numbers start above a base that is higher than all earlier ones. A holder that does not
//! know of the restore may still act on a lease that is missing now, so a missing lease is created
//! only after [`TAKEOVER_TIME`].

use {
    ffw_protocol::time::Moment,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Time for which a holder may act, from the start of its last successful write.
pub const HOLD_TIME: Duration = Duration::from_secs(4);

/// Period at which a holder renews the lease.
pub const RENEW_PERIOD: Duration = Duration::from_secs(1);

/// Time without a renewal after which a candidate may replace the holder. The difference to
/// [`HOLD_TIME`] is the longest permitted time between a holder's last check of its clock and the
/// arrival of its order.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(8);

/// Content of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Instance that holds the lease.
    pub holder: Arc<str>,
    /// Incarnation of the holder: distinguishes the processes that run under one instance name.
    pub incarnation: u64,
    /// Fencing number; increases with each change of holder.
    pub fence: u64,
    /// Number of renewals by this holder; makes each write change the object.
    pub renewals: u64,
}

/// A lease as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Content of the object.
    pub lease: Lease,
    /// Resource version of the object.
    pub resource_version: Arc<str>,
}

/// One daemon's state of a lease: the object as last read or written, and whether this daemon holds
/// it.
#[derive(Clone, Debug)]
pub struct Tracker {
    instance: Arc<str>,
    incarnation: u64,
    seen: Option<Stored>,
    /// Start of the read that first returned the current resource version, or of its write.
    version_seen_at: Moment,
    held_since: Option<Moment>,
    /// Fencing numbers of leases that are in force are above this one.
    fence_base: u64,
    /// Time from which a missing lease may be created.
    create_from: Moment,
}

/// A conditional write of the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Create the object.
    Create(Lease),
    /// Replace the object if it has this resource version.
    Replace(Arc<str>, Lease),
}

impl Tracker {
    /// A tracker that has not read the lease yet. `incarnation` identifies this process among those
    /// of the instance.
    pub fn new(instance: Arc<str>, incarnation: u64) -> Tracker {
        Tracker {
            instance,
            incarnation,
            seen: None,
            version_seen_at: Moment(0),
            held_since: None,
            fence_base: 0,
            create_from: Moment(0),
        }
    }

    /// Records that the store may have been restored just before `now`: the lease is not held any
    /// more, and a missing one is not created for [`TAKEOVER_TIME`]. Fencing numbers from now on
    /// are above `fence_base`.
    pub fn record_restore(&mut self, now: Moment, fence_base: u64) {
        self.fence_base = self.fence_base.max(fence_base);
        self.create_from = now + TAKEOVER_TIME;
        self.held_since = None;
        self.seen = None;
        self.version_seen_at = now;
    }

    /// Raises the number above which fencing numbers are given, without a restore.
    pub fn raise_fence_base(&mut self, fence_base: u64) {
        self.fence_base = self.fence_base.max(fence_base);
    }

    /// Records the object as it was read; `None` if it does not exist. `now` is a time before the
    /// read began.
    pub fn record_read(&mut self, now: Moment, seen: Option<Stored>) {
        let resource =
            |seen: &Option<Stored>| seen.as_ref().map(|seen| seen.resource_version.clone());
        if resource(&seen) != resource(&self.seen) {
            self.version_seen_at = now;
        }
        if seen.as_ref().is_none_or(|seen| !self.is_own(&seen.lease)) {
            self.held_since = None;
        }
        self.seen = seen;
    }

    /// The write by which this daemon acquires or renews the lease now; `None` while another
    /// holder's lease may still be in force.
    pub fn next_write(&self, now: Moment) -> Option<Write> {
        let Some(seen) = &self.seen else {
            let create = Write::Create(self.own_lease(self.fence_base + 1, 0));
            return (now >= self.create_from).then_some(create);
        };
        let lease = &seen.lease;
        if self.is_own(lease) && lease.fence > self.fence_base {
            let renewed = self.own_lease(lease.fence, lease.renewals + 1);
            return Some(Write::Replace(seen.resource_version.clone(), renewed));
        }
        let is_expired = now.since(self.version_seen_at) >= TAKEOVER_TIME;
        is_expired.then(|| {
            let fence = lease.fence.max(self.fence_base) + 1;
            Write::Replace(seen.resource_version.clone(), self.own_lease(fence, 0))
        })
    }

    /// Records a successful write that began at `began`; the lease is held from then.
    pub fn record_written(&mut self, began: Moment, seen: Stored) {
        self.version_seen_at = began;
        self.held_since = Some(began);
        self.seen = Some(seen);
    }

    /// Treats the lease as not held until a further write succeeds, after a write that was rejected
    /// or whose result isn't known. If that write did take effect, it does not extend the time for
    /// which the lease is held.
    pub fn mark_not_held(&mut self) {
        self.held_since = None;
    }

    /// The fencing number with which this daemon may act now; `None` if it does not hold the lease.
    pub fn fence(&self, now: Moment) -> Option<u64> {
        let held_since = self.held_since?;
        let seen = self.seen.as_ref()?;
        (now.since(held_since) < HOLD_TIME).then_some(seen.lease.fence)
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.instance && lease.incarnation == self.incarnation
    }

    fn own_lease(&self, fence: u64, renewals: u64) -> Lease {
        let holder = self.instance.clone();
        Lease { holder, incarnation: self.incarnation, fence, renewals }
    }
}
