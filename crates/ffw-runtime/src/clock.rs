//! The monotonic clock, relative to an origin in this process; the clock since boot; and the wall
//! clock.

use {
    ffw_protocol::time::Moment,
    std::{
        sync::OnceLock,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Time on the monotonic clock since the process's origin, which is the first call.
pub fn elapsed() -> Duration {
    ORIGIN.get_or_init(Instant::now).elapsed()
}

/// Time since the machine booted, including the time for which it was suspended.
pub fn boot_time() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Moment(seconds * 1_000_000 + nanos / 1_000)
}

/// Wall-clock time since the Unix epoch; zero if the clock is set before it.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
