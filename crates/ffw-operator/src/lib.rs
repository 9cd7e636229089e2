//! Operators' remote procedure calls: code generated from `proto/operator.proto`, the service behind
//! it, and its transport over smol.

pub mod channel;
pub mod key;
pub mod server;
pub mod service;

/// Code generated from `proto/operator.proto`; see `tools/generate`.
#[allow(missing_docs, clippy::all, unreachable_pub, reason = "generated code")]
pub mod generated {
    #[rustfmt::skip]
    mod v1 {
        include!("generated/fireflyworks.operator.v1.rs");
    }

    pub use v1::*;
}
