//! What every part of a daemon runs on: the executor, the timer service, the clock and the
//! shutdown signal.

pub mod clock;
pub mod executor;
pub mod meter;
pub mod shutdown;
pub mod timer;
