//! Runtime of a daemon: the executor, timers, clocks, signals, listeners, and the byte counts of
//! connections.

pub mod budget;
pub mod clock;
pub mod coop;
pub mod executor;
pub mod listener;
pub mod meter;
pub mod shutdown;
pub mod timer;
