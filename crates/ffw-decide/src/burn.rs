//! Service-level burn: how fast each service and workspace uses up its error budget, over a short
//! and long windows. Counts are kept by the minute, and only for minutes in which something ended.

use {
    ffw_protocol::time::Moment,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Windows that are reported.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(21_600)];

const BUCKET: Duration = Duration::from_secs(60);

/// Targets that a request has to meet.
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
    /// Time to the first token; none if there was no answer.
    pub first_token: Option<Duration>,
    /// Mean time between tokens; none for answers of one token and of plain services.
    pub between_tokens: Option<Duration>,
    /// Whether the whole answer was delivered.
    pub is_whole: bool,
}

/// Requests counted by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All.
    pub total: u64,
    /// Those that missed a target.
    pub missed: u64,
    /// Of these, for the first token.
    pub first_token: u64,
    /// Of these, for the time between tokens.
    pub between_tokens: u64,
    /// Of these, for want of a whole answer.
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
        let late = sample.first_token.is_some_and(|span| span > target.first_token);
        let slow = sample.between_tokens.is_some_and(|span| span > target.between_tokens);
        let unavailable = !sample.is_whole;
        Counts {
            total: 1,
            missed: u64::from(late || slow || unavailable),
            first_token: u64::from(late),
            between_tokens: u64::from(slow),
            unavailable: u64::from(unavailable),
        }
    }

    /// How many times faster than allowed the error budget is used: 1 uses it up exactly.
    pub fn burn_rate(&self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.missed as f64 / self.total as f64 / (1.0 - objective).max(1e-9)
    }

    /// Share of the error budget of these requests that is left; negative if overdrawn.
    pub fn budget_left(&self, objective: f64) -> f64 {
        1.0 - self.burn_rate(objective)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Moment,
    counts: Counts,
}

/// Counts of one service and workspace.
#[derive(Clone, Debug)]
pub struct Series {
    /// Service.
    pub service: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    buckets: VecDeque<Bucket>,
}

impl Series {
    fn add(&mut self, now: Moment, counts: &Counts) {
        let start = Moment(now.0 - now.0 % BUCKET.as_micros() as u64);
        match self.buckets.back_mut() {
            Some(last) if last.start == start => last.counts.add(counts),
            _ => self.buckets.push_back(Bucket { start, counts: *counts }),
        }
        let horizon = WINDOWS[WINDOWS.len() - 1] + BUCKET;
        while self.buckets.front().is_some_and(|one| now.since(one.start) > horizon) {
            self.buckets.pop_front();
        }
    }

    /// Counts over the window that ends now.
    pub fn over(&self, now: Moment, window: Duration) -> Counts {
        let mut sum = Counts::default();
        let newest_first = self.buckets.iter().rev();
        newest_first
            .take_while(|one| now.since(one.start) < window + BUCKET)
            .for_each(|one| sum.add(&one.counts));
        sum
    }
}

/// All series, in order of service and workspace.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    series: Vec<Series>,
}

impl Counters {
    /// Counts one request.
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
        let at = match self.series.binary_search_by(|one| (&one.service, &one.workspace).cmp(&key))
        {
            Ok(at) => at,
            Err(at) => {
                let (service, workspace) = (service.clone(), workspace.clone());
                let buckets = VecDeque::new();
                self.series.insert(at, Series { service, workspace, buckets });
                at
            }
        };
        self.series[at].add(now, &counts);
    }

    /// Every series.
    pub fn series(&self) -> &[Series] {
        &self.series
    }
}
