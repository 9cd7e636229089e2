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
const LOOK_PERIOD: Duration = Duration::from_millis(300);

/// Pause before the lease is tried again.
const LEASE_PAUSE: Duration = Duration::from_secs(1);

/// Time for the answer of an engine.
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// What became of an order.
enum Ordered {
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
        timer::sleep(LOOK_PERIOD).await;
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
                timer::sleep(LEASE_PAUSE).await;
                continue;
            };
            for change in &changes {
                let ordered = order(&router, &lease, change, fence).await;
                note(&owned, change, &ordered);
            }
        }
    }
}

fn note(owned: &OwnedShard, change: &Change, ordered: &Ordered) {
    let Change { server, to, split } = change;
    let pool = &owned.pool;
    match ordered {
        Ordered::Sent => info!(
            "event=role_ordered pool={pool} server={} role={to:?} prefills={} decodes={} \
             prefill_s={:.3} decode_s={:.3}",
            server.name, split.prefills, split.decodes, split.prefill_s, split.decode_s
        ),
        Ordered::NotSent(cause) => {
            let name = &server.name;
            warn!("event=role_not_ordered pool={pool} server={name} role={to:?} cause=\"{cause}\"");
        }
    }
    // An engine that could not be ordered is left alone for as long as one that was.
    owned.change(|shard| {
        shard.record_role_change(identity::now(), &server.name);
        if matches!(ordered, Ordered::NotSent(_)) {
            shard.record_role_kept(identity::now(), &server.name);
        }
    });
}

async fn order(router: &Router, lease: &Lease, change: &Change, fence: u64) -> Ordered {
    let Change { server, to, .. } = change;
    let asking = (router.dialect.write_probe)(&server.name);
    let report = match transport::ask(router, server, &asking, &[], CALL_LIMIT).await {
        Ok(whole) if whole.head.status == 200 => (router.dialect.parse_report)(&whole.body),
        Ok(whole) => return Ordered::NotSent(format!("report answered {}", whole.head.status)),
        Err(failure) => return Ordered::NotSent(failure.to_string()),
    };
    let report = match report {
        Ok(report) if report.is_busy => return Ordered::NotSent("another order is open".into()),
        Ok(report) => report,
        Err(malformed) => return Ordered::NotSent(malformed.to_string()),
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
        return Ordered::NotSent("the lease has ended".into());
    }
    match transport::ask(router, server, &head, &body, CALL_LIMIT).await {
        Ok(whole) if matches!(whole.head.status, 200 | 202) => Ordered::Sent,
        Ok(whole) => Ordered::NotSent(format!("answered {}", whole.head.status)),
        Err(transport::Failure::Unreached(cause)) => Ordered::NotSent(cause),
        // An order without an answer may be carried out later.
        Err(_) => Ordered::Sent,
    }
}
