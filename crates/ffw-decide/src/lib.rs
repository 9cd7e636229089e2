//! Decisions of the router as plain state machines. Nothing in this crate does I/O, reads a clock
//! or draws random numbers; the time is an argument. A test can therefore run any sequence of
//! events without waiting.

pub mod affinity;
pub mod arena;
pub mod attempts;
pub mod balance;
pub mod baseline;
pub mod belief;
pub mod budget;
pub mod burn;
pub mod cache;
pub mod claim;
pub mod config;
pub mod confirm;
pub mod estimate;
pub mod lease;
pub mod listing;
pub mod locality;
pub mod notice;
pub mod order;
pub mod origin;
pub mod permits;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod rendezvous;
pub mod resend;
pub mod retry;
pub mod shard;
