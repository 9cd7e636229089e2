//! Types shared by all crates of fireflyworks: identifiers, error kinds, declarations, admission
//! messages and ledger records. Nothing here does I/O or reads a clock.

pub mod admission;
pub mod belief;
pub mod config;
pub mod declaration;
pub mod digest;
pub mod error;
pub mod id;
pub mod instance;
pub mod ledger;
pub mod origin;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod route;
pub mod software;
pub mod time;
