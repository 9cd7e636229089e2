//! Ends engine work that nobody owns: the owner of a shard compares what the engines hold with its
//! own places, and asks the entry of each attempt that is unknown or silent whether it is still the
//! entry's. An entry that was restarted disowns what its old process had.

use {
    crate::{daemon::Daemon, owned::OwnedShard, owner},
    ffw_backend::engine,
    ffw_protocol::{
        admission::{Attempt, Server},
        instance::Instance,
    },
    ffw_runtime::timer,
    log::info,
    std::{sync::Arc, time::Duration},
};

/// Period of the sweep. An attempt is cancelled when two sweeps in a row find it abandoned.
const PERIOD: Duration = Duration::from_secs(1);

/// Time without a renewal after which a place's entry is asked; renewals come far more often.
const SILENCE: Duration = Duration::from_secs(1);

/// Time for an entry to say what it does not own.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt that seems abandoned: held by an engine, or a place of the shard if none is named.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Suspicion {
    server: Option<Arc<str>>,
    attempt: Attempt,
}

/// Sweeps for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    let mut before: Vec<Suspicion> = Vec::new();
    loop {
        timer::sleep(PERIOD).await;
        let mut found = Vec::new();
        for owned in daemon.owned_shards.shards() {
            // Whoever is not the owner cancels nothing.
            if !owner::is_owner(&daemon, &owned.pool, &[]) {
                continue;
            }
            found.extend(sweep_shard(&daemon, &owned, &before).await);
        }
        found.sort();
        before = found;
    }
}

async fn sweep_shard(
    daemon: &Arc<Daemon>,
    owned: &Arc<OwnedShard>,
    before: &[Suspicion],
) -> Vec<Suspicion> {
    let roster = daemon.view.roster();
    // Only a server whose load report shows more than the shard knows is asked for its list.
    let with_unaccounted_load = owned.with_unaccounted_load();
    let engines = roster.instances.iter().filter(|one| with_unaccounted_load.contains(&one.name));
    let mut found = Vec::new();
    for attempt in disowned_by_entries(daemon, owned.unrenewed(SILENCE)).await {
        let suspicion = Suspicion { server: None, attempt };
        if before.binary_search(&suspicion).is_ok() {
            info!("event=sweep_abandon attempt={}", engine::attempt_name(&suspicion.attempt));
            owned.change(|shard| shard.abandon(&suspicion.attempt));
        }
        found.push(suspicion);
    }
    for server in engines {
        for attempt in abandoned(daemon, owned, server).await {
            let suspicion = Suspicion { server: Some(server.name.clone()), attempt };
            if before.binary_search(&suspicion).is_ok() {
                end(daemon, server, &suspicion.attempt).await;
            }
            found.push(suspicion);
        }
    }
    found
}

async fn end(daemon: &Daemon, server: &Instance, attempt: &Attempt) {
    let name = engine::attempt_name(attempt);
    info!("event=sweep_cancel attempt={name} server={}", server.name);
    let target = Server { name: server.name.clone(), address: server.address };
    let cancelling = owner::cancel_at(daemon, attempt, &target);
    let _ = timer::timeout(Duration::from_secs(3), cancelling).await;
}

/// Attempts that hold memory of an engine, are unknown to the shard, and belong to nobody.
async fn abandoned(
    daemon: &Arc<Daemon>,
    owned: &Arc<OwnedShard>,
    server: &Instance,
) -> Vec<Attempt> {
    let Ok(held) = engine::held(server.address).await else { return Vec::new() };
    let attempts = held.iter().filter_map(|one| engine::parse_attempt(&one.request_id));
    let unknown: Vec<Attempt> =
        attempts.filter(|attempt| !owned.has_reservation(attempt)).collect();
    disowned_by_entries(daemon, unknown).await
}

/// Those of the attempts that their entries do not own, or whose entries have left the list.
async fn disowned_by_entries(daemon: &Arc<Daemon>, attempts: Vec<Attempt>) -> Vec<Attempt> {
    let mut entries: Vec<Arc<str>> =
        attempts.iter().map(|attempt| attempt.request.instance.clone()).collect();
    entries.sort();
    entries.dedup();
    let mut found = Vec::new();
    for entry in entries {
        let own: Vec<Attempt> =
            attempts.iter().filter(|one| one.request.instance == entry).cloned().collect();
        found.extend(disowned(daemon, &entry, own).await);
    }
    found
}

async fn disowned(daemon: &Arc<Daemon>, entry: &str, attempts: Vec<Attempt>) -> Vec<Attempt> {
    if *entry == *daemon.identity.instance {
        return daemon.admission.disowned(attempts);
    }
    let roster = daemon.view.roster();
    let listed = roster.instances.iter().find(|one| &*one.name == entry);
    let Some(listed) = listed else { return attempts };
    let asked = daemon.peers.call(listed.address, ASK_TIMEOUT, async move |peer, context| {
        peer.disowned(context, attempts).await
    });
    // An entry that can't be reached may still stream: it keeps what it has.
    asked.await.unwrap_or_default()
}
