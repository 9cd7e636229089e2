//! Orders to engines: the daemon that holds a lease makes each engine of a pool serve the declared
//! model.
//!
//! Before an order is sent, it is written to the platform as an [`Intent`] with the lease's fencing
//! number. A holder that has lost its lease therefore finds a higher number there, or its write
//! conflicts, even if engines ignore the number. Each round reads back what the engines serve and
//! orders again where it differs, so that a late order of a former holder does not last.

use {
    crate::{daemon::Daemon, identity},
    ffw_backend::engine::{self, Loaded, Order},
    ffw_decide::lease::{self, Lease, Stored, Tracker, Write},
    ffw_platform::{
        fault::{Fault, Result},
        store::{Kind, Metadata, Object},
    },
    ffw_protocol::{
        declaration::{Model, Pool, PoolKind},
        instance::{Instance, Role},
    },
    ffw_runtime::timer,
    log::{info, warn},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Name of the lease, whose object is named `DEPLOYMENT-orders`. It is also the key of the
/// rendezvous order that decides which daemons try to get the lease.
const LEASE: &str = "orders";

/// Number of daemons that try to get the lease. It is small because each of them reads the lease
/// from the platform once a second.
const CANDIDATES: usize = 3;

/// Model that an engine is to serve, stored before the order is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Fencing number of the holder.
    pub fence: u64,
    /// Model.
    pub model: Arc<str>,
    /// Version of the model.
    pub version: Arc<str>,
    /// Whether the engine was seen to serve the model after the order.
    pub is_confirmed: bool,
}

/// Tries to get and renew the lease, and sends orders while it is held. Ends when the daemon shuts
/// down.
pub async fn run(daemon: Arc<Daemon>) {
    let identity = &daemon.identity;
    let mut tracker = Tracker::new(identity.instance.clone(), identity.incarnation);
    loop {
        timer::sleep(lease::RENEW_PERIOD).await;
        if daemon.is_draining() {
            return;
        }
        let is_holder = tracker.fence(identity::now()).is_some();
        if !daemon.is_ready() || !has_engines(&daemon) || !is_holder && !is_candidate(&daemon) {
            continue;
        }
        renew(&daemon, &mut tracker).await;
        if tracker.fence(identity::now()).is_some() {
            reconcile(&daemon, &tracker).await;
        }
    }
}

/// Whether this daemon is one of the [`CANDIDATES`] that try to get the lease.
fn is_candidate(daemon: &Daemon) -> bool {
    let suspects = daemon.suspects.names();
    let ranked = daemon.view.ranked(LEASE);
    let trusted = ranked.iter().filter(|listed| !suspects.contains(&listed.name));
    trusted.take(CANDIDATES).any(|candidate| candidate.name == daemon.identity.instance)
}

fn has_engines(daemon: &Daemon) -> bool {
    let snapshot = daemon.view.config();
    snapshot.is_some_and(|snapshot| {
        snapshot.deployment.pools.iter().any(|pool| pool.kind == PoolKind::Engines)
    })
}

/// Tries to get the lease, or to renew it if it is held.
async fn renew(daemon: &Daemon, tracker: &mut Tracker) {
    let began = identity::now();
    let name = format!("{}-{LEASE}", daemon.deployment);
    if tracker.fence(began).is_none() {
        let read: Result<Object<Lease>> = daemon.store.get(Kind::Leases, &name).await;
        match read {
            Ok(object) => tracker.record_read(began, Some(to_seen(object))),
            Err(Fault::NotFound) => tracker.record_read(began, None),
            Err(_) => return,
        }
    }
    let written = match tracker.next_write(began) {
        None => return,
        Some(Write::Create(lease)) => daemon.store.create(Kind::Leases, &name, lease).await,
        Some(Write::Replace(resource_version, lease)) => {
            let metadata = Metadata { name: name.into(), resource_version };
            daemon.store.update(Kind::Leases, &Object { metadata, spec: lease }).await
        }
    };
    match written {
        Ok(object) => {
            let is_new = tracker.fence(began).is_none();
            tracker.record_written(began, to_seen(object));
            if is_new {
                info!("event=lease_acquired name={LEASE} fence={:?}", tracker.fence(began));
            }
        }
        Err(fault) => {
            // The write may have taken effect or not, so the next round reads the object again.
            tracker.mark_not_held();
            warn!("event=lease_not_renewed name={LEASE} error=\"{fault}\"");
        }
    }
}

fn to_seen(object: Object<Lease>) -> Stored {
    Stored { lease: object.spec, resource_version: object.metadata.resource_version }
}

/// Makes each live engine serve the model of its pool; stops when the lease is lost.
async fn reconcile(daemon: &Daemon, tracker: &Tracker) {
    let Some(snapshot) = daemon.view.config() else { return };
    let roster = daemon.view.roster();
    for engine in roster.instances.iter() {
        if !matches!(engine.role, Role::Prefill | Role::Decode) || !engine.is_live() {
            continue;
        }
        let pool = snapshot.deployment.pool(&engine.pool);
        let model = pool.and_then(|pool| pool.model.as_ref());
        let model = model.and_then(|name| snapshot.deployment.model(name));
        let (Some(pool), Some(model)) = (pool, model) else { continue };
        if let Err(err) = reconcile_engine(daemon, tracker, engine, pool, model).await {
            warn!("event=order_failed server={} error=\"{err}\"", engine.name);
        }
        if tracker.fence(identity::now()).is_none() {
            return;
        }
    }
}

/// Orders one engine to serve a model unless it already does, and marks the stored intent as
/// confirmed after the order.
async fn reconcile_engine(
    daemon: &Daemon,
    tracker: &Tracker,
    engine: &Instance,
    pool: &Pool,
    model: &Model,
) -> std::result::Result<(), String> {
    let Ok(loaded) = engine::loaded(engine.address).await else {
        return Err("the engine does not answer".into());
    };
    if is_wanted(&loaded, model) {
        return Ok(());
    }
    let Some(fence) = tracker.fence(identity::now()) else { return Ok(()) };
    let (name, version) = (model.name.clone(), model.version.clone());
    let intent =
        Intent { fence, model: name.clone(), version: version.clone(), is_confirmed: false };
    let object = write_intent(daemon, &engine.name, intent).await?;
    // The write may have taken long: the lease is checked once more before the order is sent.
    if tracker.fence(identity::now()).is_none() {
        return Ok(());
    }
    let ordered = engine::order(engine.address, &Order { fence, model: name, version }).await;
    ordered.map_err(|fault| fault.to_string())?;
    let loaded = engine::loaded(engine.address).await.map_err(|fault| fault.to_string())?;
    if !is_wanted(&loaded, model) {
        return Err("the engine serves another model or version after the order".into());
    }
    info!(
        "event=order_confirmed server={} pool={} model={} version={} fence={fence}",
        engine.name, pool.name, model.name, model.version
    );
    let spec = Intent { is_confirmed: true, ..object.spec };
    let confirmed = Object { metadata: object.metadata, spec };
    daemon.store.update(Kind::Orders, &confirmed).await.map(drop).map_err(|err| err.to_string())
}

fn is_wanted(loaded: &Loaded, model: &Model) -> bool {
    loaded.model == model.name && loaded.version == model.version
}

/// Writes an intent unless a later holder of the lease, with a higher fencing number, has written
/// one.
async fn write_intent(
    daemon: &Daemon,
    server: &str,
    intent: Intent,
) -> std::result::Result<Object<Intent>, String> {
    let found: Result<Object<Intent>> = daemon.store.get(Kind::Orders, server).await;
    let written = match found {
        Ok(object) if object.spec.fence > intent.fence => {
            return Err(format!("a later lease holder wrote fencing number {}", object.spec.fence));
        }
        Ok(object) => {
            let object = Object { metadata: object.metadata, spec: intent };
            daemon.store.update(Kind::Orders, &object).await
        }
        Err(Fault::NotFound) => daemon.store.create(Kind::Orders, server, intent).await,
        Err(fault) => Err(fault),
    };
    written.map_err(|fault| fault.to_string())
}
