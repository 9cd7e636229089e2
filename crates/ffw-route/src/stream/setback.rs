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
pub(super) struct Setback {
    /// What the caller is told if no other place is tried.
    pub(super) error: Error,
    /// Server that did not do its part.
    pub(super) failed: Option<Failed>,
    /// Whether another place may be tried.
    pub(super) may_repeat: bool,
    /// Calls that another place repeats.
    pub(super) repeats: u32,
}

/// Names a server and what it did.
pub(super) fn failed(server: &Server, how: Failing) -> Failed {
    Failed { server: server.name.clone(), how }
}

/// The caller takes nothing any more.
pub(super) fn caller_gone() -> Setback {
    Setback {
        error: Error::new(Kind::CallerGone, "the caller does not read"),
        failed: None,
        may_repeat: false,
        repeats: 0,
    }
}

/// What a server did by answering so.
pub(super) fn failing(head: &Response, response_info: &ResponseInfo) -> Failing {
    match response_info.is_not_run {
        true if head.status == 421 => Failing::Replaced,
        true => Failing::Refused,
        false => Failing::Broken,
    }
}
