//! Runs real daemons as separate processes on one machine, injects faults from outside them, and
//! checks the promises of the pages from what callers and backend servers see.

pub mod caller;
pub mod check;
pub mod daemon;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod store;
pub mod wire;
pub mod worker;
