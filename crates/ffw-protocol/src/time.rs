//! Points in time for decisions.
//!
//! A [`Moment`] counts microseconds from an origin that the caller of the decision chooses, usually
//! the start of the process. Decisions take the time as an argument, so that tests need no clock.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// A point in time, in microseconds since the chosen origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// The latest representable moment; stands for a time that is never reached.
    pub const NEVER: Moment = Moment(u64::MAX);

    /// The moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Moment {
        Moment(millis * 1_000)
    }

    /// Time from `earlier` until `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(span.as_micros() as u64))
    }
}
