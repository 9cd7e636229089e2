//! Runtime of a daemon: the executor, timers, clocks, signals, listeners, the byte counts of
//! connections, and notices of events and of odd input.

pub mod budget;
pub mod clock;
pub mod coop;
pub mod executor;
pub mod listener;
pub mod meter;
pub mod oddity;
pub mod shutdown;
pub mod signal;
pub mod timer;
