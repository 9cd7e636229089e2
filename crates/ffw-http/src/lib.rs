//! HTTP/1.1 over smol by `async-h1`: one call over one connection, and a server loop with limits.

pub mod client;
pub mod connection;
pub mod fault;
pub mod feed;
pub mod framing;
pub mod message;
pub mod pool;
pub mod server;
