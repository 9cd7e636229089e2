//! Test support: builders of messages, a simulation that runs one shard against deterministic
//! engines in virtual time, and a cluster of daemon processes with stand-ins for the platform and
//! the backend servers.

pub mod build;
pub mod cluster;
pub mod drive;
pub mod permit;
pub mod port;
pub mod seed;
