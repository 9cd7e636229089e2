//! Metrics of routed requests. Label values are pools of the configuration, fixed words of the
//! code, and backend servers that have a rate limit, so the number of time series is bounded.

use {
    prometheus::{
        GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Label value for the pool of a request that ended before a pool was chosen.
pub const NO_POOL: &str = "none";

/// Largest number of workspaces with series of their own.
const QUOTA_SERIES_MAX: usize = 32;

/// Label value for all other workspaces.
const OTHER_WORKSPACES: &str = "(others)";

/// Upper bounds of the histogram's buckets, in seconds.
const BUCKETS_S: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.9, 2.0, 5.0, 15.0];

/// Parts of a request whose durations are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// From a stream's admission request to its grant.
    Wait,
    /// Prefill of the prompt.
    Prefill,
    /// From the request to its first event.
    FirstEvent,
    /// Longest time between two events of a stream.
    Pause,
    /// From the request to the end of its response.
    Whole,
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Stage::Wait => "wait",
            Stage::Prefill => "prefill",
            Stage::FirstEvent => "first_event",
            Stage::Pause => "pause",
            Stage::Whole => "whole",
        }
    }
}

/// Counters, gauges and histograms of routed requests.
#[derive(Clone, Debug)]
pub struct Routed {
    /// Requests that ended, by pool and outcome.
    requests: IntCounterVec,
    /// Runs of streams that ended, by pool, framing of the body, whether the run was to be moved,
    /// and how it ended.
    runs: IntCounterVec,
    /// Streams that callers took up, by pool and by how their origin was known.
    resumed: IntCounterVec,
    /// Duration of each step, in seconds, by pool and step.
    steps: HistogramVec,
    /// Retries that were asked for, by pool and by whether the retry budget allowed them.
    retries: IntCounterVec,
    /// Retries that the retry budget still allows, by pool.
    pub retries_left: IntGaugeVec,
    /// Sets of prompt parts that are held, by pool.
    pub quarantined: IntGaugeVec,
    /// Requests that were tried with prompt parts that are held or on trial, by pool and outcome.
    pub quarantine_tries: IntCounterVec,
    /// Rate limit that a backend server has stated, in requests a second, by server. Only servers
    /// with a limit have a series.
    limits: GaugeVec,
    /// Requests to servers with a rate limit, by server and by whether they had a permit.
    limited: IntCounterVec,
    /// Requests of workspaces with a quota, by workspace and outcome.
    quotas: IntCounterVec,
    /// Workspaces that have series of their own, in order.
    quota_names: Arc<Mutex<Vec<Arc<str>>>>,
    /// Copies of records of where streams began, by outcome.
    origin_records: IntCounterVec,
    /// Lookups of where a stream began, by outcome.
    origin_lookups: IntCounterVec,
    /// Records of where streams began that are in memory.
    pub origins_held: IntGauge,
    /// Share of the plain requests that is sent to other data centres, 0 to 1, by pool.
    pub away_share: GaugeVec,
    /// Calls to servers of other data centres, by pool, data centre and cause.
    away: IntCounterVec,
    /// Open connections of callers.
    pub callers: IntGauge,
    /// Memory that callers' connections are charged with, in bytes, by kind.
    pub caller_memory: IntGaugeVec,
    /// Refusals because of the memory budget so far, by cause.
    pub memory_refusals: IntGaugeVec,
    /// Memory that connections to servers are charged with, in bytes, by kind.
    pub server_memory: IntGaugeVec,
    /// Responses of servers that were given up because of the memory budget so far, by cause.
    pub server_memory_refusals: IntGaugeVec,
    /// Time of the store's last answer, in seconds since the Unix epoch, by kind of object.
    pub store_answered: IntGaugeVec,
    /// Time since the store last showed that there is nothing newer than what this daemon believes,
    /// in seconds, by kind of object.
    pub belief_age: GaugeVec,
}

impl Routed {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A name is taken or malformed.
    pub fn new(registry: &Registry) -> Result<Routed, prometheus::Error> {
        let buckets = BUCKETS_S.to_vec();
        let steps = HistogramOpts::new("fireflyworks_routed_step_seconds", "Time of each step");
        let routed = Routed {
            requests: IntCounterVec::new(
                Opts::new("fireflyworks_routed_requests_total", "Routed requests that ended"),
                &["pool", "outcome"],
            )?,
            runs: IntCounterVec::new(
                Opts::new("fireflyworks_routed_runs_total", "Runs of streams that ended"),
                &["pool", "framing", "moved", "end"],
            )?,
            resumed: IntCounterVec::new(
                Opts::new("fireflyworks_resumed_streams_total", "Streams that callers took up"),
                &["pool", "known_by"],
            )?,
            steps: HistogramVec::new(steps.buckets(buckets), &["pool", "step"])?,
            retries: IntCounterVec::new(
                Opts::new("fireflyworks_routed_repeats_total", "Repeated calls asked for"),
                &["pool", "allowed"],
            )?,
            retries_left: IntGaugeVec::new(
                Opts::new("fireflyworks_routed_repeats_left", "Repeated calls left in the window"),
                &["pool"],
            )?,
            quarantined: IntGaugeVec::new(
                Opts::new("fireflyworks_quarantined_parts", "Sets of prompt parts that are held"),
                &["pool"],
            )?,
            quarantine_tries: IntCounterVec::new(
                Opts::new(
                    "fireflyworks_quarantine_tries_total",
                    "Requests that were tried with prompt parts that are held or on trial",
                ),
                &["pool", "outcome"],
            )?,
            limits: GaugeVec::new(
                Opts::new(
                    "fireflyworks_server_limit_requests_per_second",
                    "Requests a second that a server takes from all daemons together",
                ),
                &["server"],
            )?,
            limited: IntCounterVec::new(
                Opts::new(
                    "fireflyworks_limited_requests_total",
                    "Requests to servers with a rate limit",
                ),
                &["server", "permit"],
            )?,
            quotas: IntCounterVec::new(
                Opts::new(
                    "fireflyworks_quota_requests_total",
                    "Requests of workspaces with a quota",
                ),
                &["workspace", "outcome"],
            )?,
            quota_names: Arc::default(),
            origin_records: IntCounterVec::new(
                Opts::new(
                    "fireflyworks_origin_records_total",
                    "Copies of records of where streams began that were sent",
                ),
                &["outcome"],
            )?,
            origin_lookups: IntCounterVec::new(
                Opts::new("fireflyworks_origin_lookups_total", "Lookups of where a stream began"),
                &["outcome"],
            )?,
            origins_held: IntGauge::new(
                "fireflyworks_origins_held",
                "Records of where streams began that are in memory",
            )?,
            away_share: GaugeVec::new(
                Opts::new(
                    "fireflyworks_away_share",
                    "Share of the plain requests that is sent to other data centres",
                ),
                &["pool"],
            )?,
            away: IntCounterVec::new(
                Opts::new(
                    "fireflyworks_away_calls_total",
                    "Calls to servers of other data centres",
                ),
                &["pool", "data_centre", "cause"],
            )?,
            callers: IntGauge::new("fireflyworks_callers", "Open connections of callers")?,
            caller_memory: IntGaugeVec::new(
                Opts::new(
                    "fireflyworks_caller_memory_bytes",
                    "Memory that callers' connections are charged with",
                ),
                &["kind"],
            )?,
            memory_refusals: IntGaugeVec::new(
                Opts::new(
                    "fireflyworks_caller_memory_refusals",
                    "Refusals so far because of the memory budget",
                ),
                &["cause"],
            )?,
            server_memory: IntGaugeVec::new(
                Opts::new(
                    "fireflyworks_server_memory_bytes",
                    "Memory that connections to servers are charged with",
                ),
                &["kind"],
            )?,
            server_memory_refusals: IntGaugeVec::new(
                Opts::new(
                    "fireflyworks_server_memory_refusals",
                    "Responses given up so far because of the memory budget",
                ),
                &["cause"],
            )?,
            store_answered: IntGaugeVec::new(
                Opts::new(
                    "fireflyworks_store_answered_timestamp_seconds",
                    "Time of the store's last answer",
                ),
                &["kind"],
            )?,
            belief_age: GaugeVec::new(
                Opts::new(
                    "fireflyworks_belief_age_seconds",
                    "Time since the store last showed nothing newer than what is believed",
                ),
                &["kind"],
            )?,
        };
        registry.register(Box::new(routed.requests.clone()))?;
        registry.register(Box::new(routed.runs.clone()))?;
        registry.register(Box::new(routed.resumed.clone()))?;
        registry.register(Box::new(routed.steps.clone()))?;
        registry.register(Box::new(routed.retries.clone()))?;
        registry.register(Box::new(routed.retries_left.clone()))?;
        registry.register(Box::new(routed.quarantined.clone()))?;
        registry.register(Box::new(routed.quarantine_tries.clone()))?;
        registry.register(Box::new(routed.limits.clone()))?;
        registry.register(Box::new(routed.limited.clone()))?;
        registry.register(Box::new(routed.quotas.clone()))?;
        registry.register(Box::new(routed.origin_records.clone()))?;
        registry.register(Box::new(routed.origin_lookups.clone()))?;
        registry.register(Box::new(routed.origins_held.clone()))?;
        registry.register(Box::new(routed.away_share.clone()))?;
        registry.register(Box::new(routed.away.clone()))?;
        registry.register(Box::new(routed.callers.clone()))?;
        registry.register(Box::new(routed.caller_memory.clone()))?;
        registry.register(Box::new(routed.memory_refusals.clone()))?;
        registry.register(Box::new(routed.server_memory.clone()))?;
        registry.register(Box::new(routed.server_memory_refusals.clone()))?;
        registry.register(Box::new(routed.store_answered.clone()))?;
        registry.register(Box::new(routed.belief_age.clone()))?;
        Ok(routed)
    }

    /// Counts a request that ended; `outcome` is *served*, *server_failed*, *cut*, *caller_gone* or
    /// the code of an error.
    pub fn record_end(&self, pool: &str, outcome: &str) {
        self.requests.with_label_values(&[pool, outcome]).inc();
    }

    /// Counts a run of a stream that ended. `is_moved` states whether its server was told to stop
    /// it for a move, and `end` is *complete*, *broken* or *caller_gone*.
    pub fn record_run(&self, pool: &str, framing: &str, is_moved: bool, end: &str) {
        self.runs.with_label_values(&[pool, framing, yes_or_no(is_moved), end]).inc();
    }

    /// Counts a stream that its caller took up; `known_by` is *record*, *sole_version*, *archive*,
    /// *unstated* if no server states a version, or, if its origin is not known, *unconfirmed* if the
    /// store did not confirm the list of servers, and *none* else.
    pub fn record_resumed(&self, pool: &str, known_by: &str) {
        self.resumed.with_label_values(&[pool, known_by]).inc();
    }

    /// Counts a request that was tried although parts of its prompt are held or on trial; `outcome`
    /// is *unsent*, *unsettled*, *broken*, *ended_well*, or *crashed* beside *broken*.
    pub fn record_quarantine_try(&self, pool: &str, outcome: &str) {
        self.quarantine_tries.with_label_values(&[pool, outcome]).inc();
    }

    /// Records the rate limit of a server; `None` if it has none.
    pub fn record_limit(&self, server: &str, per_s: Option<f64>) {
        match per_s {
            Some(per_s) => self.limits.with_label_values(&[server]).set(per_s),
            None => drop(self.limits.remove_label_values(&[server])),
        }
    }

    /// Counts a request to a server with a rate limit, by whether it had a permit.
    pub fn record_limited(&self, server: &str, has_permit: bool) {
        self.limited.with_label_values(&[server, yes_or_no(has_permit)]).inc();
    }

    /// Counts a request of a workspace with a quota. The first [`QUOTA_SERIES_MAX`] workspaces have
    /// series of their own, the others share one.
    pub fn record_quota(&self, workspace: &Arc<str>, outcome: &str) {
        let mut names = self.quota_names.lock().unwrap_or_else(PoisonError::into_inner);
        let label = match names.binary_search(workspace) {
            Ok(_) => &**workspace,
            Err(index) if names.len() < QUOTA_SERIES_MAX => {
                names.insert(index, workspace.clone());
                &**workspace
            }
            Err(_) => OTHER_WORKSPACES,
        };
        self.quotas.with_label_values(&[label, outcome]).inc();
    }

    /// Counts copies of records of where streams began; `outcome` is *sent*, *resent*, to a daemon
    /// that stands in for one that did not answer, or *lost*.
    pub fn record_origin_copies(&self, outcome: &str, count: usize) {
        self.origin_records.with_label_values(&[outcome]).inc_by(count as u64);
    }

    /// Counts a lookup of where a stream began; `outcome` is *own*, *peer*, *none* or *conflict*.
    pub fn record_origin_lookup(&self, outcome: &str) {
        self.origin_lookups.with_label_values(&[outcome]).inc();
    }

    /// Counts a call to a server of another data centre.
    pub fn record_away(&self, pool: &str, data_centre: &str, cause: &str) {
        self.away.with_label_values(&[pool, data_centre, cause]).inc();
    }

    /// Drops the series of a server that is no longer listed.
    pub fn forget_server(&self, server: &str) {
        self.record_limit(server, None);
        for has_permit in [true, false] {
            drop(self.limited.remove_label_values(&[server, yes_or_no(has_permit)]));
        }
    }

    /// Records the duration of a step.
    pub fn record_stage(&self, pool: &str, step: Stage, span: Duration) {
        self.steps.with_label_values(&[pool, step.label()]).observe(span.as_secs_f64());
    }

    /// Counts retries that were asked for, by whether the retry budget allowed them.
    pub fn record_retries(&self, pool: &str, count: u32, is_allowed: bool) {
        self.retries.with_label_values(&[pool, yes_or_no(is_allowed)]).inc_by(u64::from(count));
    }
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
