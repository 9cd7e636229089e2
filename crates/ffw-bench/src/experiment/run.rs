//! One run of an experiment: sends the arrivals to daemon processes among stand-ins under one
//! admission policy, injects the fault, and sums up the answers.

use {
    super::{Plan, mix::Arrival},
    ffw_protocol::instance::Role,
    ffw_runtime::{executor, timer},
    ffw_standin::{
        caller::{Answer, Completion},
        engine,
    },
    ffw_support::cluster::{self, Cluster},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// Target of the time between two tokens, the same for each service of the mixes.
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(63);

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    pub(super) policy: String,
    /// Offered load over capacity.
    pub(super) load: f64,
    pub(super) fault: String,
    pub(super) seed: u64,
    /// Requests sent.
    pub(super) offered: u64,
    /// Complete answers.
    pub(super) answered: u64,
    /// Complete answers that met both targets: first token and time between tokens.
    pub(super) good: u64,
    /// Requests refused with a time after which to retry.
    pub(super) refused: u64,
    /// Requests that were neither answered completely nor refused.
    pub(super) failed: u64,
    /// Share of the prompt tokens whose prefill result was wasted: of the computed ones in a run,
    /// of the offered ones in the reference.
    pub(super) wasted_share: f64,
    pub(super) first_p50_ms: u64,
    pub(super) first_p95_ms: u64,
    pub(super) between_p50_ms: f64,
    pub(super) between_p95_ms: f64,
    /// Processor time of all daemons per request, in milliseconds.
    pub(super) cpu_ms: f64,
    #[serde(skip)]
    first: Option<Histogram<u64>>,
    #[serde(skip)]
    between: Option<Histogram<u64>>,
}

impl Row {
    pub(super) fn new(policy: &str, load: f64, plan: &Plan) -> Row {
        Row {
            policy: policy.to_owned(),
            load,
            fault: plan.fault.clone(),
            seed: plan.seed,
            offered: 0,
            answered: 0,
            good: 0,
            refused: 0,
            failed: 0,
            wasted_share: 0.0,
            first_p50_ms: 0,
            first_p95_ms: 0,
            between_p50_ms: 0.0,
            between_p95_ms: 0.0,
            cpu_ms: 0.0,
            first: Histogram::new(3).ok(),
            between: Histogram::new(3).ok(),
        }
    }

    pub(super) fn heading() -> String {
        format!(
            "{:<12} {:>5} {:>7} {:>8} {:>6} {:>8} {:>7} {:>6} {:>8} {:>9} {:>9} {:>10} {:>10} {:>7}",
            "policy",
            "load",
            "offered",
            "answered",
            "good",
            "good/off",
            "refused",
            "failed",
            "wasted%",
            "first p50",
            "first p95",
            "between50",
            "between95",
            "cpu ms"
        )
    }

    /// Counts a complete answer, with its time to the first token and its mean time between tokens.
    pub(super) fn record_answer(&mut self, arrival: &Arrival, first: Duration, between: Duration) {
        self.answered += 1;
        let is_good = first <= arrival.kind.first_token && between <= BETWEEN_TOKENS_TARGET;
        self.good += u64::from(is_good);
        let record = |histogram: &mut Option<Histogram<u64>>, span: Duration| {
            if let Some(histogram) = histogram {
                histogram.record(span.as_micros() as u64).ok();
            }
        };
        record(&mut self.first, first);
        record(&mut self.between, between);
    }

    fn record(&mut self, arrival: &Arrival, answer: &Answer) {
        if answer.status == 200 && answer.is_whole {
            let first = answer.first.unwrap_or(answer.total);
            let gaps = answer.tokens.saturating_sub(1).max(1);
            self.record_answer(arrival, first, answer.total.saturating_sub(first) / gaps);
        } else if answer.retry_after.is_some() {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Works out the quantiles, and the processor time per request from that of all daemons.
    pub(super) fn close(&mut self, cpu: Duration) {
        let value_us = |histogram: &Option<Histogram<u64>>, quantile: f64| {
            histogram.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile))
        };
        self.first_p50_ms = value_us(&self.first, 0.5) / 1_000;
        self.first_p95_ms = value_us(&self.first, 0.95) / 1_000;
        self.between_p50_ms = value_us(&self.between, 0.5) as f64 / 1_000.0;
        self.between_p95_ms = value_us(&self.between, 0.95) as f64 / 1_000.0;
        self.cpu_ms = cpu.as_secs_f64() * 1_000.0 / self.offered.max(1) as f64;
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<12} {:>5.2} {:>7} {:>8} {:>6} {:>7.1}% {:>7} {:>6} {:>7.2}% {:>9} {:>9} {:>10.1} {:>10.1} {:>7.2}",
            self.policy,
            self.load,
            self.offered,
            self.answered,
            self.good,
            self.good as f64 * 100.0 / self.offered.max(1) as f64,
            self.refused,
            self.failed,
            self.wasted_share * 100.0,
            self.first_p50_ms,
            self.first_p95_ms,
            self.between_p50_ms,
            self.between_p95_ms,
            self.cpu_ms
        )
    }
}

/// Sizes of the engines; the declarations that the daemons get have the same.
pub(super) fn engine() -> engine::Settings {
    engine::Settings { fences: true, pieces: 400, ..engine::Settings::default() }
}

/// Sends the arrivals to a new cluster with one policy; the fault comes at half time.
pub(super) async fn run(plan: &Plan, policy: &str, load: f64, arrivals: &[Arrival]) -> Row {
    let mut cluster = Cluster::start(cluster_plan(plan, policy)).await;
    let began = Instant::now();
    let mut tasks = Vec::new();
    let mut is_faulted = plan.fault == "none";
    let mut killed = None;
    for arrival in arrivals {
        timer::sleep(arrival.at.saturating_sub(began.elapsed())).await;
        if !is_faulted && arrival.at.as_secs() >= plan.seconds / 2 {
            is_faulted = true;
            killed = inject_fault(plan, &mut cluster).await;
        }
        let call = completion(plan, &cluster, arrival, killed);
        tasks.push(executor::spawn(async move { call.send().await }));
    }
    let mut row = Row::new(policy, load, plan);
    row.offered = arrivals.len() as u64;
    for (arrival, task) in arrivals.iter().zip(tasks) {
        row.record(arrival, &task.await);
    }
    let counters = cluster.prefills.iter().map(|node| node.service.counters());
    let (computed, wasted) = counters.fold((0, 0), |(computed, wasted), counters| {
        (computed + counters.prefill_tokens, wasted + counters.wasted_tokens)
    });
    row.wasted_share = wasted as f64 / computed.max(1) as f64;
    let cpu = cluster.daemons.iter().map(|daemon| daemon.usage().cpu).sum();
    row.close(cpu);
    row
}

/// The plan of the cluster, whose declaration gets the memory pieces of [`engine()`].
fn cluster_plan(plan: &Plan, policy: &str) -> cluster::Plan {
    let policy: &'static str = policy.to_owned().leak();
    let pieces = format!("pieces = {}", engine().pieces);
    let declaration = plan.mix.declaration.replace("pieces = 160", &pieces);
    let mut arguments = vec!["--admission", policy, "--log-level", "error"];
    arguments.extend(["--max-body-bytes", "1000000"]);
    cluster::Plan {
        daemons: plan.daemons,
        prefills: plan.prefills,
        decodes: plan.decodes,
        plains: 0,
        engine: engine(),
        declaration: declaration.into(),
        pool: plan.mix.pool,
        arguments,
        ..cluster::Plan::new(plan.binary)
    }
}

/// The request of an arrival, sent to its daemon or, if that was killed, to the next one.
fn completion(
    plan: &Plan,
    cluster: &Cluster,
    arrival: &Arrival,
    killed: Option<usize>,
) -> Completion {
    let count = cluster.daemons.len();
    let mut daemon = arrival.daemon % count;
    if killed == Some(daemon) {
        daemon = (daemon + 1) % count;
    }
    Completion {
        address: cluster.daemons[daemon].callers,
        key: arrival.key.into(),
        service: arrival.kind.service.into(),
        model: plan.mix.model.into(),
        prompt: arrival.prompt.clone(),
        max_tokens: arrival.kind.max_tokens,
        stream: true,
        leave_after: None,
    }
}

/// Injects the fault. Returns the index of the killed daemon, which gets no further requests, or
/// `None` if the fault is that of an engine.
async fn inject_fault(plan: &Plan, cluster: &mut Cluster) -> Option<usize> {
    if plan.fault == "engine" {
        let node = &cluster.decodes[0];
        for held in node.service.held() {
            node.service.drop_stream(&held.request_id);
        }
        node.stop();
        cluster.mark_leaving(node, Role::Decode);
        return None;
    }
    // Of all daemons, the death of the shard's owner affects the most requests.
    let owner = cluster.owner().await;
    cluster.daemons[owner].kill();
    let name = cluster.daemons[owner].name.clone();
    cluster.platform.service.remove_instance(&name);
    Some(owner)
}
