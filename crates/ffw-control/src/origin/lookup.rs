//! Looks up where a stream began: in this daemon's memory, then at the daemons that may have the
//! record, all at once.

use {
    super::lock,
    crate::{daemon::Daemon, identity},
    ffw_decide::origin::placement,
    ffw_peer::service::PeerClient,
    ffw_protocol::{instance::Instance, origin::Key, software::Version},
    ffw_runtime::{executor, timer},
    log::{debug, info},
    smol::channel::{self, Receiver},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Answer of one daemon; no version if it does not know or did not answer.
struct Answer {
    peer: Arc<str>,
    is_answered: bool,
    version: Option<Version>,
}

/// What the daemons that were asked have said.
#[derive(Default)]
struct Tally {
    asked: usize,
    answered: usize,
    found: Option<Found>,
    is_conflicting: bool,
}

struct Found {
    version: Version,
    by: Arc<str>,
}

/// The version at which the stream of an attempt began; `None` if it is not known.
pub(super) async fn find(
    daemon: &Arc<Daemon>,
    pool: &Arc<str>,
    request: &str,
    limit: Duration,
) -> Option<Version> {
    let key = Key::new(pool, request);
    let metrics = &daemon.metrics.routed;
    if let Some(known) = recall(daemon, key) {
        metrics.record_origin_lookup(if known.is_some() { "own" } else { "conflict" });
        return known;
    }
    let started_at = Instant::now();
    let Tally { asked, answered, found, is_conflicting } = ask(daemon, key, limit).await;
    if let Some(Found { version, by }) = found.filter(|_| !is_conflicting) {
        metrics.record_origin_lookup("peer");
        info!("event=origin_found request={request} pool={pool} version={version} by={by}");
        return Some(version);
    }
    metrics.record_origin_lookup(if is_conflicting { "conflict" } else { "none" });
    info!(
        "event=origin_unknown request={request} pool={pool} conflicting={is_conflicting} \
         asked={asked} answered={answered} ms={}",
        started_at.elapsed().as_millis()
    );
    None
}

/// What this daemon remembers of a stream: nothing, its version, or that there are two.
fn recall(daemon: &Daemon, key: Key) -> Option<Option<Version>> {
    let now = identity::now();
    let memory = lock(&daemon.origins.memory);
    let version = memory.find(now, key);
    (version.is_some() || memory.is_conflicting(now, key)).then_some(version)
}

/// Asks the daemons that may have the record, until one has it, or none is left, or `limit` has
/// passed.
async fn ask(daemon: &Arc<Daemon>, key: Key, limit: Duration) -> Tally {
    let ranked = super::ranked(daemon, key);
    let own = &daemon.identity.instance;
    let readers = placement::readers(&ranked, own, &super::passed_over(daemon));
    let mut tally = Tally { asked: readers.len(), ..Tally::default() };
    let (sender, answers) = channel::unbounded();
    for reader in readers {
        let (daemon, sender) = (daemon.clone(), sender.clone());
        // A call goes on after the lookup has ended, so that its connection counts the answer.
        executor::detach(async move {
            sender.send(call(&daemon, &reader, key, limit).await).await.ok();
        });
    }
    drop(sender);
    timer::timeout(limit, tally.collect(&answers)).await;
    tally
}

impl Tally {
    /// Counts answers until one has a version, and those that have come by then.
    async fn collect(&mut self, answers: &Receiver<Answer>) {
        while self.found.is_none()
            && let Ok(answer) = answers.recv().await
        {
            self.record(answer);
        }
        while let Ok(answer) = answers.try_recv() {
            self.record(answer);
        }
    }

    fn record(&mut self, Answer { peer, is_answered, version }: Answer) {
        self.answered += usize::from(is_answered);
        let Some(version) = version else { return };
        match &self.found {
            Some(found) => self.is_conflicting |= found.version != version,
            None => self.found = Some(Found { version, by: peer }),
        }
    }
}

async fn call(daemon: &Arc<Daemon>, peer: &Instance, key: Key, limit: Duration) -> Answer {
    let origins = &daemon.origins;
    let calling = async move |client: PeerClient, context| client.find_origin(context, key).await;
    let called = origins.answering.call(&daemon.peers, peer.address, limit, calling).await;
    let is_answered = called.is_ok();
    if let Err(error) = &called {
        debug!("event=origin_not_asked peer={} error=\"{error}\"", peer.name);
    }
    Answer { peer: peer.name.clone(), is_answered, version: called.ok().flatten() }
}
