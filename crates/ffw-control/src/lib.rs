//! State of a daemon, and the background tasks that maintain it: the instance list, the
//! configuration, ownership of shards, sweeps of abandoned work, orders to engines, the ledger, and
//! burn rates of the error budgets.

pub mod admission;
pub mod announce;
pub mod belief;
pub mod burn;
pub mod calls;
pub mod change;
pub mod claim;
pub mod daemon;
pub mod era;
pub mod freshness;
pub mod identity;
pub mod ledger;
pub mod metrics;
pub mod order;
pub mod origin;
pub mod owned;
pub mod owner;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod relay;
pub mod report;
pub mod snapshot;
pub mod software;
pub mod stored;
pub mod suspect;
pub mod sweep;
