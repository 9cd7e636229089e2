//! Version affinity: which backend servers may go on with a stream.
//!
//! The load pattern is servers of several software versions side by side, during a release. What
//! two versions write does not fit together, so a stream goes on only at the version that wrote its
//! first event. This holds for every way on which a run goes on: a retry within one answer, a move
//! of a run, and a caller that takes up a broken stream at another daemon. A version that can't be
//! known is not guessed.

pub mod history;

use {ffw_protocol::software::Version, std::fmt};

/// Where the first event of a stream was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// There is no event yet.
    #[default]
    Fresh,
    /// At a server of this software version.
    At(Version),
    /// At a server of a version that is not known.
    Unknown,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Fresh => f.write_str("none"),
            Origin::At(version) => write!(f, "{version}"),
            Origin::Unknown => f.write_str("unknown"),
        }
    }
}

impl Origin {
    /// Whether a server may write further events. `version` is that of the server; `None` if it is
    /// not known.
    pub fn allows(&self, version: Option<&Version>) -> bool {
        match self {
            Origin::Fresh => true,
            Origin::At(origin) => version == Some(origin),
            Origin::Unknown => false,
        }
    }

    /// Records that a server of this version, `None` if it is not known, has written an event.
    pub fn record_event(&mut self, version: Option<&Version>) {
        if *self == Origin::Fresh {
            *self = version.cloned().map_or(Origin::Unknown, Origin::At);
        }
    }
}
