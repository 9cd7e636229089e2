//! What a daemon believes about objects of the platform's store, and how that is told to other
//! daemons.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Kind of objects that a daemon follows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The list of backend servers.
    Servers,
    /// The list of daemons.
    Daemons,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Kind; 3] = [Kind::Configuration, Kind::Servers, Kind::Daemons];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::Servers => "servers",
            Kind::Daemons => "daemons",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Revisions of the store, both included, between which objects of one kind did not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Era of the store, within which revisions increase.
    pub era: u64,
    /// The earliest revision that is known to have this state.
    pub since: u64,
    /// The latest one.
    pub until: u64,
}

/// A daemon's belief about one kind, as it tells it to another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Kind of objects.
    pub kind: Kind,
    /// Where the state that it believes in is known to hold.
    pub span: Span,
    /// Time since a call of the store was sent whose response showed nothing newer.
    pub age: Duration,
}
