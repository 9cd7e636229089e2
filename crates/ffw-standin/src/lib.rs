//! Stand-ins for the systems outside: the platform, model engines and plain services. They speak
//! the published protocols, count what they do, and bring faults about on request under
//! `/control`. For development only; no part of them is in the shipped binary.

pub mod answer;
pub mod caller;
pub mod engine;
pub mod plain;
pub mod platform;
pub mod route;
