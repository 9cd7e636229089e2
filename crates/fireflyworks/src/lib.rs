//! The command line of fireflyworks: one module a command, each listing its own examples.

pub mod client;
pub mod command;
pub mod logs;
pub mod settings;
