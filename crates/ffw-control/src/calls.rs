//! Answers to the calls of other daemons.

use {
    crate::{burn, daemon::Daemon, freshness::Arrival, origin, owner, quarantine, quota, rate},
    ffw_peer::{
        handler::{Handlers, Reply},
        service::{Roster, Status, Updates, Versions},
    },
    ffw_protocol::config::Version,
    std::sync::{Arc, atomic::Ordering},
};

/// The handlers of all calls that peers make to this daemon.
pub fn handlers(daemon: &Arc<Daemon>) -> Handlers {
    let shared = || daemon.clone();
    let (for_admit, for_renew, for_disowned) = (shared(), shared(), shared());
    let (for_news, for_offer) = (shared(), shared());
    let (for_hold, for_records, for_grants) = (shared(), shared(), shared());
    let (for_burn, for_status) = (shared(), shared());
    let (for_evidence, for_holds, for_lift) = (shared(), shared(), shared());
    let (for_permits, for_confirmations, for_quota) = (shared(), shared(), shared());
    let (for_origins, for_origin) = (shared(), shared());
    let (for_software, for_beginnings) = (shared(), shared());
    Handlers {
        admit: Box::new(move |call| {
            let daemon = for_admit.clone();
            Box::pin(
                async move { owner::admit(&daemon, &call.pool, &call.suspects, call.ask).await },
            )
        }),
        renew: Box::new(move |renewal| ready(owner::renew(&for_renew, &renewal))),
        disowned: Box::new(move |attempts| ready(for_disowned.admission.disowned(attempts))),
        news: Box::new(move |peer_versions| ready(news(&for_news, peer_versions))),
        offer_config: Box::new(move |version| Box::pin(offer_config(for_offer.clone(), version))),
        hold_records: Box::new(move |held| {
            for_hold.ledger.add_copies(held);
            ready(true)
        }),
        records_of: Box::new(move |request| ready(for_records.ledger.records_of(&request))),
        grants_of: Box::new(move |epoch| ready(for_grants.ledger.grants_of(epoch))),
        burn: Box::new(move |()| ready(burn::rows(&for_burn))),
        status: Box::new(move |()| ready(status(&for_status))),
        exchange_evidence: Box::new(move |exchange| {
            ready(quarantine::exchanged(&for_evidence, &exchange))
        }),
        quarantined: Box::new(move |()| ready(for_holds.quarantines.holds())),
        lift_quarantine: Box::new(move |part| ready(quarantine::lift(&for_lift, part))),
        take_permits: Box::new(move |ask| ready(rate::account::grant(&for_permits, &ask))),
        confirmations: Box::new(move |()| ready(for_confirmations.beliefs.confirmations())),
        take_quota: Box::new(move |ask| ready(quota::grant(&for_quota, &ask))),
        record_origins: Box::new(move |records| ready(origin::accept(&for_origins, &records))),
        find_origin: Box::new(move |key| ready(origin::recall(&for_origin, key))),
        software_of: Box::new(move |servers| {
            let versions = servers.iter().map(|server| for_software.software.of(server));
            ready(versions.collect())
        }),
        exchange_beginnings: Box::new(move |beginnings| {
            ready(quarantine::beginnings_exchanged(&for_beginnings, &beginnings))
        }),
    }
}

fn ready<T: Send + 'static>(value: T) -> Reply<T> {
    Box::pin(std::future::ready(value))
}

/// Configuration and instance list, each if it is newer than the peer's.
fn news(daemon: &Daemon, peer_versions: Versions) -> Updates {
    let config =
        daemon.view.config().filter(|snapshot| snapshot.version.number > peer_versions.config);
    let roster = daemon.view.roster();
    Updates {
        known: daemon.view.versions(),
        config: config.map(|snapshot| snapshot.version.clone()),
        roster: roster.is_newer_than(&peer_versions).then(|| Roster::clone(&roster)),
        leaving: daemon.view.notices().leaving(),
    }
}

/// Puts a version in force if it is newer; returns the number of the one then in force.
async fn offer_config(daemon: Arc<Daemon>, version: Version) -> u64 {
    daemon.update_config_apart(version, Arrival::offered()).await;
    daemon.view.config_number()
}

/// State of this daemon, for operators and probes.
pub fn status(daemon: &Daemon) -> Status {
    let snapshot = daemon.view.config();
    Status {
        instance: daemon.identity.instance.clone(),
        incarnation: daemon.identity.incarnation,
        config: daemon.view.config_number(),
        config_hash: snapshot.map_or("".into(), |snapshot| snapshot.version.hash()),
        open: daemon.open.load(Ordering::SeqCst),
        shards: daemon.owned_shards.status(),
        unstored_records: daemon.ledger.unstored(),
        is_draining: daemon.is_draining(),
    }
}
