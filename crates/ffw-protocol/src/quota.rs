//! Messages about the quotas of workspaces, which hold over all daemons together.

use {
    crate::declaration,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// What a quota allows, in units: requests or tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units per second.
    pub per_s: f64,
    /// Units that may be used at once after a pause, in addition.
    pub burst: f64,
}

impl From<&declaration::Quota> for Limit {
    fn from(quota: &declaration::Quota) -> Limit {
        Limit { per_s: quota.per_s, burst: quota.burst }
    }
}

/// Asks the daemon that keeps the account of a workspace for the units of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Number of the configuration version that the limit is from.
    pub version: u64,
    /// The limit of the workspace there.
    pub limit: Limit,
    /// Units that the request uses.
    pub units: f64,
    /// Longest time for which the request waits for them.
    pub patience: Duration,
    /// Names of the daemons that precede the receiver in the order of ownership and that the asking
    /// daemon can't reach.
    pub suspects: Vec<Arc<str>>,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The receiver can't decide: it does not keep the account by its own view, or it stands in for
    /// the daemon that does and has granted its share.
    Undecided,
    /// The units are granted, from this time on.
    Granted(Duration),
    /// The quota is used up; after this time, a request with the same patience can expect its
    /// units.
    Exceeded(Duration),
}
