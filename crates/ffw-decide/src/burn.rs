//! Burn rates: how fast each service and workspace uses up the error budget of its service-level
//! objective, over a short and two longer windows. Counts are kept by the minute, and only for
//! minutes in which a request ended.

use {
    ffw_protocol::time::Moment,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Windows over which burn rates are reported, from the shortest to the longest.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(21_600)];

const BUCKET_LENGTH: Duration = Duration::from_secs(60);

/// Latency targets of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time to the first token.
    pub first_token: Duration,
    /// Mean time between tokens.
    pub between_tokens: Duration,
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time to the first token; `None` if there was no answer.
    pub first_token: Option<Duration>,
    /// Mean time between tokens; `None` for answers of one token and of plain services.
    pub between_tokens: Option<Duration>,
    /// Whether the complete answer was delivered.
    pub is_whole: bool,
}

/// Number of requests by result. A request can miss more than one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests.
    pub total: u64,
    /// Requests that missed a latency target or got no complete answer.
    pub missed: u64,
    /// Of `missed`, those whose first token was late.
    pub first_token: u64,
    /// Of `missed`, those whose mean time between tokens was too long.
    pub between_tokens: u64,
    /// Of `missed`, those that got no complete answer.
    pub unavailable: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.total += other.total;
        self.missed += other.missed;
        self.first_token += other.first_token;
        self.between_tokens += other.between_tokens;
        self.unavailable += other.unavailable;
    }

    /// The counts of one request.
    pub fn of(sample: &Sample, target: &Target) -> Counts {
        let late = sample.first_token.is_some_and(|time| time > target.first_token);
        let slow = sample.between_tokens.is_some_and(|time| time > target.between_tokens);
        let unavailable = !sample.is_whole;
        Counts {
            total: 1,
            missed: u64::from(late || slow || unavailable),
            first_token: u64::from(late),
            between_tokens: u64::from(slow),
            unavailable: u64::from(unavailable),
        }
    }

    /// Ratio of the share of missed requests to the share that `objective` (0 to 1) allows: 1 uses
    /// the error budget up exactly. 0 if there were no requests.
    pub fn burn_rate(&self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.missed as f64 / self.total as f64 / (1.0 - objective).max(1e-9)
    }

    /// Share of these requests' error budget that is left; negative if more was used.
    pub fn budget_left(&self, objective: f64) -> f64 {
        1.0 - self.burn_rate(objective)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Moment,
    counts: Counts,
}

/// Counts of one service and workspace, by minute.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    buckets: VecDeque<Bucket>,
}

impl Series {
    fn add(&mut self, now: Moment, counts: &Counts) {
        let start = Moment(now.0 - now.0 % BUCKET_LENGTH.as_micros() as u64);
        match self.buckets.back_mut() {
            Some(last) if last.start == start => last.counts.add(counts),
            _ => self.buckets.push_back(Bucket { start, counts: *counts }),
        }
        let horizon = WINDOWS[WINDOWS.len() - 1] + BUCKET_LENGTH;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > horizon) {
            self.buckets.pop_front();
        }
    }

    /// Counts over the window that ends now. Minutes are counted whole, so up to one more minute
    /// before the window is included.
    pub fn over(&self, now: Moment, window: Duration) -> Counts {
        let mut sum = Counts::default();
        let newest_first = self.buckets.iter().rev();
        newest_first
            .take_while(|bucket| now.since(bucket.start) < window + BUCKET_LENGTH)
            .for_each(|bucket| sum.add(&bucket.counts));
        sum
    }
}

/// All series, sorted by service and workspace.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    series: Vec<Series>,
}

impl Counters {
    /// Counts one request that ended now.
    pub fn add(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        workspace: &Arc<str>,
        sample: &Sample,
        target: &Target,
    ) {
        let counts = Counts::of(sample, target);
        let key = (service, workspace);
        let index = match self
            .series
            .binary_search_by(|series| (&series.service, &series.workspace).cmp(&key))
        {
            Ok(index) => index,
            Err(index) => {
                let (service, workspace) = (service.clone(), workspace.clone());
                let buckets = VecDeque::new();
                self.series.insert(index, Series { service, workspace, buckets });
                index
            }
        };
        self.series[index].add(now, &counts);
    }

    /// All series, sorted by service and workspace.
    pub fn series(&self) -> &[Series] {
        &self.series
    }
}
