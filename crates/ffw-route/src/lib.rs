//! Routed requests: matches a caller's request with a route, sends it to a backend server of the
//! route's pool, and passes the server's response on. Only fields that concern the connection and
//! the framing are changed.

pub mod caller;
pub mod dialect;
pub mod engine;
pub mod lease;
mod plain;
pub mod response;
pub mod roles;
pub mod router;
pub mod server;
mod stream;
mod transport;
