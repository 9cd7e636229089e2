//! Reads what engines report: load, cache events, and whether they mean to leave.

use {
    crate::{daemon::Daemon, host::Hosted, identity},
    ffw_backend::engine,
    ffw_decide::baseline::Policy,
    ffw_protocol::instance::{Instance, Role},
    ffw_runtime::{executor, timer},
    std::{sync::Arc, time::Duration},
};

/// Period of the reports.
const PERIOD: Duration = Duration::from_secs(1);

/// Period for the baselines, which decide by the reports alone.
const BASELINE_PERIOD: Duration = Duration::from_millis(250);

/// Reads reports for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    let mut cursors: Vec<Cursor> = Vec::new();
    loop {
        let is_owned = daemon.policy == Policy::Owner;
        timer::sleep(if is_owned { PERIOD } else { BASELINE_PERIOD }).await;
        let roster = daemon.register.roster();
        let engines =
            roster.instances.iter().filter(|one| matches!(one.role, Role::Prefill | Role::Decode));
        let shards = daemon.host.shards();
        let mut reads = Vec::new();
        for engine in engines {
            let hosted = shards.iter().find(|one| one.pool == engine.pool);
            if hosted.is_none() && daemon.policy == Policy::Owner {
                continue;
            }
            let after = cursor(&mut cursors, &engine.name);
            let read = read(daemon.clone(), hosted.cloned(), engine.clone(), after);
            reads.push(executor::spawn(read));
        }
        for read in reads {
            let Cursor { server, after } = read.await;
            set_cursor(&mut cursors, server, after);
        }
    }
}

#[derive(Clone, Debug)]
struct Cursor {
    server: Arc<str>,
    after: u64,
}

fn cursor(cursors: &mut [Cursor], server: &Arc<str>) -> u64 {
    let found = cursors.binary_search_by(|one| one.server.cmp(server));
    found.map_or(0, |at| cursors[at].after)
}

fn set_cursor(cursors: &mut Vec<Cursor>, server: Arc<str>, after: u64) {
    match cursors.binary_search_by(|one| one.server.cmp(&server)) {
        Ok(at) => cursors[at].after = after,
        Err(at) => cursors.insert(at, Cursor { server, after }),
    }
}

async fn read(
    daemon: Arc<Daemon>,
    hosted: Option<Arc<Hosted>>,
    server: Instance,
    after: u64,
) -> Cursor {
    if let Ok(load) = engine::load(server.address).await {
        daemon.host.record_self_reported_leaving(&server.name, load.leaving);
        let sum = u64::from(load.running) + u64::from(load.queued_tokens);
        daemon.host.record_reported(&server.name, sum);
        if let Some(hosted) = &hosted {
            hosted.change(|shard| shard.record_load(identity::now(), &server.name, load.running));
        }
    }
    let mut cursor = Cursor { server: server.name.clone(), after };
    let Some(hosted) = hosted.filter(|_| server.role == Role::Prefill) else { return cursor };
    let Ok(events) = engine::cache_events(server.address, after).await else { return cursor };
    cursor.after = events.last().map_or(after, |event| event.number);
    hosted.change(|shard| {
        for event in &events {
            shard.record_cached(&server.name, event.prefix, event.stored);
        }
    });
    cursor
}
