//! Stand-ins for the cases of the second review: the platform's store, backend servers, callers, and
//! the start and stop of daemons. Standard library only; each listens on a free loopback port.

pub mod client;
pub mod daemon;
pub mod http;
pub mod json;
pub mod record;
pub mod site;
pub mod store;
pub mod takeup;
pub mod worker;
