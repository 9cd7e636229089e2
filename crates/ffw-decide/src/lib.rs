//! Decisions of the router as plain state machines. Nothing here does I/O, reads a clock or draws
//! random numbers, so that a test can run any history at full speed.

pub mod arena;
pub mod balance;
pub mod baseline;
pub mod budget;
pub mod burn;
pub mod cache;
pub mod claim;
pub mod config;
pub mod estimate;
pub mod lease;
pub mod listing;
pub mod order;
pub mod rendezvous;
pub mod retry;
pub mod shard;
