//! Backend servers of a shard, with what is reserved at each.

use {
    super::reservation::Reservation,
    crate::{arena::Key, cache::Hints, retry},
    ffw_protocol::{admission, time::Moment},
    std::time::Duration,
};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Span over which releases may still show in a lagging load report.
const REPORT_LAG: Duration = Duration::from_millis(1_000);

/// Time for which a server is passed over after a failure; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(300);
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Time for which a server that has no room is passed over.
const REFUSED_BACKOFF: Duration = Duration::from_millis(150);

/// Refusals in a row after which a server must answer a probe: it may not be full, but busy with an
/// order that this owner knows nothing of.
const REFUSALS_MAX: u32 = 3;

/// What a request loses by a failure, as time: a server is chosen as if it were ready later by this
/// times the share of its requests that fail.
const FAILURE_COST: Duration = Duration::from_secs(1);

/// Weight of one request in the share of those that fail.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time for which a server that carries out an order is passed over.
const BUSY_BACKOFF: Duration = Duration::from_millis(500);

/// Time for which a server is passed over whose address another one has.
const REPLACED_BACKOFF: Duration = Duration::from_secs(10);

/// Prompts in a row that were read at a prefill server and could not be had from it, after which it
/// is passed over.
const UNUSABLE_RESULTS: u32 = 2;

/// What a server answered to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It can be used.
    Sound,
    /// It carries out an order and refuses requests meanwhile.
    Busy,
    /// It gave no good answer.
    Failed,
}

/// Failures of a server in a row, and until when it is passed over for them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    /// Refusals since it last did its work.
    refusals: u32,
    /// Share of its requests that failed lately.
    failing: f64,
    until: Moment,
    /// Whether it must answer a probe before it is used again.
    needs_probe: bool,
}

impl Backoff {
    /// Notes a failure.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        self.failing += (1.0 - self.failing) * FAILURE_WEIGHT;
        self.until = now + retry::delay(self.failures, BACKOFF_MIN, BACKOFF_MAX);
        self.needs_probe = true;
    }

    /// Notes that another server has its address.
    pub fn record_replaced(&mut self, now: Moment) {
        self.until = now + REPLACED_BACKOFF;
    }

    /// Notes that the server has no room.
    pub fn record_refused(&mut self, now: Moment) {
        self.until = self.until.max(now + REFUSED_BACKOFF);
        self.refusals += 1;
        self.needs_probe |= self.refusals >= REFUSALS_MAX;
    }

    /// Notes the outcome of a probe.
    pub fn record_probe(&mut self, now: Moment, probe: Probe) {
        match probe {
            Probe::Sound => (self.needs_probe, self.refusals) = (false, 0),
            Probe::Busy => self.until = self.until.max(now + BUSY_BACKOFF),
            Probe::Failed => self.record_failure(now),
        }
    }

    /// Whether its time has passed and it waits for a probe.
    pub fn is_probe_due(&self, now: Moment) -> bool {
        self.needs_probe && now >= self.until
    }

    /// Notes that the server did its work.
    pub fn record_success(&mut self) {
        *self = Backoff { failing: self.failing * (1.0 - FAILURE_WEIGHT), ..Backoff::default() };
    }

    /// Time by which the server is taken to be ready later than it is. Answers the load pattern of
    /// servers that fail a part of their requests and serve the rest.
    pub fn handicap(&self) -> Duration {
        // A single failure says nothing of the next request.
        FAILURE_COST.mul_f64((self.failing - FAILURE_WEIGHT).max(0.0))
    }

    /// Whether the server is passed over.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.until || self.needs_probe
    }
}

/// A prefill server. It works through one prompt at a time.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// Name and address.
    pub server: admission::Server,
    /// Takes no new work.
    pub leaving: bool,
    /// Until when it is taken to change its role.
    pub changes_until: Moment,
    /// When its reserved work ends.
    pub free_at: Moment,
    /// Prefixes that it is thought to have cached.
    pub hints: Hints,
    /// Measured time of a prefill over the predicted time.
    pub slowness: f64,
    /// Requests that its load report shows beyond the places known here.
    pub unaccounted: u32,
    /// Its failures.
    pub backoff: Backoff,
    /// Prompts in a row that could not be had from it after it had read them.
    pub unusable: u32,
}

impl Prefill {
    /// An idle server.
    pub fn new(server: admission::Server) -> Prefill {
        Prefill {
            server,
            leaving: false,
            changes_until: Moment(0),
            free_at: Moment(0),
            hints: Hints::default(),
            slowness: 1.0,
            unaccounted: 0,
            backoff: Backoff::default(),
            unusable: 0,
        }
    }

    /// Whether it takes new work.
    pub fn is_open(&self, now: Moment) -> bool {
        !self.leaving && now >= self.changes_until
    }

    /// Notes whether a prompt that it had read could be had from it.
    pub fn record_result(&mut self, now: Moment, is_usable: bool) {
        self.unusable = if is_usable { 0 } else { self.unusable + 1 };
        if self.unusable >= UNUSABLE_RESULTS {
            self.backoff.record_failure(now);
        }
    }

    /// Learns from a prefill that was predicted to take one time and took another.
    pub fn learn(&mut self, predicted: Duration, taken: Duration) {
        if predicted.is_zero() {
            return;
        }
        let sample = (taken.as_secs_f64() / predicted.as_secs_f64()).clamp(0.5, 4.0);
        let sample = sample * self.slowness;
        self.slowness += (sample - self.slowness) * SAMPLE_WEIGHT;
        self.slowness = self.slowness.clamp(0.5, 4.0);
    }
}

/// A decode server.
#[derive(Clone, Debug)]
pub struct Decode {
    /// Name and address.
    pub server: admission::Server,
    /// Takes no new work.
    pub leaving: bool,
    /// Until when it is taken to change its role.
    pub changes_until: Moment,
    /// Places reserved at it.
    pub reservations: Vec<Key<Reservation>>,
    /// Pieces reserved at it.
    pub pieces: u32,
    /// When its link's reserved transfers end.
    pub link_free_at: Moment,
    /// Time between two tokens, in seconds.
    pub token_time_s: f64,
    /// Slots that its load report shows beyond the places known here.
    pub unaccounted: u32,
    /// Moments of the latest releases, which a lagging report may not show yet.
    pub released: Vec<Moment>,
    /// Its failures.
    pub backoff: Backoff,
}

impl Decode {
    /// An idle server with a first guess of its pace.
    pub fn new(server: admission::Server, token_time: Duration) -> Decode {
        Decode {
            server,
            leaving: false,
            changes_until: Moment(0),
            reservations: Vec::new(),
            pieces: 0,
            link_free_at: Moment(0),
            token_time_s: token_time.as_secs_f64(),
            unaccounted: 0,
            released: Vec::new(),
            backoff: Backoff::default(),
        }
    }

    /// Whether it takes new work.
    pub fn is_open(&self, now: Moment) -> bool {
        !self.leaving && now >= self.changes_until
    }

    /// Learns from `tokens` tokens that took `span`.
    pub fn learn(&mut self, tokens: u32, span: Duration) {
        let sample = span.as_secs_f64() / f64::from(tokens.max(1));
        if sample < 1.0 {
            self.token_time_s += (sample - self.token_time_s) * SAMPLE_WEIGHT;
        }
    }

    /// Takes a load report over: what it shows beyond the known places and the latest releases
    /// belongs to somebody else and is counted as taken.
    pub fn record_load(&mut self, now: Moment, running: u32) {
        self.released.retain(|at| now.since(*at) < REPORT_LAG);
        let known = (self.reservations.len() + self.released.len()) as u32;
        self.unaccounted = running.saturating_sub(known);
    }

    /// Slots that are neither reserved nor taken by others.
    pub fn slots_free(&self, slots: u32) -> u32 {
        slots.saturating_sub(self.reservations.len() as u32 + self.unaccounted)
    }
}
