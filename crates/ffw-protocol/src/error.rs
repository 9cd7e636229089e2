//! The closed list of error kinds, and the table that maps each kind to its answer.
//!
//! Each error answer states whether the work ran. [`Run::Not`] is a guarantee: it is used only
//! where the code path proves that no backend server received the request.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// What the caller may conclude about the work it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Run {
    /// The work ran to its end.
    Ran,
    /// The work has not run and will not run.
    Not,
    /// The work may have run, in whole or in part.
    Unknown,
}

impl Run {
    /// Value of the `fireflyworks-run` header.
    pub fn word(self) -> &'static str {
        match self {
            Run::Ran => "ran",
            Run::Not => "not run",
            Run::Unknown => "unknown",
        }
    }
}

/// Kinds of failure that are reported to callers, operators and peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The bearer key is missing or belongs to no workspace.
    Unauthenticated,
    /// The workspace may not use this service or see this record.
    Forbidden,
    /// No declared service has this name.
    UnknownService,
    /// No declared service of this workspace serves this model.
    UnknownModel,
    /// No object, request or path has this name.
    NotFound,
    /// The request can't be parsed.
    Malformed,
    /// The request or answer is larger than the limit.
    TooLarge,
    /// The idempotency key was used before with a different body.
    KeyReused,
    /// The workspace exceeds its request rate or its number of open requests.
    RateLimited,
    /// The queue can't serve the request before its deadline.
    Overloaded,
    /// No backend server is available for the request.
    NoBackend,
    /// The platform's object API does not answer.
    StoreUnavailable,
    /// The daemon is shutting down.
    Draining,
    /// The daemon has no configuration yet.
    NotReady,
    /// The backend server provably did not accept the request.
    BackendRefused,
    /// The backend server failed when it may have accepted the request already.
    BackendFailed,
    /// No answer arrived in time.
    Timeout,
    /// A call with this idempotency key was started, and its outcome is not known.
    OutcomeUnknown,
    /// A peer daemon does not answer.
    PeerUnavailable,
    /// The caller has disconnected; the answer is not read.
    CallerGone,
    /// The change was made against an older version.
    Conflict,
    /// The declaration breaks a rule.
    Invalid,
    /// A fault of fireflyworks itself.
    Internal,
    /// The prompt has a part under which backend servers crash.
    Quarantined,
}

/// Answer to a kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Kind that the row is for.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// Stable error code for programs.
    pub code: &'static str,
    /// Whether the work ran, unless the code path has more precise information.
    pub run: Run,
    /// Whether the answer includes a time to wait before a retry.
    pub retry: bool,
    /// What the reader of the error can do about it.
    pub help: &'static str,
}

const fn row(
    kind: Kind,
    status: u16,
    code: &'static str,
    run: Run,
    retry: bool,
    help: &'static str,
) -> Row {
    Row { kind, status, code, run, retry, help }
}

/// Answers by kind: one row per kind, in the order of [`Kind`].
pub const TABLE: [Row; 24] = [
    row(
        Kind::Unauthenticated,
        401,
        "unauthenticated",
        Run::Not,
        false,
        "send `authorization: Bearer <key>` with the key that the operator gave you",
    ),
    row(
        Kind::Forbidden,
        403,
        "forbidden",
        Run::Not,
        false,
        "ask the operator to list the service under your workspace",
    ),
    row(
        Kind::UnknownService,
        404,
        "unknown_service",
        Run::Not,
        false,
        "check the name in the path against `fireflyworks get`",
    ),
    row(
        Kind::UnknownModel,
        404,
        "unknown_model",
        Run::Not,
        false,
        "use a model that a service of yours declares",
    ),
    row(
        Kind::NotFound,
        404,
        "not_found",
        Run::Not,
        false,
        "check the path, the request id or the object's name",
    ),
    row(
        Kind::Malformed,
        400,
        "malformed",
        Run::Not,
        false,
        "correct the request as the message says",
    ),
    row(
        Kind::TooLarge,
        413,
        "too_large",
        Run::Not,
        false,
        "send a smaller body or ask for fewer tokens",
    ),
    row(
        Kind::KeyReused,
        422,
        "key_reused",
        Run::Not,
        false,
        "use a new idempotency key for a new call",
    ),
    row(Kind::RateLimited, 429, "rate_limited", Run::Not, true, "come back after the time given"),
    row(Kind::Overloaded, 503, "overloaded", Run::Not, true, "come back after the time given"),
    row(
        Kind::NoBackend,
        503,
        "no_backend",
        Run::Not,
        true,
        "look whether the pool has live backend servers",
    ),
    row(
        Kind::StoreUnavailable,
        503,
        "store_unavailable",
        Run::Not,
        true,
        "come back after the time given; the platform's object API does not answer",
    ),
    row(Kind::Draining, 503, "draining", Run::Not, true, "connect again; another instance answers"),
    row(
        Kind::NotReady,
        503,
        "not_ready",
        Run::Not,
        true,
        "apply a declaration, or wait until the daemon has read it",
    ),
    row(
        Kind::BackendRefused,
        502,
        "backend_refused",
        Run::Not,
        true,
        "come back after the time given",
    ),
    row(
        Kind::BackendFailed,
        502,
        "backend_failed",
        Run::Unknown,
        false,
        "look up the outcome before you repeat the call",
    ),
    row(
        Kind::Timeout,
        504,
        "timeout",
        Run::Unknown,
        false,
        "look up the outcome before you repeat the call",
    ),
    row(
        Kind::OutcomeUnknown,
        409,
        "outcome_unknown",
        Run::Unknown,
        false,
        "look up the outcome with the service; the call is not run again under this key",
    ),
    row(
        Kind::PeerUnavailable,
        503,
        "peer_unavailable",
        Run::Not,
        true,
        "come back after the time given",
    ),
    row(Kind::CallerGone, 499, "caller_gone", Run::Unknown, false, "nobody reads this"),
    row(
        Kind::Conflict,
        409,
        "conflict",
        Run::Not,
        false,
        "read the current version, look at the difference, and apply again",
    ),
    row(
        Kind::Invalid,
        422,
        "invalid",
        Run::Not,
        false,
        "mend what the message lists; nothing was applied",
    ),
    row(
        Kind::Internal,
        500,
        "internal",
        Run::Unknown,
        false,
        "report the request id to the operator",
    ),
    row(
        Kind::Quarantined,
        503,
        "quarantined",
        Run::Not,
        true,
        "change the prompt, or come back after the time given",
    ),
];

impl Kind {
    /// The kind's row in [`TABLE`].
    pub fn row(self) -> &'static Row {
        &TABLE[self as usize]
    }

    /// The kind whose row has the given code.
    pub fn from_code(code: &str) -> Option<Kind> {
        TABLE.iter().find(|row| row.code == code).map(|row| row.kind)
    }
}

/// A failure as reported to callers, operators and peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind from the closed list.
    pub kind: Kind,
    /// Whether the work ran.
    pub run: Run,
    /// What happened, with the name of the object concerned.
    pub message: Arc<str>,
    /// Time to wait before a retry; `None` if a retry is not advised.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// A failure of `kind` with the kind's default `run`, and with a retry time of 1 s if the kind
    /// has one.
    pub fn new(kind: Kind, message: impl Into<Arc<str>>) -> Error {
        let retry_after = kind.row().retry.then_some(Duration::from_secs(1));
        Error { kind, run: kind.row().run, message: message.into(), retry_after }
    }

    /// The same failure with another time to wait before a retry.
    pub fn retry_after(mut self, span: Duration) -> Error {
        self.retry_after = Some(span);
        self
    }

    /// The same failure with another `run`, for a code path that knows whether the work ran.
    pub fn run(mut self, run: Run) -> Error {
        self.run = run;
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.kind.row();
        write!(f, "{}: {} ({}; {})", row.code, self.message, self.run.word(), row.help)
    }
}

impl std::error::Error for Error {}

/// Result with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
