//! Metrics of a daemon, for Prometheus.

pub mod routed;

use {
    ffw_runtime::meter::Wire,
    prometheus::{
        Encoder as _, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
        Registry, TextEncoder,
    },
    routed::Routed,
    std::sync::Arc,
};

/// All metrics of a daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended, by service and result code.
    pub requests: IntCounterVec,
    /// Time from arrival to the first token, in seconds, by service.
    pub first_token: HistogramVec,
    /// Mean time between tokens of an answer, in seconds, by service.
    pub between_tokens: HistogramVec,
    /// Prompt tokens whose prefill result was not used, by service.
    pub wasted_prefill: IntCounterVec,
    /// Prompt tokens whose prefill was used, by service.
    pub used_prefill: IntCounterVec,
    /// Attempts made after a backend server failed an earlier one, by service.
    pub retries: IntCounterVec,
    /// Requests in flight at this entry.
    pub open: IntGauge,
    /// Number of the configuration version in force; 0 if there is none.
    pub config_version: IntGauge,
    /// Number of the newest configuration version that this daemon has heard of.
    pub config_known_version: IntGauge,
    /// Time from which a newer version than the one in force has been known, in seconds since the
    /// Unix epoch; 0 if the newest known one is in force.
    pub config_behind_since: IntGauge,
    /// Time of the last call to the store that showed no unknown configuration version, in seconds
    /// since the Unix epoch; 0 if there was none.
    pub config_confirmed: IntGauge,
    /// Bytes so far on each kind of connection, in both directions.
    pub wire_bytes: IntGaugeVec,
    examined_bytes: IntGaugeVec,
    /// Requests in the queue of each shard that this daemon owns, by pool.
    pub waiting: IntGaugeVec,
    /// Reservations of each shard that this daemon owns, by pool.
    pub held: IntGaugeVec,
    /// Ledger records that are not stored yet.
    pub unstored_records: IntGauge,
    /// Burn rate in thousandths, by service, workspace and window: 1000 if the error budget would
    /// be used up exactly in its period.
    pub burn_rate: IntGaugeVec,
    /// Routed requests.
    pub routed: Routed,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// A name is taken or malformed.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let metric = HistogramVec::new(options, &["service"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        Ok(Metrics {
            requests: counter(
                "fireflyworks_requests_total",
                "Requests that ended",
                &["service", "result"],
            )?,
            first_token: histogram(
                "fireflyworks_first_token_seconds",
                "Time from arrival to the first token",
                &[0.05, 0.1, 0.2, 0.4, 0.71, 1.0, 2.0, 5.0, 15.0, 60.0],
            )?,
            between_tokens: histogram(
                "fireflyworks_between_tokens_seconds",
                "Mean time between tokens of an answer",
                &[0.005, 0.01, 0.02, 0.04, 0.063, 0.1, 0.2, 0.5],
            )?,
            wasted_prefill: counter(
                "fireflyworks_wasted_prefill_tokens_total",
                "Prompt tokens whose prefill was thrown away",
                &["service"],
            )?,
            used_prefill: counter(
                "fireflyworks_used_prefill_tokens_total",
                "Prompt tokens whose prefill was used",
                &["service"],
            )?,
            retries: counter(
                "fireflyworks_retries_total",
                "Attempts started again after a backend server failed",
                &["service"],
            )?,
            open: gauge("fireflyworks_open_requests", "Requests in flight at this entry")?,
            config_version: gauge("fireflyworks_config_version", "Configuration in force")?,
            config_known_version: gauge(
                "fireflyworks_config_known_version",
                "Newest configuration that this daemon has heard of",
            )?,
            config_behind_since: gauge(
                "fireflyworks_config_behind_since_timestamp_seconds",
                "Since when a newer configuration than the one in force has been known; 0 if none",
            )?,
            config_confirmed: gauge(
                "fireflyworks_config_confirmed_timestamp_seconds",
                "When the store last showed no configuration that this daemon has not heard of",
            )?,
            wire_bytes: gauges(
                "fireflyworks_wire_bytes",
                "Bytes so far by kind of connection, both directions",
                &["wire"],
            )?,
            examined_bytes: gauges(
                "fireflyworks_examined_bytes",
                "Bytes that parsers have looked at so far by kind of connection, repeats included",
                &["wire"],
            )?,
            waiting: gauges("fireflyworks_queue_waiting", "Requests in the queue", &["pool"])?,
            held: gauges("fireflyworks_places_held", "Places held", &["pool"])?,
            unstored_records: gauge(
                "fireflyworks_ledger_unstored_records",
                "Ledger records that are not stored yet",
            )?,
            burn_rate: gauges(
                "fireflyworks_burn_rate_thousandths",
                "Burn rate of the error budget, in thousandths",
                &["service", "workspace", "window"],
            )?,
            routed: Routed::new(&registry)?,
            registry,
        })
    }

    /// All metrics in the text format of Prometheus. If they can't be encoded, a comment line with
    /// the error.
    pub fn text(&self) -> Arc<str> {
        for wire in Wire::ALL {
            let label = [wire.name()];
            self.wire_bytes.with_label_values(&label).set(wire.bytes().cast_signed());
            self.examined_bytes.with_label_values(&label).set(wire.examined().cast_signed());
        }
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        encoded.map_or_else(
            |err| format!("# {err}\n").into(),
            |()| String::from_utf8_lossy(&buffer).into(),
        )
    }
}
