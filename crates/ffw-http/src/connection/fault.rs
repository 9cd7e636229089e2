//! Why a message could not be read.

use {
    crate::message::Malformed,
    std::{fmt, io},
};

/// Why a message could not be read.
#[derive(Debug)]
pub enum Fault {
    /// The other side closed the connection before the first byte of the message.
    Closed,
    /// The connection ended or failed within the message.
    Broken(io::Error),
    /// The bytes are not a valid message.
    Malformed(Malformed),
    /// The head or the body is larger than allowed.
    TooLarge,
    /// The memory budget has no room for more received bytes.
    OutOfMemory,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Closed => f.write_str("the connection was closed"),
            Fault::Broken(err) => write!(f, "the connection failed: {err}"),
            Fault::Malformed(malformed) => write!(f, "{malformed}"),
            Fault::TooLarge => f.write_str("the head is too large"),
            Fault::OutOfMemory => f.write_str("no memory for more received bytes"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<Malformed> for Fault {
    fn from(malformed: Malformed) -> Fault {
        Fault::Malformed(malformed)
    }
}
