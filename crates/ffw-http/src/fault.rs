//! Failures of a call, told apart by what they prove about the work.

use {
    ffw_protocol::error::{Error, Kind, Run},
    std::{fmt, time::Duration},
};

/// Why a call gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection was made; no byte of the request was handed over.
    Unreached(String),
    /// The server said that it did not take the request.
    Refused {
        /// HTTP status.
        status: u16,
        /// The server's words.
        message: String,
    },
    /// The call failed after bytes of the request were handed over.
    Broken(String),
    /// No answer came within the limit, counted from the first byte handed over.
    Timeout(Duration),
}

impl Fault {
    /// Whether the fault proves that the server did not take the request.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, Fault::Unreached(_) | Fault::Refused { .. })
    }

    /// The fault as an answer to a caller.
    pub fn to_error(&self, server: &str) -> Error {
        let message = format!("backend server {server}: {self}");
        match self {
            Fault::Unreached(_) | Fault::Refused { .. } => {
                Error::new(Kind::BackendRefused, message).run(Run::Not)
            }
            Fault::Broken(_) => Error::new(Kind::BackendFailed, message),
            Fault::Timeout(_) => Error::new(Kind::Timeout, message),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unreached(message) => write!(f, "could not be reached: {message}"),
            Fault::Refused { status, message } => write!(f, "refused with {status}: {message}"),
            Fault::Broken(message) => write!(f, "failed during the call: {message}"),
            Fault::Timeout(limit) => write!(f, "gave no answer within {} ms", limit.as_millis()),
        }
    }
}

impl std::error::Error for Fault {}
