//! One run with daemon processes among stand-ins.

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

/// Target between two tokens of every service of the mixes.
const BETWEEN_TOKENS: Duration = Duration::from_millis(63);

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    pub(super) policy: String,
    pub(super) load: f64,
    pub(super) fault: String,
    pub(super) seed: u64,
    pub(super) offered: u64,
    /// Whole answers.
    pub(super) answered: u64,
    /// Whole answers that met both targets.
    pub(super) good: u64,
    /// Refused with a time to come back.
    pub(super) refused: u64,
    /// Neither answered nor refused.
    pub(super) failed: u64,
    pub(super) wasted_share: f64,
    pub(super) first_p50_ms: u64,
    pub(super) first_p95_ms: u64,
    pub(super) between_p50_ms: f64,
    pub(super) between_p95_ms: f64,
    /// Processor time of all daemons for each request, in milliseconds.
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

    pub(super) fn record_answer(&mut self, arrival: &Arrival, first: Duration, between: Duration) {
        self.answered += 1;
        let is_good = first <= arrival.kind.first_token && between <= BETWEEN_TOKENS;
        self.good += u64::from(is_good);
        let record = |histogram: &mut Option<Histogram<u64>>, span: Duration| {
            if let Some(histogram) = histogram {
                histogram.record(span.as_micros() as u64).ok();
            }
        };
        record(&mut self.first, first);
        record(&mut self.between, between);
    }

    fn note(&mut self, arrival: &Arrival, answer: &Answer) {
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

    pub(super) fn close(&mut self, cpu: Duration) {
        let at = |histogram: &Option<Histogram<u64>>, quantile: f64| {
            histogram.as_ref().map_or(0, |one| one.value_at_quantile(quantile))
        };
        self.first_p50_ms = at(&self.first, 0.5) / 1_000;
        self.first_p95_ms = at(&self.first, 0.95) / 1_000;
        self.between_p50_ms = at(&self.between, 0.5) as f64 / 1_000.0;
        self.between_p95_ms = at(&self.between, 0.95) as f64 / 1_000.0;
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

/// Sizes of the engines; the declarations have the same.
pub(super) fn engine() -> engine::Settings {
    engine::Settings { fences: true, pieces: 400, ..engine::Settings::default() }
}

/// Runs the arrivals with one policy.
pub(super) async fn run(plan: &Plan, policy: &str, load: f64, arrivals: &[Arrival]) -> Row {
    let mut cluster = Cluster::start(cluster_plan(plan, policy)).await;
    let begin = Instant::now();
    let mut tasks = Vec::new();
    let mut is_faulted = plan.fault == "none";
    let mut dead = None;
    for arrival in arrivals {
        timer::sleep(arrival.at.saturating_sub(begin.elapsed())).await;
        if !is_faulted && arrival.at.as_secs() >= plan.seconds / 2 {
            is_faulted = true;
            dead = bring_fault(plan, &mut cluster).await;
        }
        let call = completion(plan, &cluster, arrival, dead);
        tasks.push(executor::spawn(async move { call.send().await }));
    }
    let mut row = Row::new(policy, load, plan);
    row.offered = arrivals.len() as u64;
    for (arrival, task) in arrivals.iter().zip(tasks) {
        row.note(arrival, &task.await);
    }
    let counters = cluster.prefills.iter().map(|node| node.service.counters());
    let (computed, wasted) = counters.fold((0, 0), |(computed, wasted), one| {
        (computed + one.prefill_tokens, wasted + one.wasted_tokens)
    });
    row.wasted_share = wasted as f64 / computed.max(1) as f64;
    let cpu = cluster.daemons.iter().map(|daemon| daemon.usage().cpu).sum();
    row.close(cpu);
    row
}

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

fn completion(
    plan: &Plan,
    cluster: &Cluster,
    arrival: &Arrival,
    dead: Option<usize>,
) -> Completion {
    let count = cluster.daemons.len();
    let mut at = arrival.daemon % count;
    if dead == Some(at) {
        at = (at + 1) % count;
    }
    Completion {
        address: cluster.daemons[at].callers,
        key: arrival.key.into(),
        service: arrival.kind.service.into(),
        model: plan.mix.model.into(),
        prompt: arrival.prompt.clone(),
        max_tokens: arrival.kind.max_tokens,
        stream: true,
        leave_after: None,
    }
}

/// Brings the fault about; gives the daemon that died, which the balancer leaves out.
async fn bring_fault(plan: &Plan, cluster: &mut Cluster) -> Option<usize> {
    if plan.fault == "engine" {
        let node = &cluster.decodes[0];
        for held in node.service.held() {
            node.service.drop_stream(&held.request_id);
        }
        node.stop();
        cluster.mark_leaving(node, Role::Decode);
        return None;
    }
    // The owner of the shard is the daemon whose death costs most.
    let owner = cluster.owner().await;
    cluster.daemons[owner].kill();
    let name = cluster.daemons[owner].name.clone();
    cluster.platform.service.remove_instance(&name);
    Some(owner)
}
