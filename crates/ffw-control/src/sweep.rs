//! Cancels abandoned work. Once a second, the owner of a shard looks for attempts that an engine
//! holds but that have no reservation, and for reservations that no renewal has reported lately. It
//! asks the entry of each such attempt whether the entry still has a reservation for it, and
//! cancels the attempt when two sweeps in a row find it disowned. This frees what a crashed entry
//! left behind: a restarted entry disowns the attempts of its former process.

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
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Time without a renewal of a reservation after which its entry is asked; renewals come far more
/// often.
const UNRENEWED_LIMIT: Duration = Duration::from_secs(1);

/// Timeout of the call that asks an entry which attempts it disowns.
const DISOWNED_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt that one sweep found abandoned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// The engine that holds the attempt; none for a reservation of the shard.
    server: Option<Arc<str>>,
    attempt: Attempt,
}

/// Runs the sweeps for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    let mut previous: Vec<Candidate> = Vec::new();
    loop {
        timer::sleep(SWEEP_PERIOD).await;
        let mut found = Vec::new();
        for owned in daemon.owned_shards.shards() {
            // A daemon that keeps a shard without being its owner cancels nothing.
            if !owner::is_owner(&daemon, &owned.pool, &[]) {
                continue;
            }
            found.extend(sweep_shard(&daemon, &owned, &previous).await);
        }
        found.sort();
        previous = found;
    }
}

/// Finds the abandoned attempts of one shard, and cancels those that the previous sweep found too.
async fn sweep_shard(
    daemon: &Arc<Daemon>,
    owned: &Arc<OwnedShard>,
    previous: &[Candidate],
) -> Vec<Candidate> {
    let roster = daemon.view.roster();
    // Only a server with unaccounted load is asked for the list of attempts that it holds.
    let with_unaccounted_load = owned.with_unaccounted_load();
    let engines =
        roster.instances.iter().filter(|server| with_unaccounted_load.contains(&server.name));
    let mut found = Vec::new();
    for attempt in disowned_by_entries(daemon, owned.unrenewed(UNRENEWED_LIMIT)).await {
        let candidate = Candidate { server: None, attempt };
        if previous.binary_search(&candidate).is_ok() {
            info!("event=sweep_abandon attempt={}", engine::attempt_name(&candidate.attempt));
            owned.change(|shard| shard.cancel_attempt(&candidate.attempt));
        }
        found.push(candidate);
    }
    for server in engines {
        for attempt in abandoned(daemon, owned, server).await {
            let candidate = Candidate { server: Some(server.name.clone()), attempt };
            if previous.binary_search(&candidate).is_ok() {
                cancel(daemon, server, &candidate.attempt).await;
            }
            found.push(candidate);
        }
    }
    found
}

/// Cancels an attempt at one engine, for at most three seconds; the next sweep tries again.
async fn cancel(daemon: &Daemon, server: &Instance, attempt: &Attempt) {
    let name = engine::attempt_name(attempt);
    info!("event=sweep_cancel attempt={name} server={}", server.name);
    let target = Server { name: server.name.clone(), address: server.address };
    let cancelling = owner::cancel_at(daemon, attempt, &target);
    let _ = timer::timeout(Duration::from_secs(3), cancelling).await;
}

/// Attempts that hold memory of an engine, have no reservation in the shard, and are disowned by
/// their entries.
async fn abandoned(
    daemon: &Arc<Daemon>,
    owned: &Arc<OwnedShard>,
    server: &Instance,
) -> Vec<Attempt> {
    let Ok(held) = engine::held(server.address).await else { return Vec::new() };
    let attempts = held.iter().filter_map(|held| engine::parse_attempt(&held.request_id));
    let unreserved: Vec<Attempt> =
        attempts.filter(|attempt| !owned.has_reservation(attempt)).collect();
    disowned_by_entries(daemon, unreserved).await
}

/// Those of the attempts for which their entries have no reservation, or whose entries have left
/// the instance list.
async fn disowned_by_entries(daemon: &Arc<Daemon>, attempts: Vec<Attempt>) -> Vec<Attempt> {
    let mut entries: Vec<Arc<str>> =
        attempts.iter().map(|attempt| attempt.request.instance.clone()).collect();
    entries.sort();
    entries.dedup();
    let mut found = Vec::new();
    for entry in entries {
        let of_entry: Vec<Attempt> =
            attempts.iter().filter(|attempt| attempt.request.instance == entry).cloned().collect();
        found.extend(disowned(daemon, &entry, of_entry).await);
    }
    found
}

async fn disowned(daemon: &Arc<Daemon>, entry: &str, attempts: Vec<Attempt>) -> Vec<Attempt> {
    if *entry == *daemon.identity.instance {
        return daemon.admission.disowned(attempts);
    }
    let roster = daemon.view.roster();
    let listed = roster.instances.iter().find(|instance| &*instance.name == entry);
    let Some(listed) = listed else { return attempts };
    let asked = daemon.peers.call(listed.address, DISOWNED_TIMEOUT, async move |peer, context| {
        peer.disowned(context, attempts).await
    });
    // An entry that can't be reached may still stream to its callers, so nothing is cancelled.
    asked.await.unwrap_or_default()
}
