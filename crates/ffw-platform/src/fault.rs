//! Failures of the object API, told apart by what they prove about a write.

use {
    ffw_http::fault::Fault as Call,
    ffw_protocol::error::{Error, Kind},
    std::fmt,
};

/// Why a call of the object API failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// There is no such object.
    NotFound,
    /// The object exists already, or its version is another one. Nothing was written.
    Conflict,
    /// The watch can't go on from this version; list again.
    Gone,
    /// The API did not answer; a write may have taken effect.
    Lost(String),
    /// The API refused; nothing was written.
    Down(String),
}

impl Fault {
    /// The fault of an HTTP call.
    pub fn from_call(fault: Call) -> Fault {
        match fault {
            Call::Refused { status: 404, .. } => Fault::NotFound,
            Call::Refused { status: 409, .. } => Fault::Conflict,
            Call::Refused { status: 410, .. } => Fault::Gone,
            Call::Unreached(_) | Call::Refused { .. } => Fault::Down(fault.to_string()),
            Call::Broken(_) | Call::Timeout(_) => Fault::Lost(fault.to_string()),
        }
    }

    /// The fault as an answer to a caller or an operator.
    pub fn to_error(&self) -> Error {
        match self {
            Fault::NotFound => Error::new(Kind::NotFound, self.to_string()),
            Fault::Conflict => Error::new(Kind::Conflict, self.to_string()),
            _ => Error::new(Kind::StoreUnavailable, self.to_string()),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::NotFound => f.write_str("no such object"),
            Fault::Conflict => f.write_str("the object is at another version"),
            Fault::Gone => f.write_str("the watched version is too old"),
            Fault::Lost(message) => write!(f, "object API gave no answer: {message}"),
            Fault::Down(message) => write!(f, "object API unavailable: {message}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Result with a [`Fault`].
pub type Result<T> = std::result::Result<T, Fault>;
