//! Failures of calls to the object API, distinguished by whether a write may have taken effect.

use {
    ffw_http::fault::Fault as HttpFault,
    ffw_protocol::error::{Error, Kind},
    std::fmt,
};

/// Why a call of the object API failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// There is no such object.
    NotFound,
    /// The object exists already, or it is at another version. Nothing was written.
    Conflict,
    /// A watch can't start from this version because it is too old; the objects must be listed
    /// again.
    Gone,
    /// No usable answer arrived; a write may have taken effect.
    Lost(String),
    /// The API could not be reached or refused the call; nothing was written.
    Down(String),
}

impl Fault {
    /// The fault of a failed HTTP call to the object API.
    pub fn from_call(fault: HttpFault) -> Fault {
        match fault {
            HttpFault::Refused { status: 404, .. } => Fault::NotFound,
            HttpFault::Refused { status: 409, .. } => Fault::Conflict,
            HttpFault::Refused { status: 410, .. } => Fault::Gone,
            HttpFault::Unreached(_) | HttpFault::Refused { .. } => Fault::Down(fault.to_string()),
            HttpFault::Broken(_) | HttpFault::Timeout(_) => Fault::Lost(fault.to_string()),
        }
    }

    /// The fault as an error for a caller or an operator.
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
