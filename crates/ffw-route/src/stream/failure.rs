//! Failures of a stream's attempt: the error for the caller, the server that failed, and whether a
//! retry is possible.

use {
    crate::dialect::ResponseInfo,
    ffw_http::message::Response,
    ffw_protocol::{
        admission::{Failed, Failing, Server},
        error::{Error, Kind},
    },
};

/// Why one attempt did not complete the stream.
pub(super) struct AttemptFailure {
    /// Error for the caller if no further attempt is made.
    pub(super) error: Error,
    /// Server that failed, reported to the owner; `None` if no server did.
    pub(super) failed: Option<Failed>,
    /// Whether another attempt may be made.
    pub(super) may_retry: bool,
    /// Number of calls that another attempt repeats; 0 if none is charged to the retry budget.
    pub(super) retry_calls: u32,
}

impl AttemptFailure {
    /// Whether the server refused the request, or was not reached.
    pub(super) fn is_not_taken(&self) -> bool {
        let how = self.failed.as_ref().map(|failed| failed.how);
        match how {
            Some(Failing::Refused) => true,
            // A server that was reached and broke off may have run the request.
            Some(Failing::Broken) => self.error.kind == Kind::BackendRefused,
            Some(Failing::Replaced) | None => false,
        }
    }

    /// The failure of an attempt that called no server, so that another one repeats nothing.
    pub(super) fn without_calls(self) -> AttemptFailure {
        AttemptFailure { retry_calls: 0, ..self }
    }
}

pub(super) fn failed_server(server: &Server, failing: Failing) -> Failed {
    Failed { server: server.name.clone(), how: failing }
}

/// Failure of an attempt whose caller no longer reads.
pub(super) fn caller_gone() -> AttemptFailure {
    AttemptFailure {
        error: Error::new(Kind::CallerGone, "the caller does not read"),
        failed: None,
        may_retry: false,
        retry_calls: 0,
    }
}

/// Classifies the response of a server that failed, by its status and by whether it states that the
/// request did not run.
pub(super) fn classify(head: &Response, response_info: &ResponseInfo) -> Failing {
    match response_info.is_not_run {
        true if head.status == 421 => Failing::Replaced,
        true => Failing::Refused,
        false => Failing::Broken,
    }
}
