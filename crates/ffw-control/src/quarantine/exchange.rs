//! Exchange of evidence between daemons, and what follows from it.
//!
//! Every daemon sends the collector of a pool new evidence soon after a crash, and asks it
//! periodically. Each daemon keeps all evidence and decides by itself, so that neither a restart of
//! the collector nor an outage of the store loses a verdict.

use {
    super::Pool,
    crate::{daemon::Daemon, identity, owner},
    ffw_decide::{
        quarantine::{Change, Coverage, Quarantine},
        retry,
    },
    ffw_peer::service::PeerClient,
    ffw_protocol::{
        declaration::PoolKind,
        instance::Instance,
        quarantine::{Beginning, Beginnings, Evidence, Exchange, names},
        time::Moment,
    },
    ffw_runtime::timer,
    log::{debug, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Period at which the collector is asked while there is no evidence.
const IDLE_PERIOD: Duration = Duration::from_millis(1_000);

/// The same period while there is evidence.
const ACTIVE_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest and longest time for which a peer that does not answer is not asked. The time doubles
/// with each call that fails. The peer may be starting, or be of an earlier build.
const SILENT_PEER_PAUSE_MIN: Duration = Duration::from_millis(250);
const SILENT_PEER_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Failed calls in a row after which this daemon decides without the collector.
const FAILURES_MAX: u32 = 5;

/// Time after an answer of the collector for which the evidence of all daemons counts as known.
const ANSWER_LIFETIME: Duration = Duration::from_millis(2_000);

/// Time for which daemons tell each other of which crashed runs the answer had just begun.
const BEGINNINGS_TIME: Duration = Duration::from_secs(10);

/// What is known of the collector of a pool.
#[derive(Debug, Default)]
pub(super) struct Peering {
    /// The collector that has all evidence up to a digest.
    synced: Option<Synced>,
    /// Collector that knows the call, as it has answered it.
    answered: Option<Answered>,
    /// Collector that did not answer, and until when it is not asked.
    silent: Option<Silent>,
}

#[derive(Debug)]
struct Answered {
    collector: Arc<str>,
    at: Moment,
}

#[derive(Debug)]
struct Synced {
    collector: Arc<str>,
    digest: u64,
}

#[derive(Debug)]
struct Silent {
    collector: Arc<str>,
    until: Moment,
    failures: u32,
}

/// Merges the evidence of a peer; returns this daemon's if it differs.
pub fn exchanged(daemon: &Daemon, exchange: &Exchange) -> Option<Evidence> {
    let now = identity::now();
    let answer = daemon.quarantines.with(&exchange.pool, |pool| {
        if let Some(evidence) = &exchange.evidence {
            pool.quarantine.merge(now, evidence);
        }
        let differs = pool.quarantine.digest() != exchange.digest;
        differs.then(|| pool.quarantine.evidence(now))
    });
    if exchange.evidence.is_some() {
        daemon.quarantines.wake();
    }
    answer
}

/// Merges which of the crashed runs of a pool had just begun, as a peer knows it; returns those that
/// this daemon knows.
pub fn beginnings_exchanged(daemon: &Daemon, beginnings: &Beginnings) -> Vec<Beginning> {
    daemon.quarantines.with(&beginnings.pool, |pool| {
        pool.quarantine.merge_beginnings(&beginnings.runs);
        pool.quarantine.beginnings()
    })
}

/// Decides anew and exchanges evidence for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    loop {
        let pools = engine_pools(&daemon);
        let mut has_evidence = false;
        for pool in &pools {
            exchange(&daemon, pool).await;
            update(&daemon, pool);
            has_evidence |= daemon.quarantines.with(pool, |pool| pool.quarantine.has_crashes());
        }
        let period = if has_evidence { ACTIVE_PERIOD } else { IDLE_PERIOD };
        let _ = timer::timeout(period, daemon.quarantines.woken.recv()).await;
    }
}

/// Names of the pools of engines, in order.
pub(super) fn engine_pools(daemon: &Daemon) -> Vec<Arc<str>> {
    let Some(snapshot) = daemon.view.config() else { return Vec::new() };
    let pools = snapshot.deployment.pools.iter();
    let engines = pools.filter(|pool| pool.kind == PoolKind::Engines);
    engines.map(|pool| pool.name.clone()).collect()
}

/// Decides anew what is held, and logs what has changed.
fn update(daemon: &Daemon, pool: &Arc<str>) {
    let now = identity::now();
    let collector = find_collector(daemon, pool);
    let (changes, held) = daemon.quarantines.with(pool, |pool| {
        let coverage = pool.coverage(now, collector.as_ref());
        let changes = pool.quarantine.update(now, coverage);
        (changes, pool.quarantine.held(now).len())
    });
    let metrics = &daemon.metrics.routed;
    metrics.quarantined.with_label_values(&[&**pool]).set(held as i64);
    for change in changes {
        match change {
            Change::Held(held) => warn!(
                "event=part_held pool={pool} parts={} crashes={} prompts={} in_doubt={} servers={}",
                names(&held.parts),
                held.crashes,
                held.prompts,
                held.is_in_doubt,
                held.servers.join(",")
            ),
            Change::Released(parts) => {
                info!("event=part_released pool={pool} parts={}", names(&parts));
            }
            Change::OnTrial(parts) => {
                info!("event=part_on_trial pool={pool} parts={}", names(&parts));
            }
        }
    }
}

/// The daemon that collects the evidence of a pool; `None` if it is this one.
fn find_collector(daemon: &Daemon, pool: &str) -> Option<Instance> {
    let owner = owner::find_owner(daemon, pool, &owner::skipped_daemons(daemon));
    owner.filter(|owner| owner.name != daemon.identity.instance)
}

/// Whether the collector of a pool does not answer this daemon.
pub(super) fn is_cut_off(daemon: &Daemon, pool: &Arc<str>) -> bool {
    let Some(collector) = find_collector(daemon, pool) else { return false };
    daemon.quarantines.with(pool, |pool| {
        pool.peering.silent.as_ref().is_some_and(|silent| silent.collector == collector.name)
    })
}

/// Exchanges evidence with the collector of a pool, unless this daemon is it.
async fn exchange(daemon: &Arc<Daemon>, pool: &Arc<str>) {
    let Some(collector) = find_collector(daemon, pool) else { return };
    let now = identity::now();
    let message = daemon.quarantines.with(pool, |pool| pool.message(now, &collector.name));
    let Some(message) = message else { return };
    let digest = message.digest;
    let is_known = daemon.quarantines.with(pool, |pool| pool.has_answered(&collector));
    match call(daemon, collector.address, message, is_known).await {
        Ok(answer) => {
            record_answer(daemon, pool, &collector, digest, answer);
            exchange_beginnings(daemon, pool, &collector).await;
        }
        Err(error) => {
            debug!("event=evidence_not_exchanged peer={} error=\"{error}\"", collector.name);
            daemon.quarantines.with(pool, |pool| pool.record_failure(now, &collector));
        }
    }
}

/// Exchanges with the collector which of the latest crashed runs had just begun. A collector of an
/// earlier build does not know the call; then these runs count as being in their midst.
async fn exchange_beginnings(daemon: &Daemon, pool: &Arc<str>, collector: &Instance) {
    let now = identity::now();
    let runs = daemon.quarantines.with(pool, |pool| {
        let has_answered = pool.quarantine.has_answered_crash(now, BEGINNINGS_TIME);
        has_answered.then(|| pool.quarantine.beginnings())
    });
    let Some(runs) = runs else { return };
    let message = Beginnings { pool: pool.clone(), runs };
    let calling =
        async move |peer: PeerClient, context| peer.exchange_beginnings(context, message).await;
    let answering = &daemon.quarantines.answering;
    match answering.call(&daemon.peers, collector.address, EXCHANGE_TIMEOUT, calling).await {
        Ok(known) => {
            daemon.quarantines.with(pool, |pool| pool.quarantine.merge_beginnings(&known));
        }
        Err(error) => {
            debug!("event=beginnings_not_exchanged peer={} error=\"{error}\"", collector.name);
        }
    }
}

/// Calls a peer; unless it is known to answer, on a connection of its own, so that a peer of an
/// earlier build, which does not know the call and closes the connection, fails no other call.
async fn call(
    daemon: &Daemon,
    address: SocketAddr,
    message: Exchange,
    is_known: bool,
) -> ffw_protocol::error::Result<Option<Evidence>> {
    if is_known {
        let calling = daemon.peers.call(address, EXCHANGE_TIMEOUT, async move |peer, context| {
            peer.exchange_evidence(context, message).await
        });
        return calling.await;
    }
    let calling = daemon.peers.call_apart(address, EXCHANGE_TIMEOUT, async move |peer, context| {
        peer.exchange_evidence(context, message).await
    });
    calling.await
}

fn record_answer(
    daemon: &Daemon,
    pool: &Arc<str>,
    collector: &Instance,
    sent: u64,
    answer: Option<Evidence>,
) {
    let now = identity::now();
    daemon.quarantines.with(pool, |pool| {
        pool.peering.silent = None;
        pool.peering.answered = Some(Answered { collector: collector.name.clone(), at: now });
        let Some(evidence) = answer else {
            let collector = collector.name.clone();
            pool.peering.synced = Some(Synced { collector, digest: sent });
            return;
        };
        pool.quarantine.merge(now, &evidence);
        // The collector has what it sent, and nothing more.
        let mut of_collector = Quarantine::default();
        of_collector.merge(now, &evidence);
        let digest = of_collector.digest();
        let is_same = digest == pool.quarantine.digest();
        pool.peering.synced = is_same.then(|| Synced { collector: collector.name.clone(), digest });
        if !is_same {
            daemon.quarantines.wake();
        }
    });
}

impl Pool {
    fn has_answered(&self, collector: &Instance) -> bool {
        self.peering.answered.as_ref().is_some_and(|answered| answered.collector == collector.name)
    }

    /// Records that the collector did not answer.
    fn record_failure(&mut self, now: Moment, collector: &Instance) {
        let last = self.peering.silent.take().filter(|silent| silent.collector == collector.name);
        let failures = last.map_or(0, |silent| silent.failures) + 1;
        let pause = retry::delay(failures, SILENT_PEER_PAUSE_MIN, SILENT_PEER_PAUSE_MAX);
        let until = now + pause;
        self.peering.silent = Some(Silent { collector: collector.name.clone(), until, failures });
        self.peering.synced = None;
        self.peering.answered = None;
    }

    /// Whose evidence is known here. `collector` is `None` if it is this daemon.
    fn coverage(&self, now: Moment, collector: Option<&Instance>) -> Coverage {
        let Some(collector) = collector else { return Coverage::Fleet };
        let is_current = |answered: &Answered| {
            answered.collector == collector.name && now.since(answered.at) <= ANSWER_LIFETIME
        };
        let has_given_up =
            |silent: &Silent| silent.collector == collector.name && silent.failures >= FAILURES_MAX;
        let is_covered = self.peering.answered.as_ref().is_some_and(is_current)
            || self.peering.silent.as_ref().is_some_and(has_given_up);
        if is_covered { Coverage::Fleet } else { Coverage::Own }
    }

    /// The next message to the collector; `None` if it did not answer lately.
    fn message(&mut self, now: Moment, collector: &Arc<str>) -> Option<Exchange> {
        let is_silent = self
            .peering
            .silent
            .as_ref()
            .is_some_and(|silent| silent.collector == *collector && silent.until > now);
        if is_silent {
            return None;
        }
        let digest = self.quarantine.digest();
        let is_synced = self
            .peering
            .synced
            .as_ref()
            .is_some_and(|synced| synced.collector == *collector && synced.digest == digest);
        let has_news = !is_synced && !self.quarantine.is_empty();
        let evidence = has_news.then(|| self.quarantine.evidence(now));
        Some(Exchange { pool: self.name.clone(), digest, evidence })
    }
}
