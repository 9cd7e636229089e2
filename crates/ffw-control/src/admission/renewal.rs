//! Reports the reservations of one pool to the owner of its shard in renewals: changes soon after
//! they happen, and all open reservations periodically.

use {
    super::{Open, PoolClient, RENEW_TIMEOUT},
    crate::{daemon::Daemon, owner, relay, suspect},
    ffw_decide::baseline::Policy,
    ffw_peer::service::RenewalReply,
    ffw_protocol::{
        admission::{Progress, Renewal, Update},
        error::Result,
    },
    ffw_runtime::timer,
    log::debug,
    smol::channel::Receiver,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Period of full renewals while the entry has open reservations, releases that the owner has not
/// accepted, or waiting requests in a pool. A full renewal lists all open reservations; any other
/// one lists only those whose attempts have changed.
const RENEW_PERIOD: Duration = Duration::from_millis(200);

/// Delay after a change before its renewal is sent, so that one renewal carries further changes.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// Sends the renewals of one pool, one call at a time so that changes arrive in order.
pub(super) async fn renew_pool(daemon: Arc<Daemon>, client: Arc<PoolClient>, woken: Receiver<()>) {
    let mut last_full = Instant::now();
    loop {
        let is_woken = if client.is_idle() {
            woken.recv().await.is_ok()
        } else {
            let pause = RENEW_PERIOD.saturating_sub(last_full.elapsed());
            timer::timeout(pause, woken.recv()).await.is_some()
        };
        if is_woken {
            timer::sleep(BATCH_DELAY).await;
        }
        let full = last_full.elapsed() >= RENEW_PERIOD;
        if full {
            last_full = Instant::now();
        }
        let Some(renewal) = build_renewal(&daemon, &client, full) else { continue };
        let releases = renewal.releases.len();
        if send_renewal(&daemon, &client, renewal).await {
            client.lock().releases.drain(..releases);
        }
    }
}

/// Takes the changes that are due and builds the next renewal. Returns `None` if there is nothing
/// to report, or if the policy has no owner, in which case the queued releases are dropped.
fn build_renewal(daemon: &Daemon, client: &PoolClient, full: bool) -> Option<Renewal> {
    let mut state = client.lock();
    let changed = std::mem::take(&mut state.changed);
    let has_notices = std::mem::take(&mut state.has_notices);
    let has_changes = !changed.is_empty() || !state.releases.is_empty() || has_notices;
    if state.is_idle() || !full && !has_changes || has_no_owner(daemon.policy) {
        state.releases.clear();
        return None;
    }
    let suspects = owner::skipped_daemons(daemon);
    let receiver = owner::find_owner(daemon, &client.pool, &suspects);
    let receiver = receiver.map_or(daemon.identity.instance.clone(), |owner| owner.name);
    let is_listed = |open: &&Open| full || changed.contains(open.attempt());
    let (known, unknown): (Vec<&Open>, Vec<&Open>) =
        state.open.iter().filter(is_listed).partition(|open| open.known_by == receiver);
    Some(Renewal {
        entry: daemon.identity.instance.clone(),
        incarnation: daemon.identity.incarnation,
        pool: client.pool.clone(),
        full,
        suspects,
        progress: unknown.into_iter().map(|open| open.progress.clone()).collect(),
        updates: known.into_iter().map(update).collect(),
        releases: state.releases.clone(),
        leaving: daemon.view.notices().leaving(),
    })
}

fn update(open: &Open) -> Update {
    let Progress { phase, emitted, .. } = open.progress;
    Update { attempt: open.attempt().key(), phase, emitted }
}

fn has_no_owner(policy: Policy) -> bool {
    matches!(policy, Policy::RoundRobin | Policy::LeastLoad)
}

/// Sends a renewal to the owner; returns whether the receiver accepted it as the owner.
async fn send_renewal(daemon: &Arc<Daemon>, client: &PoolClient, renewal: Renewal) -> bool {
    let owner = owner::find_owner(daemon, &client.pool, &renewal.suspects);
    let own = &daemon.identity.instance;
    let Some(owner) = owner.filter(|owner| owner.name != *own && daemon.policy == Policy::Owner)
    else {
        let reply = owner::renew(daemon, &renewal);
        client.record_moves(&reply.moves);
        if reply.is_owner {
            client.record_accepted(own, &renewal.progress, &reply.unknown);
        }
        return reply.is_owner;
    };
    let reported = renewal.progress.clone();
    let reply = renew_peer(daemon, owner.address, renewal).await;
    match reply {
        Ok(reply) => {
            if reply.is_owner {
                client.record_accepted(&owner.name, &reported, &reply.unknown);
            }
            if reply.config > daemon.view.config_number() {
                relay::pull_in_background(daemon, owner.address);
            }
            if reply.is_draining {
                suspect::suspect(daemon, &owner.name, owner.address);
            }
            client.record_moves(&reply.moves);
            daemon.view.accept_leaving(&reply.leaving);
            reply.is_owner
        }
        Err(err) => {
            debug!("event=renewal_failed pool={} peer={} error=\"{err}\"", client.pool, owner.name);
            suspect::suspect(daemon, &owner.name, owner.address);
            client.wake.try_send(()).ok();
            false
        }
    }
}

async fn renew_peer(
    daemon: &Daemon,
    address: SocketAddr,
    renewal: Renewal,
) -> Result<RenewalReply> {
    daemon
        .peers
        .call(address, RENEW_TIMEOUT, async move |peer, context| peer.renew(context, renewal).await)
        .await
}
