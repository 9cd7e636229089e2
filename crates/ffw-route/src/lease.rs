//! The lease under which one daemon at a time gives orders to engines.

use {
    ffw_decide::lease::{Attempt, Seen, Tracker},
    ffw_protocol::error::Result,
    ffw_runtime::clock,
    log::{info, warn},
    std::{fmt, future::Future, pin::Pin, sync::Arc},
};

/// An answer that is waited for.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// Where the lease is kept.
pub struct Storage {
    /// Reads it.
    pub read: Box<dyn Fn() -> Reply<Option<Seen>> + Send + Sync>,
    /// Writes it, if it still is as it was seen.
    pub write: Box<dyn Fn(Attempt) -> Reply<Seen> + Send + Sync>,
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keeper")
    }
}

/// The lease as this daemon sees it.
#[derive(Debug)]
pub struct Lease {
    storage: Storage,
    tracker: Tracker,
}

impl Lease {
    /// A lease that was not read yet.
    pub fn new(storage: Storage, instance: Arc<str>, incarnation: u64) -> Lease {
        Lease { storage, tracker: Tracker::new(instance, incarnation) }
    }

    /// The fencing number, if the lease is held at this moment.
    pub fn fence(&self) -> Option<u64> {
        self.tracker.fence(clock::boot_time())
    }

    /// Tries to hold the lease; gives the fencing number if it is held.
    pub async fn acquire(&mut self) -> Option<u64> {
        if let Some(fence) = self.fence() {
            return Some(fence);
        }
        // The age of what was read counts from before the call.
        let started_at = clock::boot_time();
        match (self.storage.read)().await {
            Ok(seen) => self.tracker.record_read(started_at, seen),
            Err(err) => {
                warn!("event=lease_unread error=\"{err}\"");
                return None;
            }
        }
        let started_at = clock::boot_time();
        let attempt = self.tracker.attempt(started_at)?;
        match (self.storage.write)(attempt).await {
            Ok(seen) => {
                self.tracker.record_written(started_at, seen);
                info!("event=lease_acquired fence={:?}", self.fence());
            }
            Err(err) => {
                // Whatever became of the write, the next round reads the lease again.
                self.tracker.forget();
                warn!("event=lease_not_acquired error=\"{err}\"");
            }
        }
        self.fence()
    }
}
