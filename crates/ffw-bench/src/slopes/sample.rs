//! One sample: a cluster that is left alone, loaded, or changed for a while.

use {
    ffw_runtime::{executor, timer},
    ffw_support::cluster::{Cluster, Plan, operator, send_all, text_of},
    std::time::{Duration, Instant},
};

/// Time before a sample, for daemons to come to rest.
const REST: Duration = Duration::from_secs(3);

/// Output tokens at most of one request of the load.
const TOKENS: u32 = 64;

/// A cost of one daemon, by the second unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cost {
    /// Processor time of a daemon that owns no shard, in percent of a core.
    Cpu,
    /// Processor time of the shard's owner, in percent of a core.
    OwnerCpu,
    /// Resident memory, in megabytes; the most of any daemon.
    Memory,
    /// Bytes on connections to other daemons; the mean of all.
    PeerBytes,
    /// Bytes of the platform's object API; the mean of all.
    PlatformBytes,
    /// Bytes of engine reports; of the owner.
    ReportBytes,
    /// Reads of the platform, all daemons together.
    Reads,
    /// Writes of the platform, all daemons together.
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

/// Costs of one run, in the order of [`Cost::ALL`].
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    costs: [f64; 8],
}

impl Sample {
    pub(crate) fn get(&self, cost: Cost) -> f64 {
        self.costs[cost as usize]
    }
}

#[derive(Clone, Debug)]
struct Reading {
    at: Instant,
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
        at: Instant::now(),
        cpu: usage.iter().map(|one| one.cpu).collect(),
        memory: usage.iter().map(|one| one.memory).max().unwrap_or(0),
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

fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse::<f64>().ok()).unwrap_or(0.0) as u64
}

fn difference(before: &Reading, after: &Reading, owner: usize) -> Sample {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let cpu = |at: usize| (after.cpu[at] - before.cpu[at]).as_secs_f64() * 100.0 / seconds;
    let others: Vec<f64> = (0..after.cpu.len()).filter(|at| *at != owner).map(cpu).collect();
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

/// Costs of a cluster that nobody uses.
pub(crate) async fn idle(plan: Plan, span: Duration) -> Sample {
    let cluster = Cluster::start(plan).await;
    timer::sleep(REST).await;
    let owner = cluster.owner().await;
    let before = read(&cluster).await;
    timer::sleep(span).await;
    difference(&before, &read(&cluster).await, owner)
}

/// Costs under a steady load over all daemons.
pub(crate) async fn loaded(plan: Plan, span: Duration, rate: u64) -> Sample {
    let cluster = Cluster::start(plan).await;
    timer::sleep(REST).await;
    let owner = cluster.owner().await;
    let mut tasks = Vec::new();
    let count = rate * span.as_secs();
    let before = read(&cluster).await;
    let begin = Instant::now();
    for number in 0..count {
        let due = Duration::from_secs_f64(number as f64 / rate as f64);
        timer::sleep(due.saturating_sub(begin.elapsed())).await;
        let number = number as usize;
        let call = cluster.completion(number % cluster.daemons.len(), number, TOKENS);
        tasks.push(executor::spawn(send_all(vec![call])));
    }
    let after = read(&cluster).await;
    for task in tasks {
        assert!(task.await.iter().all(|answer| answer.is_whole), "an answer was not whole");
    }
    difference(&before, &after, owner)
}

/// Costs with one change of configuration each second.
pub(crate) async fn changing(plan: Plan, span: Duration) -> Sample {
    let cluster = Cluster::start(plan.clone()).await;
    timer::sleep(REST).await;
    let owner = cluster.owner().await;
    let before = read(&cluster).await;
    let begin = Instant::now();
    for number in 1..=span.as_secs() {
        let text = plan.declaration.replace("weight = 2", &format!("weight = {}", number + 2));
        let change = format!("change-{number}");
        let reply = operator::apply(&cluster.daemons[0], &text, number, &change).await;
        assert!(reply.accepted && reply.unconfirmed.is_empty(), "not in force everywhere");
        timer::sleep(Duration::from_secs(number).saturating_sub(begin.elapsed())).await;
    }
    difference(&before, &read(&cluster).await, owner)
}
