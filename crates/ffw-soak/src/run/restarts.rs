//! Runs in which the daemons restart one after the other under steady bookings. At its end, a daemon
//! is at times without a request, its entry takes a moment to remove, and callers still connect.

use {super::Harness, crate::daemon::Daemon, eyre::Result, std::time::Duration};

/// Time by which responses of the store are late.
const STORE_DELAY: Duration = Duration::from_millis(50);

/// Time for which bookings run: longer than a daemon takes to remove its entry.
const BOOKING_TIME: Duration = Duration::from_millis(150);

/// Grace period of the daemons, in seconds: so long that they serve callers until they close their
/// listeners.
const GRACE_S: u64 = 8;

/// Sets the grace period of a daemon that is not started yet.
pub(super) fn lengthen_grace(daemon: &Daemon) -> Result<()> {
    daemon.change_settings(|file| file["bounds"]["graceS"] = GRACE_S.into())
}

impl Harness {
    /// Makes the store and the servers slow.
    pub(super) fn prepare_restarts(&self) {
        self.store.set_response_delay(STORE_DELAY);
        let workers = self.servers.iter().map(|server| &server.worker);
        workers.for_each(|worker| worker.set_plain_time(BOOKING_TIME));
    }
}
