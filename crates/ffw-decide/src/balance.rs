//! The choice of a plain server for a request: by what is open there, by how it answered lately, and
//! by the load that it reports.
//!
//! Answers the load pattern of a few slow or failing servers among sound ones: a server whose
//! answers fail is passed over for a time that doubles with each failure, and tried again with one
//! request at a time.

use {
    crate::retry,
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time for which a server is passed over after a failure; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Age above which a reported load says nothing any more.
const LOAD_AGE: Duration = Duration::from_millis(500);

/// Factor on the score of a server in another data centre.
const REMOTE_FACTOR: f64 = 1.15;

/// Answer time that is assumed before any was seen, in seconds.
const ANSWER_TIME: f64 = 0.02;

/// A server that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: Arc<str>,
    /// Whether it is in the data centre of this daemon.
    pub is_local: bool,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered after a time.
    Answered(Duration),
    /// It said that it did not run the request.
    Rejected,
    /// It failed, broke off, or gave no answer in time.
    Failed,
    /// The caller left before the end.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Server {
    name: Arc<str>,
    open: u32,
    answer_time: f64,
    success: f64,
    failures: u32,
    backoff_until: Moment,
    reported: f64,
    reported_at: Moment,
}

impl Server {
    fn new(name: Arc<str>) -> Server {
        Server {
            name,
            open: 0,
            answer_time: ANSWER_TIME,
            success: 1.0,
            failures: 0,
            backoff_until: Moment(0),
            reported: 0.0,
            reported_at: Moment(0),
        }
    }

    /// Expected time to a good answer, in seconds, up to a common factor.
    fn score(&self, now: Moment, is_local: bool) -> f64 {
        let is_fresh = now.since(self.reported_at) < LOAD_AGE;
        let others = if is_fresh { self.reported } else { 0.0 };
        let crowd = 1.0 + f64::from(self.open) + others;
        let distance = if is_local { 1.0 } else { REMOTE_FACTOR };
        crowd * self.answer_time * distance / (self.success * self.success).max(0.01)
    }
}

/// What is known of each plain server.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    servers: Vec<Server>,
}

impl Balancer {
    /// Chooses a server that was not tried yet and counts the request there; one that rests is
    /// chosen only if all do. `turn` parts equal ones.
    pub fn choose(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        tried: &[Arc<str>],
        turn: u64,
    ) -> Option<Arc<str>> {
        let open: Vec<&Candidate> =
            candidates.iter().filter(|one| !tried.contains(&one.name)).collect();
        let count = open.len();
        let mut best: Option<(bool, f64, usize)> = None;
        for offset in 0..count {
            let at = (turn as usize + offset) % count;
            let server = self.server(&open[at].name);
            let rests = now < server.backoff_until || server.failures > 0 && server.open > 0;
            let score = server.score(now, open[at].is_local);
            if best.is_none_or(|(other_rests, other, _)| (rests, score) < (other_rests, other)) {
                best = Some((rests, score, at));
            }
        }
        let name = open[best?.2].name.clone();
        self.server(&name).open += 1;
        Some(name)
    }

    /// Notes how a request that was counted by [`Balancer::choose`] ended.
    pub fn end(&mut self, now: Moment, name: &Arc<str>, outcome: Outcome) {
        let server = self.server(name);
        server.open = server.open.saturating_sub(1);
        match outcome {
            Outcome::Answered(span) => {
                server.answer_time += (span.as_secs_f64() - server.answer_time) * SAMPLE_WEIGHT;
                server.success += (1.0 - server.success) * SAMPLE_WEIGHT;
                server.failures = 0;
            }
            Outcome::Rejected => server.success += (0.5 - server.success) * SAMPLE_WEIGHT,
            Outcome::Failed => {
                server.success -= server.success * SAMPLE_WEIGHT;
                server.failures += 1;
                server.backoff_until =
                    now + retry::delay(server.failures, BACKOFF_MIN, BACKOFF_MAX);
            }
            Outcome::Abandoned => {}
        }
    }

    /// Notes the load that a server reports, as requests for each of its slots.
    pub fn record_load(&mut self, now: Moment, name: &Arc<str>, load: f64) {
        let server = self.server(name);
        server.reported = load;
        server.reported_at = now;
    }

    /// Forgets servers that are not listed any more and have nothing open.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers.retain(|one| one.open > 0 || is_listed(&one.name));
    }

    fn server(&mut self, name: &Arc<str>) -> &mut Server {
        let at = match self.servers.binary_search_by(|one| one.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.servers.insert(at, Server::new(name.clone()));
                at
            }
        };
        &mut self.servers[at]
    }
}
