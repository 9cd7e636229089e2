//! Command line of fireflyworks: the daemon and the operators' commands. Each command is a module
//! of its own and lists its examples.

pub mod client;
pub mod command;
pub mod logs;
pub mod settings;
