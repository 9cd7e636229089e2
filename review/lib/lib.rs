//! Stand-ins and helpers of the review's scripts. Only the standard library is used.
#![allow(dead_code)]

#[path = "client.rs"]
pub mod client;
#[path = "config.rs"]
pub mod config;
#[path = "daemon.rs"]
pub mod daemon;
#[path = "engine.rs"]
pub mod engine;
#[path = "http.rs"]
pub mod http;
#[path = "json.rs"]
pub mod json;
#[path = "plain.rs"]
pub mod plain;
#[path = "record.rs"]
pub mod record;
#[path = "store.rs"]
pub mod store;
