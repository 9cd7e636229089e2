//! What the tests share: builders, a driver that runs one shard against exact engines in virtual
//! time, and a cluster of daemon processes among stand-ins.

pub mod build;
pub mod cluster;
pub mod drive;
pub mod seed;
