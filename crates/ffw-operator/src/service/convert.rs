//! Conversions from the daemon's types to the generated messages of the operators' RPC.

use {
    crate::generated::{BurnRow, Daemon as DaemonState, Record as RecordMessage, Shard, Version},
    ffw_control::daemon::Daemon,
    ffw_decide::burn::Counts,
    ffw_peer::service::{Burn, Status as PeerStatus},
    ffw_protocol::{
        config,
        error::{Error, Kind},
        instance::Instance,
        ledger::{Event, Record},
    },
    tonic::{Code, Status, metadata::MetadataValue},
};

/// The gRPC status for an error. Its metadata contain the code of the error (`fireflyworks-code`)
/// and whether the request ran (`fireflyworks-run`).
pub fn status_of(error: &Error) -> Status {
    let code = match error.kind {
        Kind::Unauthenticated => Code::Unauthenticated,
        Kind::Forbidden => Code::PermissionDenied,
        Kind::NotFound | Kind::UnknownService | Kind::UnknownModel => Code::NotFound,
        Kind::Malformed | Kind::Invalid | Kind::TooLarge => Code::InvalidArgument,
        Kind::Conflict => Code::Aborted,
        Kind::StoreUnavailable | Kind::PeerUnavailable | Kind::NotReady => Code::Unavailable,
        _ => Code::Internal,
    };
    let row = error.kind.row();
    let mut status = Status::new(code, format!("{} ({})", error.message, row.help));
    let metadata = status.metadata_mut();
    metadata.insert("fireflyworks-code", MetadataValue::from_static(row.code));
    metadata.insert("fireflyworks-run", MetadataValue::from_static(error.run.word()));
    status
}

/// Converts a version of the configuration.
pub fn to_version(version: &config::Version) -> Version {
    Version {
        number: version.number,
        change: version.change.to_string(),
        author: version.author.to_string(),
        reason: version.reason.to_string(),
        at_ms: version.at_ms,
        previous: version.previous.to_string(),
        hash: version.hash().to_string(),
        declaration: version.declaration.to_string(),
        drained: version.drained.iter().map(|name| name.to_string()).collect(),
    }
}

/// Converts the state of a daemon. Without a status, the daemon counts as unreachable and all its
/// other values are 0 or empty.
pub fn to_daemon(instance: &Instance, status: Option<PeerStatus>) -> DaemonState {
    let reachable = status.is_some();
    let status = status.unwrap_or_default();
    let to_shard = |shard: &ffw_peer::service::ShardStatus| Shard {
        pool: shard.pool.to_string(),
        waiting: shard.waiting,
        held: shard.held,
    };
    DaemonState {
        instance: instance.name.to_string(),
        reachable,
        config: status.config,
        config_hash: status.config_hash.to_string(),
        open: status.open,
        shards: status.shards.iter().map(to_shard).collect(),
        unstored_records: status.unstored_records,
        draining: status.is_draining,
    }
}

/// Sums the counts of all daemons by service, workspace and window, and computes the burn rates.
pub fn to_burn(daemon: &Daemon, mut counts: Vec<Burn>) -> Vec<BurnRow> {
    counts.sort_by(|a, b| group_key(a).cmp(&group_key(b)));
    let groups = counts.chunk_by(|a, b| group_key(a) == group_key(b));
    groups.map(|group| to_row(daemon, group)).collect()
}

fn group_key(burn: &Burn) -> (&str, &str, u64) {
    (&burn.service, &burn.workspace, burn.window_s)
}

fn to_row(daemon: &Daemon, group: &[Burn]) -> BurnRow {
    let sum = |field: fn(&Burn) -> u64| group.iter().map(field).sum();
    let counts = Counts {
        total: sum(|burn| burn.total),
        missed: sum(|burn| burn.missed),
        first_token: sum(|burn| burn.first_token),
        between_tokens: sum(|burn| burn.between_tokens),
        unavailable: sum(|burn| burn.unavailable),
    };
    let snapshot = daemon.view.config();
    let service =
        snapshot.as_ref().and_then(|snapshot| snapshot.deployment.service(&group[0].service));
    let objective = service.map_or(0.0, |service| service.objective);
    BurnRow {
        service: group[0].service.to_string(),
        workspace: group[0].workspace.to_string(),
        window_s: group[0].window_s,
        total: counts.total,
        missed: counts.missed,
        first_token: counts.first_token,
        between_tokens: counts.between_tokens,
        unavailable: counts.unavailable,
        objective,
        burn_rate: counts.burn_rate(objective),
        budget_left: counts.budget_left(objective),
    }
}

/// Converts a ledger record; its event is described as text with `key=value` pairs.
pub fn to_record(record: &Record) -> RecordMessage {
    RecordMessage {
        instance: String::new(),
        number: record.number,
        at_ms: record.at_ms,
        request: record.request.to_string(),
        attempt: record.attempt,
        workspace: record.workspace.to_string(),
        service: record.service.to_string(),
        event: describe(&record.event),
        hash: record.hash.to_string(),
    }
}

fn describe(event: &Event) -> String {
    match event {
        Event::Arrived { tokens_in, tokens_out } => {
            format!("arrived tokens_in={tokens_in} tokens_out_max={tokens_out}")
        }
        Event::Granted(grant) => {
            let basis = &grant.basis;
            format!(
                "granted owner={} epoch={} number={} reason={:?} prefill={} decode={} pieces={} \
                 waiting={} rank={} served={} served_least={} waited_ms={} patience_ms={} \
                 predicted_ms={} cached={} slots_free={}",
                grant.owner,
                grant.epoch,
                grant.number,
                grant.reason,
                grant.prefill.name,
                grant.decode.name,
                grant.pieces,
                basis.waiting,
                basis.rank,
                basis.served,
                basis.served_least,
                basis.waited_ms,
                basis.patience_ms,
                basis.predicted_ms,
                basis.cached,
                basis.slots_free
            )
        }
        Event::Refused(refusal) => {
            let basis = &refusal.basis;
            format!(
                "refused cause={:?} retry_after_ms={} waiting={} rank={} served={} waited_ms={} \
                 patience_ms={} predicted_ms={}",
                refusal.cause,
                refusal.retry_after.as_millis(),
                basis.waiting,
                basis.rank,
                basis.served,
                basis.waited_ms,
                basis.patience_ms,
                basis.predicted_ms
            )
        }
        Event::Answered { delivered, first_ms, total_ms } => {
            format!("answered delivered={delivered} first_ms={first_ms} total_ms={total_ms}")
        }
        Event::Failed { kind, run } => {
            format!("failed code={} run=\"{}\"", kind.row().code, run.word())
        }
        Event::Wasted { tokens } => format!("wasted prefill_tokens={tokens}"),
    }
}
