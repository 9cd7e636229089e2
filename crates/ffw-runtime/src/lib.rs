//! Runtime of a daemon: the executor, timers, clocks, signals, and the byte counts of connections.

pub mod clock;
pub mod executor;
pub mod meter;
pub mod shutdown;
pub mod timer;
