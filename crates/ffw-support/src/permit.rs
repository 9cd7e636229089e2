//! Permits for clusters that run at once in a test process, whose stand-ins share its threads and
//! keep to fixed times: short of processor time, they look like servers that don't answer.

use {
    smol::lock::{Semaphore, SemaphoreGuard},
    std::{num::NonZero, sync::OnceLock, thread},
};

/// Allows a cluster to run until dropped.
pub type Permit = SemaphoreGuard<'static>;

/// Waits until another cluster may run in this process, each of which needs `cores` processor
/// cores. All callers in a process give the same number.
pub async fn acquire(cores: NonZero<usize>) -> Permit {
    static PERMITS: OnceLock<Semaphore> = OnceLock::new();
    let permits = PERMITS.get_or_init(|| {
        let all = thread::available_parallelism().map_or(1, NonZero::get);
        Semaphore::new((all / cores).max(1))
    });
    permits.acquire().await
}
