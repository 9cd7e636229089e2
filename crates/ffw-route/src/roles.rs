//! Changes the roles of engines as the shards that this daemon owns ask for, under a lease.

use {
    crate::{
        dialect::Order,
        lease::{Lease, Storage},
        router::Router,
        transport,
    },
    ffw_control::{identity, owned::OwnedShard, owner},
    ffw_decide::shard::roles::Change,
    ffw_runtime::timer,
    log::{info, warn},
    std::{sync::Arc, time::Duration},
};

/// Period at which shards are asked whether a server should change its role.
const POLL_PERIOD: Duration = Duration::from_millis(300);

/// Pause before the lease is tried again.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for the answer of an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// What became of an order.
enum OrderOutcome {
    /// The engine carries it out, or may do so later.
    Sent,
    /// It was not given.
    NotSent(String),
}

/// Gives orders for as long as the process lives.
pub async fn run(router: Arc<Router>, storage: Storage) {
    let identity = &router.daemon.identity;
    let mut lease = Lease::new(storage, identity.instance.clone(), identity.incarnation);
    loop {
        timer::sleep(POLL_PERIOD).await;
        if router.daemon.is_draining() {
            return;
        }
        for owned in router.daemon.owned_shards.shards() {
            if !owner::is_owner(&router.daemon, &owned.pool, &[]) {
                continue;
            }
            let changes = owned.role_changes();
            if changes.is_empty() {
                continue;
            }
            let Some(fence) = lease.acquire().await else {
                timer::sleep(LEASE_RETRY_DELAY).await;
                continue;
            };
            for change in &changes {
                let outcome = order(&router, &lease, change, fence).await;
                record_outcome(&owned, change, &outcome);
            }
        }
    }
}

fn record_outcome(owned: &OwnedShard, change: &Change, outcome: &OrderOutcome) {
    let Change { server, to, split } = change;
    let pool = &owned.pool;
    match outcome {
        OrderOutcome::Sent => info!(
            "event=role_ordered pool={pool} server={} role={to:?} prefills={} decodes={} \
             prefill_s={:.3} decode_s={:.3}",
            server.name, split.prefills, split.decodes, split.prefill_s, split.decode_s
        ),
        OrderOutcome::NotSent(cause) => {
            let name = &server.name;
            warn!("event=role_not_ordered pool={pool} server={name} role={to:?} cause=\"{cause}\"");
        }
    }
    // An engine that could not be ordered is left alone for as long as one that was.
    owned.change(|shard| {
        shard.record_role_change(identity::now(), &server.name);
        if matches!(outcome, OrderOutcome::NotSent(_)) {
            shard.record_role_kept(identity::now(), &server.name);
        }
    });
}

async fn order(router: &Router, lease: &Lease, change: &Change, fence: u64) -> OrderOutcome {
    let Change { server, to, .. } = change;
    let probe = (router.dialect.write_probe)(&server.name);
    let report = match transport::control_call(router, server, &probe, &[], CALL_TIMEOUT).await {
        Ok(response) if response.head.status == 200 => {
            (router.dialect.parse_report)(&response.body)
        }
        Ok(response) => {
            return OrderOutcome::NotSent(format!("report answered {}", response.head.status));
        }
        Err(failure) => return OrderOutcome::NotSent(failure.to_string()),
    };
    let report = match report {
        Ok(report) if report.is_busy => {
            return OrderOutcome::NotSent("another order is open".into());
        }
        Ok(report) => report,
        Err(malformed) => return OrderOutcome::NotSent(malformed.to_string()),
    };
    let order = Order {
        server: &server.name,
        role: *to,
        holder: &router.daemon.identity.instance,
        fence,
        sequence: report.sequence,
    };
    let (head, body) = (router.dialect.write_order)(&order);
    // The last look at the clock before the order goes out.
    if lease.fence() != Some(fence) {
        return OrderOutcome::NotSent("the lease has ended".into());
    }
    match transport::control_call(router, server, &head, &body, CALL_TIMEOUT).await {
        Ok(response) if matches!(response.head.status, 200 | 202) => OrderOutcome::Sent,
        Ok(response) => OrderOutcome::NotSent(format!("answered {}", response.head.status)),
        Err(transport::Failure::Unreached(cause)) => OrderOutcome::NotSent(cause),
        // An order without an answer may be carried out later.
        Err(_) => OrderOutcome::Sent,
    }
}
