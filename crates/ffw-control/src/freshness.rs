//! How far the configuration in force is behind the newest version that this daemon has heard of,
//! and when the store last confirmed that there is no newer one.
//!
//! A version that a daemon refuses or can't fetch leaves the version in force as it was, on all
//! daemons alike. Only the number of the newest version shows that. A daemon that doesn't hear of a
//! version shows by the time of the last confirmation.

use {
    crate::{identity, metrics::Metrics},
    std::{
        fmt,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Where a configuration version came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The daemon at this address.
    Peer(SocketAddr),
    /// An operator's call to this daemon, or a daemon that offered it.
    Offer,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Peer(address) => write!(f, "peer:{address}"),
            Source::Offer => f.write_str("offer"),
        }
    }
}

/// How a configuration version came to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Where it came from.
    pub source: Source,
    /// Time from the call that returned it to its last byte; for a watch, this includes the time
    /// without a change.
    pub transfer: Duration,
    /// Time to decode it, if it was not in the router's own format.
    pub decoding: Duration,
}

impl Arrival {
    /// A version that another process offered.
    pub fn offered() -> Arrival {
        Arrival { source: Source::Offer, transfer: Duration::ZERO, decoding: Duration::ZERO }
    }
}

/// The newest version that this daemon has heard of, and since when it has not been in force.
#[derive(Debug, Default)]
pub struct Freshness {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    known: u64,
    in_force: u64,
    /// Time of day, in milliseconds since the Unix epoch, from which `known` has been above
    /// `in_force`; 0 if it is not.
    behind_since_ms: u64,
    /// Time of the last call to the store whose response left no newer version than the one in
    /// force or known.
    confirmed_at: Option<Instant>,
}

impl Freshness {
    /// Records that the store, in its response to a call made at `asked_at`, had no version that
    /// this daemon has not heard of.
    pub fn record_confirmed(&self, asked_at: Instant, metrics: &Metrics) {
        let mut state = self.lock();
        state.confirmed_at = state.confirmed_at.max(Some(asked_at));
        let at_ms = identity::unix_ms().saturating_sub(asked_at.elapsed().as_millis() as u64);
        metrics.config_confirmed.set((at_ms / 1_000).cast_signed());
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn confirmation_age(&self) -> Option<Duration> {
        self.lock().confirmed_at.map(|at| at.elapsed())
    }

    /// Records that a version exists, whether or not it is usable here.
    pub fn record_known(&self, number: u64, metrics: &Metrics) {
        let mut state = self.lock();
        state.known = state.known.max(number);
        state.update(metrics);
    }

    /// Records the version that is in force.
    pub fn record_in_force(&self, number: u64, metrics: &Metrics) {
        let mut state = self.lock();
        state.in_force = number;
        state.known = state.known.max(number);
        state.update(metrics);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn update(&mut self, metrics: &Metrics) {
        self.behind_since_ms = match self.known > self.in_force {
            true if self.behind_since_ms == 0 => identity::unix_ms(),
            true => self.behind_since_ms,
            false => 0,
        };
        metrics.config_version.set(self.in_force.cast_signed());
        metrics.config_known_version.set(self.known.cast_signed());
        metrics.config_behind_since.set((self.behind_since_ms / 1_000).cast_signed());
    }
}
