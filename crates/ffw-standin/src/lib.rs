//! Stand-ins for the external systems: the platform, model engines and plain servers. They
//! implement the published protocols, count what they do, and inject faults on request through
//! the paths under `/control`. They are for development only; the shipped binary contains no part
//! of them. The module `caller` is a client for tests and experiments.

pub mod answer;
pub mod caller;
pub mod engine;
pub mod handler;
pub mod plain;
pub mod platform;
