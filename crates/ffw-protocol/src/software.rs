//! Versions of the software of backend servers. They have no order, and tell nothing about the
//! versions of model weights.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Version of a backend server's software. Servers that state none count as being of one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Version {
    /// The server states none.
    Unstated,
    /// The version that the server states.
    Stated(Arc<str>),
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Version::Unstated => f.write_str("unstated"),
            Version::Stated(version) => write!(f, "{version:?}"),
        }
    }
}
