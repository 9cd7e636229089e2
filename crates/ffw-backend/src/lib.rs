//! Clients of backend servers: model engines and plain services, both over HTTP.

pub mod engine;
pub mod plain;
