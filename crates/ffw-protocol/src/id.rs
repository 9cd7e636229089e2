//! Request ids. A request id contains the name of the entry instance and its incarnation, so that
//! any daemon can check whether the process that accepted the request still runs.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Id of one request, unique across instances and restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Name of the entry instance that accepted the request.
    pub instance: Arc<str>,
    /// Start time of that instance's process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.instance, self.incarnation, self.sequence)
    }
}

/// A text is not of the form `instance.incarnation.sequence`, with the numbers in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseRequestError;

impl fmt::Display for ParseRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request id has the form instance.incarnation.sequence")
    }
}

impl std::error::Error for ParseRequestError {}

impl FromStr for Request {
    type Err = ParseRequestError;

    fn from_str(text: &str) -> Result<Request, ParseRequestError> {
        let mut parts = text.rsplitn(3, '.');
        let sequence = hex_number(parts.next())?;
        let incarnation = hex_number(parts.next())?;
        let instance = parts.next().filter(|name| !name.is_empty()).ok_or(ParseRequestError)?;
        Ok(Request { instance: instance.into(), incarnation, sequence })
    }
}

fn hex_number(part: Option<&str>) -> Result<u64, ParseRequestError> {
    u64::from_str_radix(part.ok_or(ParseRequestError)?, 16).map_err(|_| ParseRequestError)
}
