//! Identity of requests. A request id names the entry instance and its incarnation, so that any
//! daemon can tell whether the process that owns the request still runs.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Identity of one request, unique over instances and restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Name of the entry instance that accepted the request.
    pub instance: Arc<str>,
    /// Start of that instance's process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.instance, self.incarnation, self.sequence)
    }
}

/// The text is not `instance.incarnation.sequence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request id has the form instance.incarnation.sequence")
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Request {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Request, Malformed> {
        let mut parts = text.rsplitn(3, '.');
        let sequence = hex_number(parts.next())?;
        let incarnation = hex_number(parts.next())?;
        let instance = parts.next().filter(|name| !name.is_empty()).ok_or(Malformed)?;
        Ok(Request { instance: instance.into(), incarnation, sequence })
    }
}

fn hex_number(part: Option<&str>) -> Result<u64, Malformed> {
    u64::from_str_radix(part.ok_or(Malformed)?, 16).map_err(|_| Malformed)
}
