//! The lease that allows one daemon at a time to give orders to engines.
//!
//! The lease is an object of the platform's store; [`Storage`] reads and writes it, and
//! [`ffw_decide::lease::Tracker`] decides when this daemon may write and until when it holds the
//! lease. The fencing number goes out with each order.

use {
    ffw_decide::lease::{Stored, Tracker, Write},
    ffw_protocol::error::Result,
    ffw_runtime::clock,
    log::{info, warn},
    std::{fmt, future::Future, pin::Pin, sync::Arc},
};

/// Future result of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// Functions that read and write the lease object in the store.
pub struct Storage {
    /// Reads the lease; `None` if there is no such object.
    pub read: Box<dyn Fn() -> StoreFuture<Option<Stored>> + Send + Sync>,
    /// Creates or replaces the lease, unless the object has changed since it was read.
    pub write: Box<dyn Fn(Write) -> StoreFuture<Stored> + Send + Sync>,
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
}

impl Lease {
    /// A lease that has not been read yet.
    pub fn new(storage: Storage, instance: Arc<str>, incarnation: u64) -> Lease {
        Lease { storage, tracker: Tracker::new(instance, incarnation) }
    }

    /// Fencing number; `None` if this daemon does not hold the lease now.
    pub fn fence(&self) -> Option<u64> {
        self.tracker.fence(clock::boot_time())
    }

    /// Returns the fencing number if the lease is held; otherwise reads the lease and tries to
    /// renew it, if it is this daemon's own, or else to acquire it. `None` if the lease is not held
    /// after that.
    pub async fn acquire(&mut self) -> Option<u64> {
        if let Some(fence) = self.fence() {
            return Some(fence);
        }
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
