//! Routed requests: a caller's request is matched with a route, sent to a backend server of the
//! route's pool, and its answer is passed on as the server gave it.

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
