//! The operators' RPC: code generated from `proto/operator.proto`, the service that implements it,
//! and its transport (gRPC over HTTP/2) on smol.

pub mod channel;
pub mod key;
pub mod server;
pub mod service;

/// Code generated from `proto/operator.proto` by `tools/generate`.
#[allow(missing_docs, clippy::all, unreachable_pub, reason = "generated code")]
pub mod generated {
    #[rustfmt::skip]
    mod v1 {
        include!("generated/fireflyworks.operator.v1.rs");
    }

    pub use v1::*;
}
