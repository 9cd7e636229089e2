//! Probes engines that have failed, independent of any request.
//!
//! An engine whose backoff requires a probe is not used until it answers one. The daemon that owns
//! a shard probes the engines of that shard and records the outcome there.

use {
    crate::{
        router::Router,
        transport::{self, Failure},
    },
    ffw_control::{identity, owned::OwnedShard},
    ffw_decide::shard::server::Probe,
    ffw_protocol::admission::Server,
    ffw_runtime::{executor, timer},
    log::info,
    std::{sync::Arc, time::Duration},
};

/// Period at which shards are checked for engines whose probe is due.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Time in which an engine must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes the engines of the shards that this daemon owns as soon as their probe is due; never
/// returns.
pub async fn run_probes(router: Arc<Router>) {
    loop {
        timer::sleep(POLL_PERIOD).await;
        for owned in router.daemon.owned_shards.shards() {
            let mut probes = Vec::new();
            for server in owned.probes_due() {
                let (router, owned) = (router.clone(), owned.clone());
                probes.push(executor::spawn(async move { probe(&router, &owned, &server).await }));
            }
            for probe in probes {
                probe.await;
            }
        }
    }
}

async fn probe(router: &Router, owned: &OwnedShard, server: &Server) {
    let request = (router.dialect.write_probe)(&server.name);
    let result = transport::control_call(router, server, &request, &[], PROBE_TIMEOUT).await;
    let (outcome, detail) = match &result {
        Ok(response) if response.head.status == 200 => {
            match (router.dialect.parse_report)(&server.name, &response.body.bytes()) {
                Ok(report) if report.is_busy => (Probe::Busy, "an order is under way".to_owned()),
                Ok(_) => (Probe::Sound, "200".to_owned()),
                Err(malformed) => (Probe::Failed, malformed.to_string()),
            }
        }
        Ok(response) => (Probe::Failed, response.head.status.to_string()),
        Err(failure @ Failure::Withheld(_)) => (Probe::Busy, failure.to_string()),
        Err(failure) => (Probe::Failed, failure.to_string()),
    };
    info!("event=engine_probed server={} probe={outcome:?} outcome=\"{detail}\"", server.name);
    owned.change(|shard| shard.record_probe(identity::now(), &server.name, outcome));
}
