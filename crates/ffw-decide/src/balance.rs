//! Chooses a plain server for a request by this daemon's open requests at each server, by the
//! server's recent answer times and failures, and by the load that it reports.
//!
//! The policy is for pools with a few slow or failing servers among healthy ones. A server
//! that failed a request is in backoff for a time that doubles with each further failure in a row.
//! After the backoff it gets one request at a time until a request succeeds.
//!
//! A second attempt of a request avoids the data centre of the first one if a notable part of that data
//! centre's servers fail.
//!
//! Some servers are slow for a fraction of a second at a time and report it as a slowdown. The answer
//! time is learned over the life of a server; the slowdown raises the score for as long as it is
//! likely to last, and is not learned as well.

use {
    crate::retry,
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Weight of a new sample in the moving averages of answer time and success rate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Backoff of a server after its first failure; doubles with each further failure in a row.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Upper limit of the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Age from which a reported load is ignored.
const LOAD_AGE_MAX: Duration = Duration::from_millis(500);

/// Time over which a reported slowdown fades. Servers are slow for 0.6 s at a time; a report comes at
/// any moment of that, so the chance that the server is still slow falls linearly.
const SLOWDOWN_FADE: Duration = Duration::from_millis(600);

/// Upper limit of a slowdown. A server that reports more is chosen last all the same.
const SLOWDOWN_MAX: f64 = 20.0;

/// Part of a data centre's servers, and their least number, from which failures count as the data
/// centre's. Two failing servers of many are failures of their own.
const FAILING_SHARE: f64 = 1.0 / 3.0;
const FAILING_MIN: usize = 2;

/// Factor on the score of a server in another data centre, so that local servers are preferred
/// among about equal ones.
const REMOTE_FACTOR: f64 = 1.15;

/// Answer time of a server that has not answered yet, in seconds.
const INITIAL_ANSWER_TIME_S: f64 = 0.02;

/// A server that can be chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the server.
    pub name: Arc<str>,
    /// Data centre of the server.
    pub data_centre: Arc<str>,
    /// Whether that is this daemon's data centre.
    pub is_local: bool,
}

/// Which data centre's servers are preferred for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference<'a> {
    /// This daemon's, by a constant factor on the score.
    Near,
    /// Those of one data centre, as long as one of them is neither in backoff nor tried.
    DataCentre(&'a Arc<str>),
    /// None.
    Any,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server answered after this time.
    Answered(Duration),
    /// The server rejected the request without running it.
    Rejected,
    /// The request failed, was cut off, or got no answer in time.
    Failed,
    /// The caller disconnected before the end.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Server {
    name: Arc<str>,
    /// Number of this daemon's open requests at the server.
    open_requests: u32,
    /// Moving average.
    answer_time_s: f64,
    /// Moving average, 0 to 1; a rejected request counts as one half.
    success_rate: f64,
    /// Number of failures in a row.
    failures: u32,
    backoff_until: Moment,
    /// Ratio of running and waiting requests to slots, as the server reported it.
    reported_load: f64,
    reported_at: Moment,
    /// Time that work took when the server reported it, divided by the usual time; at least one.
    slowdown: f64,
    slowdown_at: Moment,
}

impl Server {
    fn new(name: Arc<str>) -> Server {
        Server {
            name,
            open_requests: 0,
            answer_time_s: INITIAL_ANSWER_TIME_S,
            success_rate: 1.0,
            failures: 0,
            backoff_until: Moment(0),
            reported_load: 0.0,
            reported_at: Moment(0),
            slowdown: 1.0,
            slowdown_at: Moment(0),
        }
    }

    /// Slowdown that is expected now.
    fn slowdown(&self, now: Moment) -> f64 {
        let age = now.since(self.slowdown_at).as_secs_f64();
        let likelihood = (1.0 - age / SLOWDOWN_FADE.as_secs_f64()).max(0.0);
        1.0 + (self.slowdown - 1.0) * likelihood
    }

    /// Learns the answer time without the slowdown, which lies between the measured time divided by
    /// the slowdown and the measured time. The learned time moves only if it is outside that range,
    /// so that a server gains nothing by reporting a slowdown that it does not have.
    fn learn_answer_time(&mut self, now: Moment, measured_s: f64) {
        let least = measured_s / self.slowdown(now);
        let sample = self.answer_time_s.clamp(least, measured_s);
        self.answer_time_s += (sample - self.answer_time_s) * SAMPLE_WEIGHT;
    }

    /// Score of the server; lower is better. The load times the average answer time, divided by the
    /// square of the success rate (at least 0.01), times the slowdown, and times the factor for
    /// its distance. The load is one for the new request, plus this daemon's open requests, plus the
    /// reported ratio of requests to slots while the report is recent.
    fn score(&self, now: Moment, distance_factor: f64) -> f64 {
        let is_fresh = now.since(self.reported_at) < LOAD_AGE_MAX;
        let reported = if is_fresh { self.reported_load } else { 0.0 };
        let load = 1.0 + f64::from(self.open_requests) + reported;
        load * self.answer_time_s * self.slowdown(now) * distance_factor
            / (self.success_rate * self.success_rate).max(0.01)
    }
}

/// Open requests, recent results and reported load of each plain server, as seen by this daemon.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    servers: Vec<Server>,
}

impl Balancer {
    /// Chooses the candidate with the lowest score among those that are not in `tried`, and counts
    /// the request as open there until [`Balancer::record_end`]. A server in backoff, or one with
    /// failures that has a request open, is chosen only if all are like that; next, a server of a
    /// failing data centre in which one was tried is chosen only if all are; next, one outside the
    /// preferred data centre. The search starts at
    /// the index `turn` modulo the number of untried candidates, so that servers with equal scores
    /// alternate if `turn` increases with each call. `None` if every candidate was tried.
    pub fn choose(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        tried: &[Arc<str>],
        turn: u64,
        preference: Preference<'_>,
    ) -> Option<Arc<str>> {
        let untried: Vec<&Candidate> =
            candidates.iter().filter(|candidate| !tried.contains(&candidate.name)).collect();
        let count = untried.len();
        let failing = self.failing_data_centres(candidates, tried);
        let mut best: Option<((bool, bool, bool, f64), usize)> = None;
        for offset in 0..count {
            let index = (turn as usize + offset) % count;
            let server = self.server(&untried[index].name);
            let is_avoided =
                now < server.backoff_until || server.failures > 0 && server.open_requests > 0;
            let (is_elsewhere, distance_factor) = match preference {
                Preference::Near if untried[index].is_local => (false, 1.0),
                Preference::Near => (false, REMOTE_FACTOR),
                Preference::DataCentre(name) => (untried[index].data_centre != *name, 1.0),
                Preference::Any => (false, 1.0),
            };
            let score = server.score(now, distance_factor);
            let is_similar = failing.contains(&&untried[index].data_centre);
            let rank = (is_avoided, is_similar, is_elsewhere, score);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, index));
            }
        }
        let name = untried[best?.1].name.clone();
        self.server(&name).open_requests += 1;
        Some(name)
    }

    /// Data centres of the tried servers in which a larger part of the servers fail than elsewhere.
    fn failing_data_centres<'a>(
        &mut self,
        candidates: &'a [Candidate],
        tried: &[Arc<str>],
    ) -> Vec<&'a Arc<str>> {
        let mut failing = Vec::new();
        for first in candidates.iter().filter(|candidate| tried.contains(&candidate.name)) {
            let (mut there, mut elsewhere) = ([0, 0], [0, 0]);
            for candidate in candidates {
                let is_there = candidate.data_centre == first.data_centre;
                let counts = if is_there { &mut there } else { &mut elsewhere };
                counts[0] += usize::from(self.server(&candidate.name).failures > 0);
                counts[1] += 1;
            }
            let share = |counts: [usize; 2]| counts[0] as f64 / counts[1].max(1) as f64;
            let is_failing = there[0] >= FAILING_MIN
                && share(there) >= FAILING_SHARE
                && share(there) > share(elsewhere);
            if is_failing && !failing.contains(&&first.data_centre) {
                failing.push(&first.data_centre);
            }
        }
        failing
    }

    /// Counts a request as open at a server that was not chosen by [`Balancer::choose`].
    pub fn record_begin(&mut self, name: &Arc<str>) {
        self.server(name).open_requests += 1;
    }

    /// Records the end of a request that [`Balancer::choose`] counted as open.
    pub fn record_end(&mut self, now: Moment, name: &Arc<str>, outcome: Outcome) {
        let server = self.server(name);
        server.open_requests = server.open_requests.saturating_sub(1);
        match outcome {
            Outcome::Answered(duration) => {
                server.learn_answer_time(now, duration.as_secs_f64());
                server.success_rate += (1.0 - server.success_rate) * SAMPLE_WEIGHT;
                server.failures = 0;
            }
            Outcome::Rejected => server.success_rate += (0.5 - server.success_rate) * SAMPLE_WEIGHT,
            Outcome::Failed => {
                server.success_rate -= server.success_rate * SAMPLE_WEIGHT;
                server.failures += 1;
                server.backoff_until =
                    now + retry::delay(server.failures, BACKOFF_MIN, BACKOFF_MAX);
            }
            Outcome::Abandoned => {}
        }
    }

    /// Records the load that a server reports: the ratio of its running and waiting
    /// requests to its slots.
    pub fn record_load(&mut self, now: Moment, name: &Arc<str>, load: f64) {
        let server = self.server(name);
        server.reported_load = load;
        server.reported_at = now;
    }

    /// Records the slowdown that a server reports. One below 1 counts as 1, so that no server gains
    /// by it.
    pub fn record_slowdown(&mut self, now: Moment, name: &Arc<str>, slowdown: f64) {
        let server = self.server(name);
        server.slowdown = slowdown.clamp(1.0, SLOWDOWN_MAX);
        server.slowdown_at = now;
    }

    /// Drops servers that are no longer listed and have no request open.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers.retain(|server| server.open_requests > 0 || is_listed(&server.name));
    }

    fn server(&mut self, name: &Arc<str>) -> &mut Server {
        let index = match self.servers.binary_search_by(|server| server.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                self.servers.insert(index, Server::new(name.clone()));
                index
            }
        };
        &mut self.servers[index]
    }
}
