//! The process's monotonic origin and the wall clock.

use {
    ffw_protocol::time::Moment,
    std::{
        sync::OnceLock,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Time since the process's origin, on the monotonic clock.
pub fn elapsed() -> Duration {
    ORIGIN.get_or_init(Instant::now).elapsed()
}

/// Time since the machine's start, which goes on while the machine is suspended.
pub fn boot_time() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Moment(seconds * 1_000_000 + nanos / 1_000)
}

/// Wall-clock time since the Unix epoch.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
