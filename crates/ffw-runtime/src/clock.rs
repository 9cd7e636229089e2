//! The process's monotonic origin and the wall clock.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Time since the process's origin, on the monotonic clock.
pub fn elapsed() -> Duration {
    ORIGIN.get_or_init(Instant::now).elapsed()
}

/// Wall-clock time since the Unix epoch.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
