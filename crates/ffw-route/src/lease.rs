//! The lease that allows one daemon at a time to give orders to engines.
//!
//! The lease is an object of the platform's store; [`Storage`] reads and writes it, and
//! [`ffw_decide::lease::Tracker`] decides when this daemon may write and until when it holds the
//! lease. The fencing number goes out with each order.

use {
    ffw_control::announce::StoreFuture,
    ffw_decide::lease::{Stored, Tracker, Write},
    ffw_runtime::clock,
    log::{info, warn},
    std::{fmt, sync::Arc},
};

/// Functions that read and write the lease object in the store.
pub struct Storage {
    /// Reads the lease; `None` if there is no such object.
    pub read: Box<dyn Fn() -> StoreFuture<Option<Stored>> + Send + Sync>,
    /// Creates or replaces the lease, unless the object has changed since it was read.
    pub write: Box<dyn Fn(Write) -> StoreFuture<Stored> + Send + Sync>,
    /// Number below all fencing numbers that are valid now; rises each time the store is restored
    /// from an earlier copy of itself.
    pub fence_base: Box<dyn Fn() -> u64 + Send + Sync>,
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Storage")
    }
}

/// The lease as this daemon sees it.
#[derive(Debug)]
pub struct Lease {
    storage: Storage,
    tracker: Tracker,
    /// Value of [`Storage::fence_base`] that the tracker knows.
    fence_base: u64,
}

impl Lease {
    /// A lease that has not been read yet.
    pub fn new(storage: Storage, instance: Arc<str>, incarnation: u64) -> Lease {
        let fence_base = (storage.fence_base)();
        let mut tracker = Tracker::new(instance, incarnation);
        // The store may have been restored just before this process started.
        tracker.record_restore(clock::boot_time(), fence_base);
        Lease { storage, tracker, fence_base }
    }

    /// Fencing number; `None` if this daemon does not hold the lease now, or the store was restored
    /// since it acquired the lease.
    pub fn fence(&self) -> Option<u64> {
        let is_void = (self.storage.fence_base)() != self.fence_base;
        if is_void { None } else { self.tracker.fence(clock::boot_time()) }
    }

    /// Takes over a change of the base of fencing numbers. The first era of the store that becomes
    /// known is no restore.
    fn update_fence_base(&mut self) {
        let fence_base = (self.storage.fence_base)();
        let before = std::mem::replace(&mut self.fence_base, fence_base);
        if fence_base == before {
            return;
        }
        if before == 0 {
            self.tracker.raise_fence_base(fence_base);
        } else {
            warn!("event=lease_void cause=store_restored fence_base={fence_base}");
            self.tracker.record_restore(clock::boot_time(), fence_base);
        }
    }

    /// Returns the fencing number if the lease is held; otherwise reads the lease and tries to
    /// renew it, if it is this daemon's own, or else to acquire it. `None` if the lease is not held
    /// after that.
    pub async fn acquire(&mut self) -> Option<u64> {
        if let Some(fence) = self.fence() {
            return Some(fence);
        }
        self.update_fence_base();
        // The age of the lease is measured from the start of the read.
        let started_at = clock::boot_time();
        match (self.storage.read)().await {
            Ok(seen) => self.tracker.record_read(started_at, seen),
            Err(err) => {
                warn!("event=lease_unread error=\"{err}\"");
                return None;
            }
        }
        let started_at = clock::boot_time();
        let attempt = self.tracker.next_write(started_at)?;
        match (self.storage.write)(attempt).await {
            Ok(seen) => {
                self.tracker.record_written(started_at, seen);
                info!("event=lease_acquired fence={:?}", self.fence());
            }
            Err(err) => {
                // The write may have succeeded or not; the next call reads the lease again.
                self.tracker.mark_not_held();
                warn!("event=lease_not_acquired error=\"{err}\"");
            }
        }
        self.fence()
    }
}
