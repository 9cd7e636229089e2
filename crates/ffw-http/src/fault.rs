//! Failures of a call to a backend server, distinguished by whether they prove that the server did
//! not run the request.

use {
    ffw_protocol::error::{Error, Kind, Run},
    std::{fmt, time::Duration},
};

/// Why a call has no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection was established, or the call could not be built; no byte was sent.
    Unreached(String),
    /// The server responded that it did not accept the request.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The call failed after the connection was established; the server may have run the request.
    Broken(String),
    /// No response arrived within the limit, counted from the first byte sent or, for a body, from
    /// the start of reading it.
    Timeout(Duration),
}

impl Fault {
    /// Whether the fault proves that the server did not run the request.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, Fault::Unreached(_) | Fault::Refused { .. })
    }

    /// The fault as an error for a caller, naming the server.
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
            Fault::Timeout(limit) => write!(f, "did not respond within {} ms", limit.as_millis()),
        }
    }
}

impl std::error::Error for Fault {}
