//! HTTP clients of the two kinds of backend servers: model engines and plain servers.

pub mod engine;
pub mod plain;
