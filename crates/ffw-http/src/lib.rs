//! HTTP/1.1 over smol.
//!
//! [`client`] and [`server`] use `async-h1`: one call per connection, and a server loop with limits
//! on time, body size and connections. [`connection`], [`message`], [`framing`] and [`pool`] read
//! and write messages without rewriting them, for the router.

pub mod body;
mod buffer;
pub mod client;
pub mod connection;
pub mod fault;
pub mod framing;
mod head;
pub mod message;
pub mod pool;
pub mod server;
