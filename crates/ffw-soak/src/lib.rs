//! Soak test: runs daemons as separate processes on one machine, injects faults from outside the
//! processes, and checks the guarantees to callers against what the callers and the backend servers
//! recorded.

pub mod caller;
pub mod check;
pub mod client;
pub mod daemon;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod store;
pub mod wire;
pub mod worker;
