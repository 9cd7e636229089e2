//! Why a place did not bring a stream to its end.

use {
    crate::dialect::ResponseInfo,
    ffw_http::message::Response,
    ffw_protocol::{
        admission::{Failed, Failing, Server},
        error::{Error, Kind},
    },
};

/// Why one place did not bring the stream to its end.
pub(super) struct AttemptFailure {
    /// What the caller is told if no other place is tried.
    pub(super) error: Error,
    /// Server that did not do its part.
    pub(super) failed: Option<Failed>,
    /// Whether another place may be tried.
    pub(super) may_retry: bool,
    /// Calls that another place repeats.
    pub(super) retry_calls: u32,
}

/// Names a server and what it did.
pub(super) fn failed_server(server: &Server, failing: Failing) -> Failed {
    Failed { server: server.name.clone(), how: failing }
}

/// The caller takes nothing any more.
pub(super) fn caller_gone() -> AttemptFailure {
    AttemptFailure {
        error: Error::new(Kind::CallerGone, "the caller does not read"),
        failed: None,
        may_retry: false,
        retry_calls: 0,
    }
}

/// What a server did by answering so.
pub(super) fn classify(head: &Response, response_info: &ResponseInfo) -> Failing {
    match response_info.is_not_run {
        true if head.status == 421 => Failing::Replaced,
        true => Failing::Refused,
        false => Failing::Broken,
    }
}
