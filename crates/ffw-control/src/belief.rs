//! What this daemon believes about the objects that it follows in the store, and how old that is.

use {
    ffw_decide::belief::Belief,
    ffw_protocol::belief::Kind,
    ffw_runtime::clock,
    prometheus::GaugeVec,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The beliefs of a daemon. Times are of [`clock::boot_time`], which also counts the time for which
/// the machine was suspended.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// In the order of [`Kind::ALL`].
    beliefs: [Mutex<Belief>; Kind::ALL.len()],
}

impl Beliefs {
    /// The belief about a kind.
    pub fn of(&self, kind: Kind) -> MutexGuard<'_, Belief> {
        self.beliefs[kind as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the belief about a kind was last confirmed; `None` if it never was.
    pub fn age(&self, kind: Kind) -> Option<Duration> {
        self.of(kind).age(clock::boot_time())
    }

    /// Sets a gauge to the age of each belief, in seconds. A kind that was never confirmed has no
    /// series.
    pub fn record_ages(&self, gauge: &GaugeVec) {
        for kind in Kind::ALL {
            if let Some(age) = self.age(kind) {
                gauge.with_label_values(&[kind.name()]).set(age.as_secs_f64());
            }
        }
    }
}
