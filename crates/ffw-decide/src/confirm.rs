//! Whether a name that the configuration in force lacks may be reported as unknown, which tells a
//! caller not to try again.
//!
//! The load pattern is requests on routes that have just been added, at a daemon that has not heard
//! of the change or can't use it, and requests on names that never existed, as many as callers like
//! to send. The daemon therefore asks the store before it refuses, at most once in a period.

use {ffw_protocol::time::Moment, std::time::Duration};

/// Time for which a confirmation by the store counts. It is shorter than the time in which a change
/// must be in force, and bounds the calls that unknown names cause.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(1);

/// Longest time for which a request waits for a known version to come into force, counted from when
/// the daemon heard of the version.
pub const BEHIND_MAX: Duration = Duration::from_secs(1);

/// What a daemon knows about its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// Time from which a newer version than the one in force has been known; `None` if the newest
    /// known one is in force.
    pub behind_since: Option<Moment>,
    /// Time of the last call to the store whose response had no version that is not known; `None`
    /// if there was none.
    pub confirmed_at: Option<Moment>,
    /// Whether the store does not answer at present.
    pub is_store_lost: bool,
}

/// What to do with a request that names something unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Report that it does not exist.
    Refuse,
    /// Ask the store, or wait for a known version to come into force, and look again.
    Wait,
    /// Let the caller come back: whether it exists is not known.
    Postpone,
}

/// Shortest time that the store has to bring a version that a peer has already.
const STORE_TIME_MIN: Duration = Duration::from_millis(500);

/// Rate at which the store brings a configuration over the slowest links, in bytes a second.
const STORE_BYTES_PER_S: f64 = 800_000.0;

/// Whether a daemon that follows the store fetches a version from a peer that has it. While the
/// store answers, it brings the version itself, and a second copy would take the link from
/// requests, the more so as all daemons would ask the same peer. `bytes` is the size of the version
/// in force, as that of the new one is not known.
pub fn fetches_from_peer(now: Moment, knowledge: &Knowledge, bytes: usize) -> bool {
    let store_time = STORE_TIME_MIN + Duration::from_secs_f64(bytes as f64 / STORE_BYTES_PER_S);
    let is_store_late = knowledge.behind_since.is_some_and(|since| now.since(since) >= store_time);
    is_store_late || knowledge.is_store_lost || knowledge.confirmed_at.is_none()
}

/// Decides on a request that arrived at `arrived_at` and names something that the configuration in
/// force lacks.
pub fn action(now: Moment, arrived_at: Moment, knowledge: &Knowledge) -> Action {
    if let Some(since) = knowledge.behind_since {
        return if now.since(since) < BEHIND_MAX { Action::Wait } else { Action::Postpone };
    }
    let is_confirmed = knowledge.confirmed_at.is_some_and(|confirmed_at| {
        confirmed_at >= arrived_at || now.since(confirmed_at) < CONFIRMATION_LIFETIME
    });
    match (is_confirmed, knowledge.is_store_lost) {
        (true, _) => Action::Refuse,
        (false, true) => Action::Postpone,
        (false, false) => Action::Wait,
    }
}
