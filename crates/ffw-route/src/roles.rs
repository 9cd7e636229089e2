//! Changes the roles of engines as the shards that this daemon owns decide.
//!
//! An order is given only while this daemon holds the lease, and carries the lease's fencing number
//! and the number of orders that the engine reported before, so that an engine can reject an order
//! of an earlier lease holder or one that is out of sequence.

use {
    crate::{
        dialect::Order,
        lease::{Lease, Storage},
        router::Router,
        transport,
    },
    ffw_control::{identity, owned::OwnedShard, owner},
    ffw_decide::shard::roles::RoleChange,
    ffw_runtime::timer,
    log::{info, warn},
    std::{sync::Arc, time::Duration},
};

/// Period at which shards are checked for role changes.
const POLL_PERIOD: Duration = Duration::from_millis(300);

/// Time after a failed attempt to acquire the lease before the next one.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time in which an engine must answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Outcome of an order.
enum Outcome {
    /// The engine carries out the order, or may do so later.
    Sent,
    /// The engine does not carry out the order; the text is the cause.
    NotSent(String),
}

/// Gives orders until the daemon begins to shut down.
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
                let outcome = send_order(&router, &lease, change, fence).await;
                record_outcome(&owned, change, &outcome);
            }
        }
    }
}

fn record_outcome(owned: &OwnedShard, change: &RoleChange, outcome: &Outcome) {
    let RoleChange { server, to, split } = change;
    let pool = &owned.pool;
    match outcome {
        Outcome::Sent => info!(
            "event=role_ordered pool={pool} server={} role={to:?} prefills={} decodes={} \
             prefill_s={:.3} decode_s={:.3}",
            server.name, split.prefills, split.decodes, split.prefill_s, split.decode_s
        ),
        Outcome::NotSent(cause) => {
            let name = &server.name;
            warn!("event=role_not_ordered pool={pool} server={name} role={to:?} cause=\"{cause}\"");
        }
    }
    // An order that could not be given delays the shard's next role change as much as one that was
    // sent. The engine keeps its role and stays in use.
    owned.change(|shard| {
        shard.record_role_change(identity::now(), &server.name);
        if matches!(outcome, Outcome::NotSent(_)) {
            shard.cancel_role_change(identity::now(), &server.name);
        }
    });
}

async fn send_order(router: &Router, lease: &Lease, change: &RoleChange, fence: u64) -> Outcome {
    let RoleChange { server, to, .. } = change;
    let probe = (router.dialect.write_probe)(&server.name);
    let report = match transport::control_call(router, server, &probe, &[], CALL_TIMEOUT).await {
        Ok(response) if response.head.status == 200 => {
            (router.dialect.parse_report)(&server.name, &response.body.bytes())
        }
        Ok(response) => {
            return Outcome::NotSent(format!("probe answered {}", response.head.status));
        }
        Err(failure) => return Outcome::NotSent(failure.to_string()),
    };
    let report = match report {
        Ok(report) if report.is_busy => return Outcome::NotSent("an order is under way".into()),
        Ok(report) => report,
        Err(malformed) => return Outcome::NotSent(malformed.to_string()),
    };
    let order = Order {
        server: &server.name,
        role: *to,
        holder: &router.daemon.identity.instance,
        fence,
        sequence: report.sequence,
    };
    let (head, body) = (router.dialect.write_order)(&order);
    // The lease is checked last, immediately before the order is sent.
    if lease.fence() != Some(fence) {
        return Outcome::NotSent("the lease has ended".into());
    }
    match transport::control_call(router, server, &head, &body, CALL_TIMEOUT).await {
        Ok(response) if matches!(response.head.status, 200 | 202) => Outcome::Sent,
        Ok(response) => Outcome::NotSent(format!("answered {}", response.head.status)),
        Err(transport::Failure::Unreached(cause)) => Outcome::NotSent(cause),
        // The engine may carry out an order that it has not answered.
        Err(_) => Outcome::Sent,
    }
}
