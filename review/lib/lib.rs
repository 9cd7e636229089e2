//! Stand-ins and helpers of the review's scripts. Only the standard library is used.
#![allow(dead_code)]

#[path = "daemon.rs"]
pub mod daemon;
#[path = "http.rs"]
pub mod http;
#[path = "json.rs"]
pub mod json;
#[path = "record.rs"]
pub mod record;
#[path = "store.rs"]
pub mod store;
#[path = "client.rs"]
pub mod client;
#[path = "engine.rs"]
pub mod engine;
#[path = "plain.rs"]
pub mod plain;
#[path = "config.rs"]
pub mod config;
