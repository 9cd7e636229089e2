//! Routed requests: matches a caller's request with a route, sends it to a backend server of the
//! route's pool, and passes the server's response on. Of a response, only fields that concern the
//! connection and the framing are changed; of a request, the dialect of the platform also
//! changes others.
//!
//! The crate also probes engines that have failed and orders engines to change their roles.

mod body;
pub mod caller;
pub mod dialect;
pub mod engine;
pub mod lease;
mod locality;
mod plain;
pub mod response;
pub mod roles;
pub mod router;
pub mod server;
mod stream;
mod transport;
