//! Reads the reports of engines: load, cache events, and whether they are leaving. A daemon reads
//! the engines of the pools that it owns, and with a baseline policy those of all pools.

use {
    crate::{daemon::Daemon, identity, owned::OwnedShard},
    ffw_backend::engine,
    ffw_decide::baseline::Policy,
    ffw_protocol::instance::{Instance, Role},
    ffw_runtime::{executor, timer},
    std::{sync::Arc, time::Duration},
};

/// Period at which the owner of a shard reads reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Period for the baseline policies, which are all others. It is shorter because
/// [`Policy::LeastLoad`] chooses servers by these reports alone.
const BASELINE_PERIOD: Duration = Duration::from_millis(250);

/// Reads reports for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    let mut cursors: Vec<Cursor> = Vec::new();
    loop {
        let has_owner_policy = daemon.policy == Policy::Owner;
        timer::sleep(if has_owner_policy { REPORT_PERIOD } else { BASELINE_PERIOD }).await;
        let roster = daemon.view.roster();
        let engines = roster
            .instances
            .iter()
            .filter(|instance| matches!(instance.role, Role::Prefill | Role::Decode));
        let shards = daemon.owned_shards.shards();
        let mut reads = Vec::new();
        for engine in engines {
            let owned = shards.iter().find(|shard| shard.pool == engine.pool);
            if owned.is_none() && daemon.policy == Policy::Owner {
                continue;
            }
            let after = cursor(&mut cursors, &engine.name);
            let read = read(daemon.clone(), owned.cloned(), engine.clone(), after);
            reads.push(executor::spawn(read));
        }
        for read in reads {
            let Cursor { server, after } = read.await;
            set_cursor(&mut cursors, server, after);
        }
    }
}

/// Position in the cache events of one server.
#[derive(Clone, Debug)]
struct Cursor {
    server: Arc<str>,
    /// Number of the last event that was read; 0 before the first.
    after: u64,
}

fn cursor(cursors: &mut [Cursor], server: &Arc<str>) -> u64 {
    let found = cursors.binary_search_by(|cursor| cursor.server.cmp(server));
    found.map_or(0, |index| cursors[index].after)
}

fn set_cursor(cursors: &mut Vec<Cursor>, server: Arc<str>, after: u64) {
    match cursors.binary_search_by(|cursor| cursor.server.cmp(&server)) {
        Ok(index) => cursors[index].after = after,
        Err(index) => cursors.insert(index, Cursor { server, after }),
    }
}

/// Reads the load of one engine, and the cache events of a prefill server after number `after`.
/// Returns the new position; an engine that does not answer leaves it as it was.
async fn read(
    daemon: Arc<Daemon>,
    owned: Option<Arc<OwnedShard>>,
    server: Instance,
    after: u64,
) -> Cursor {
    if let Ok(load) = engine::load(server.address).await {
        daemon.owned_shards.record_self_reported_leaving(&server.name, load.leaving);
        let sum = u64::from(load.running) + u64::from(load.queued_tokens);
        daemon.owned_shards.record_reported_load(&server.name, sum);
        if let Some(owned) = &owned {
            owned.change(|shard| shard.record_load(identity::now(), &server.name, load.running));
        }
    }
    let mut cursor = Cursor { server: server.name.clone(), after };
    let Some(owned) = owned.filter(|_| server.role == Role::Prefill) else { return cursor };
    let Ok(events) = engine::cache_events(server.address, after).await else { return cursor };
    cursor.after = events.last().map_or(after, |event| event.number);
    owned.change(|shard| {
        for event in &events {
            shard.record_cache_event(&server.name, event.prefix, event.stored);
        }
    });
    cursor
}
