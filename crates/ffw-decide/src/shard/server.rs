//! Backend servers of a shard: what is reserved at each, its measured speed, and its failures.
//!
//! Each kind of failure has a backoff of its own, in which the server is not used while others are
//! available. A server that failed, or refused several times in a row, must also answer a probe, so
//! that no prompt is prefilled only to find out whether it works again.

use {
    super::{reservation::Reservation, timing::Timing},
    crate::{arena::Key, cache::Hints, retry},
    ffw_protocol::{admission, time::Moment},
    std::time::Duration,
};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Longest time by which a load report may lag behind a release.
const REPORT_LAG: Duration = Duration::from_millis(1_000);

/// Backoff after a failure; doubles with each further failure in a row up to the maximum.
const BACKOFF_MIN: Duration = Duration::from_millis(300);
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Backoff after a server refused a request for lack of room.
const REFUSED_BACKOFF: Duration = Duration::from_millis(150);

/// Refusals in a row after which a server must answer a probe: it may not be full, but busy with an
/// order that this owner has no record of.
const REFUSALS_MAX: u32 = 3;

/// Cost of a failed request as time: a server is chosen as if it were ready later by this time
/// multiplied by the part of the share of its requests that fail above `FAILURE_WEIGHT`.
const FAILURE_COST: Duration = Duration::from_secs(1);

/// Weight of one request in the moving average of the share that fails.
const FAILURE_WEIGHT: f64 = 0.15;

/// Backoff of a server that is busy with an ordered operation.
const BUSY_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff of a server whose address now belongs to another server.
const REPLACED_BACKOFF: Duration = Duration::from_secs(10);

/// Consecutive prefill results that decode servers could not get from a prefill server after which
/// the server counts as failed.
const UNUSABLE_RESULTS_MAX: u32 = 2;

/// Outcome of a probe of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It can be used.
    Sound,
    /// It is busy with an operation that was requested earlier and refuses requests until it has
    /// finished.
    Busy,
    /// It did not answer, or answered with an error.
    Failed,
}

/// Recent failures and refusals of a server, and the time until which it is not used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// Failures since its last success.
    failures: u32,
    /// Refusals since its last success or good probe.
    refusals: u32,
    /// Moving average of the share of its requests that fail, 0 to 1.
    failure_share: f64,
    until: Moment,
    /// Whether it must answer a probe before it is used again.
    needs_probe: bool,
}

impl Backoff {
    /// Records a failure; the server must then answer a probe.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.until = now + retry::delay(self.failures, BACKOFF_MIN, BACKOFF_MAX);
        self.needs_probe = true;
    }

    /// Records that another server has its address.
    pub fn record_replaced(&mut self, now: Moment) {
        self.until = now + REPLACED_BACKOFF;
    }

    /// Records that the server refused a request; after several in a row it must answer a probe.
    pub fn record_refused(&mut self, now: Moment) {
        self.until = self.until.max(now + REFUSED_BACKOFF);
        self.refusals += 1;
        self.needs_probe |= self.refusals >= REFUSALS_MAX;
    }

    /// Records the outcome of a probe.
    pub fn record_probe(&mut self, now: Moment, probe: Probe) {
        match probe {
            Probe::Sound => (self.needs_probe, self.refusals) = (false, 0),
            Probe::Busy => self.until = self.until.max(now + BUSY_BACKOFF),
            Probe::Failed => self.record_failure(now),
        }
    }

    /// Whether its backoff is over and it must answer a probe before it is used.
    pub fn is_probe_due(&self, now: Moment) -> bool {
        self.needs_probe && now >= self.until
    }

    /// Records that the server did its part of a request; ends its backoff.
    pub fn record_success(&mut self) {
        *self = Backoff {
            failure_share: self.failure_share * (1.0 - FAILURE_WEIGHT),
            ..Backoff::default()
        };
    }

    /// Time by which the choice of servers treats this one as ready later than predicted. The load
    /// pattern is servers that fail a part of their requests and serve the rest.
    pub fn handicap(&self) -> Duration {
        // A single failure does not predict the outcome of the next request.
        FAILURE_COST.mul_f64((self.failure_share - FAILURE_WEIGHT).max(0.0))
    }

    /// Whether the server is in backoff or must answer a probe first.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.until || self.needs_probe
    }
}

/// A prefill server, which processes one prompt at a time.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// Name and address.
    pub server: admission::Server,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Time until which it counts as changing its role; 0 if it is not.
    pub changing_until: Moment,
    /// When the end of its last granted prefill is predicted to be reported.
    pub free_at: Moment,
    /// Prefixes that it has probably cached.
    pub hints: Hints,
    /// Its speed and the delay of messages to and from it.
    pub timing: Timing,
    /// Requests in its load report beyond the reservations of this shard.
    pub unaccounted: u32,
    /// Its recent failures and backoff.
    pub backoff: Backoff,
    /// Consecutive prefill results that decode servers could not get from it.
    pub unusable_results: u32,
}

impl Prefill {
    /// Creates an idle server.
    pub fn new(server: admission::Server) -> Prefill {
        Prefill {
            server,
            leaving: false,
            changing_until: Moment(0),
            free_at: Moment(0),
            hints: Hints::default(),
            timing: Timing::default(),
            unaccounted: 0,
            backoff: Backoff::default(),
            unusable_results: 0,
        }
    }

    /// Whether it accepts new work: it is neither leaving nor changing its role.
    pub fn is_open(&self, now: Moment) -> bool {
        !self.leaving && now >= self.changing_until
    }

    /// Records whether a decode server could get the result of a prefill from it.
    pub fn record_result(&mut self, now: Moment, is_usable: bool) {
        self.unusable_results = if is_usable { 0 } else { self.unusable_results + 1 };
        if self.unusable_results >= UNUSABLE_RESULTS_MAX {
            self.backoff.record_failure(now);
        }
    }
}

/// A decode server.
#[derive(Clone, Debug)]
pub struct Decode {
    /// Name and address.
    pub server: admission::Server,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Time until which it counts as changing its role; 0 if it is not.
    pub changing_until: Moment,
    /// Reservations at it.
    pub reservations: Vec<Key<Reservation>>,
    /// Memory pieces reserved at it.
    pub pieces: u32,
    /// Predicted end of the reserved transfers on its link.
    pub link_free_at: Moment,
    /// Moving average of the time between two tokens of a request, in seconds.
    pub token_time_s: f64,
    /// Slots in use by its load report beyond the reservations of this shard.
    pub unaccounted: u32,
    /// Times of the latest releases, which a lagging load report may still count as running.
    pub releases: Vec<Moment>,
    /// Its recent failures and backoff.
    pub backoff: Backoff,
}

impl Decode {
    /// Creates an idle server with an initial estimate of its token time.
    pub fn new(server: admission::Server, token_time: Duration) -> Decode {
        Decode {
            server,
            leaving: false,
            changing_until: Moment(0),
            reservations: Vec::new(),
            pieces: 0,
            link_free_at: Moment(0),
            token_time_s: token_time.as_secs_f64(),
            unaccounted: 0,
            releases: Vec::new(),
            backoff: Backoff::default(),
        }
    }

    /// Whether it accepts new work: it is neither leaving nor changing its role.
    pub fn is_open(&self, now: Moment) -> bool {
        !self.leaving && now >= self.changing_until
    }

    /// Updates the token time by a request that generated `tokens` tokens in `span`. Samples of a
    /// second per token or more are ignored.
    pub fn record_tokens(&mut self, tokens: u32, span: Duration) {
        let sample = span.as_secs_f64() / f64::from(tokens.max(1));
        if sample < 1.0 {
            self.token_time_s += (sample - self.token_time_s) * SAMPLE_WEIGHT;
        }
    }

    /// Records a load report of `running` requests. Those beyond the reservations and the latest
    /// releases are unaccounted load and count as used slots.
    pub fn record_load(&mut self, now: Moment, running: u32) {
        self.releases.retain(|time| now.since(*time) < REPORT_LAG);
        let expected = (self.reservations.len() + self.releases.len()) as u32;
        self.unaccounted = running.saturating_sub(expected);
    }

    /// Slots that are neither reserved nor used by unaccounted load, of `slots` in all.
    pub fn slots_free(&self, slots: u32) -> u32 {
        slots.saturating_sub(self.reservations.len() as u32 + self.unaccounted)
    }
}
