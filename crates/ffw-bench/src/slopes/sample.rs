//! Measures one sample: the costs of a cluster that is idle, under load, or reconfigured each
//! second.

use {
    ffw_runtime::{executor, timer},
    ffw_support::cluster::{Cluster, Plan, operator, send_all, text_of},
    std::time::{Duration, Instant},
};

/// Time before a sample, after which the work of the start no longer affects the costs.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Limit of the output tokens of each request under load.
const MAX_TOKENS: u32 = 64;

/// A kind of cost. Bytes, reads and writes are per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cost {
    /// Processor time in percent of a core; the mean of the daemons that do not own the shard.
    Cpu,
    /// Processor time of the shard's owner, in percent of a core.
    OwnerCpu,
    /// Resident memory in megabytes; the largest of all daemons.
    Memory,
    /// Bytes on connections to other daemons; the mean of all daemons.
    PeerBytes,
    /// Bytes on connections to the platform's object API; the mean of all daemons.
    PlatformBytes,
    /// Bytes on the owner's connections for engine reports.
    ReportBytes,
    /// Reads from the platform's object API, summed over all daemons.
    Reads,
    /// Writes to the platform's object API, summed over all daemons.
    Writes,
}

impl Cost {
    pub(crate) const ALL: [Cost; 8] = [
        Cost::Cpu,
        Cost::OwnerCpu,
        Cost::Memory,
        Cost::PeerBytes,
        Cost::PlatformBytes,
        Cost::ReportBytes,
        Cost::Reads,
        Cost::Writes,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Cost::Cpu => "CPU of a non-owner, % of a core",
            Cost::OwnerCpu => "CPU of the owner, % of a core",
            Cost::Memory => "memory, MB",
            Cost::PeerBytes => "peer bytes/s",
            Cost::PlatformBytes => "platform bytes/s",
            Cost::ReportBytes => "report bytes/s of the owner",
            Cost::Reads => "platform reads/s, all",
            Cost::Writes => "platform writes/s, all",
        }
    }
}

/// Costs of one run, indexed in the order of [`Cost::ALL`].
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    costs: [f64; 8],
}

impl Sample {
    pub(crate) fn get(&self, cost: Cost) -> f64 {
        self.costs[cost as usize]
    }
}

/// Counters at one time. The vectors have an element for each daemon.
#[derive(Clone, Debug)]
struct Reading {
    time: Instant,
    cpu: Vec<Duration>,
    memory: u64,
    peer: Vec<u64>,
    platform: Vec<u64>,
    report: Vec<u64>,
    reads: u64,
    writes: u64,
}

async fn read(cluster: &Cluster) -> Reading {
    let usage: Vec<_> = cluster.daemons.iter().map(|daemon| daemon.usage()).collect();
    let counters = cluster.platform.service.counters();
    let mut reading = Reading {
        time: Instant::now(),
        cpu: usage.iter().map(|usage| usage.cpu).collect(),
        memory: usage.iter().map(|usage| usage.memory).max().unwrap_or(0),
        peer: Vec::new(),
        platform: Vec::new(),
        report: Vec::new(),
        reads: counters.reads,
        writes: counters.writes,
    };
    for daemon in &cluster.daemons {
        let text = text_of(daemon.health, "/metrics").await;
        let wire =
            |name: &str| metric(&text, &format!("fireflyworks_wire_bytes{{wire=\"{name}\"}}"));
        reading.peer.push(wire("peer"));
        reading.platform.push(wire("platform"));
        reading.report.push(wire("report"));
    }
    reading
}

/// Value of a metric in the text of `/metrics`; 0 if it is missing.
fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse::<f64>().ok()).unwrap_or(0.0) as u64
}

/// Costs between two readings.
fn difference(before: &Reading, after: &Reading, owner: usize) -> Sample {
    let seconds = after.time.duration_since(before.time).as_secs_f64();
    let cpu =
        |daemon: usize| (after.cpu[daemon] - before.cpu[daemon]).as_secs_f64() * 100.0 / seconds;
    let others: Vec<f64> =
        (0..after.cpu.len()).filter(|daemon| *daemon != owner).map(cpu).collect();
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let mean = |before: &[u64], after: &[u64]| {
        rate(before.iter().sum(), after.iter().sum()) / after.len() as f64
    };
    Sample {
        costs: [
            others.iter().sum::<f64>() / others.len().max(1) as f64,
            cpu(owner),
            after.memory as f64 / 1e6,
            mean(&before.peer, &after.peer),
            mean(&before.platform, &after.platform),
            rate(before.report[owner], after.report[owner]),
            rate(before.reads, after.reads),
            rate(before.writes, after.writes),
        ],
    }
}

/// Costs of a cluster without requests or changes.
pub(crate) async fn idle(plan: Plan, sample_time: Duration) -> Sample {
    let cluster = Cluster::start(plan).await;
    timer::sleep(WARM_UP_TIME).await;
    let owner = cluster.owner().await;
    let before = read(&cluster).await;
    timer::sleep(sample_time).await;
    difference(&before, &read(&cluster).await, owner)
}

/// Costs under a steady load of `rate` requests per second, spread over all daemons.
pub(crate) async fn loaded(plan: Plan, sample_time: Duration, rate: u64) -> Sample {
    let cluster = Cluster::start(plan).await;
    timer::sleep(WARM_UP_TIME).await;
    let owner = cluster.owner().await;
    let mut tasks = Vec::new();
    let count = rate * sample_time.as_secs();
    let before = read(&cluster).await;
    let began = Instant::now();
    for number in 0..count {
        let due = Duration::from_secs_f64(number as f64 / rate as f64);
        timer::sleep(due.saturating_sub(began.elapsed())).await;
        let number = number as usize;
        let call = cluster.completion(number % cluster.daemons.len(), number, MAX_TOKENS);
        tasks.push(executor::spawn(send_all(vec![call])));
    }
    let after = read(&cluster).await;
    for task in tasks {
        assert!(
            task.await.iter().all(|answer| answer.is_whole),
            "an answer under load was not complete"
        );
    }
    difference(&before, &after, owner)
}

/// Costs with one change of the configuration per second.
pub(crate) async fn changing(plan: Plan, sample_time: Duration) -> Sample {
    let cluster = Cluster::start(plan.clone()).await;
    timer::sleep(WARM_UP_TIME).await;
    let owner = cluster.owner().await;
    let before = read(&cluster).await;
    let began = Instant::now();
    for number in 1..=sample_time.as_secs() {
        let text = plan.declaration.replace("weight = 2", &format!("weight = {}", number + 2));
        let change = format!("change-{number}");
        let reply = operator::apply(&cluster.daemons[0], &text, number, &change).await;
        assert!(
            reply.accepted && reply.unconfirmed.is_empty(),
            "change {change} is not in force at all daemons"
        );
        timer::sleep(Duration::from_secs(number).saturating_sub(began.elapsed())).await;
    }
    difference(&before, &read(&cluster).await, owner)
}
