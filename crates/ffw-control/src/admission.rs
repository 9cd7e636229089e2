//! The entry's side of admission. For each pool it sends admission requests to the shard's owner
//! and keeps the list of open reservations, which `renewal` reports to the owner. An owner that
//! does not answer or is shutting down is suspected, and the next daemon in rendezvous order is
//! asked.
//!
//! The baseline policies without an owner choose servers in `baseline` and send no renewals.

mod baseline;
mod renewal;

use {
    crate::{daemon::Daemon, identity, owner, suspect},
    ffw_decide::baseline::Policy,
    ffw_protocol::{
        admission::{
            Ask, Attempt, AttemptKey, Cause, Failed, Grant, Phase, Progress, Refusal, Release,
            Verdict,
        },
        error::{Error, Kind, Result},
        instance::Instance,
    },
    ffw_runtime::{executor, timer},
    log::debug,
    smol::channel::{self, Sender},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Timeout of a renewal. An owner that does not answer in time is suspected. It is also the time
/// beyond the patience of an admission request in which the owner's decision must arrive.
const RENEW_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before an admission request is sent again, after an owner failed or refused to decide.
const ASK_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Period at which the entry checks that the daemon that it has asked is still the owner.
const OWNER_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Reservations and waiting admission requests of this entry, by pool.
#[derive(Debug, Default)]
pub struct AdmissionClient {
    /// In order of pool.
    pools: Mutex<Vec<Arc<PoolClient>>>,
}

/// Admission state of one pool. `wake` starts its next renewal early.
#[derive(Debug)]
struct PoolClient {
    pool: Arc<str>,
    state: Mutex<State>,
    wake: Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of admission requests that wait for a decision.
    waiting: usize,
    /// Open reservations with the progress of their attempts.
    open: Vec<Open>,
    /// Attempts whose progress goes into the next renewal, full or not.
    changed: Vec<Attempt>,
    /// Attempts that the owner has asked to move to another decode server.
    moves: Vec<Attempt>,
    /// Releases that the owner has not accepted yet.
    releases: Vec<Release>,
    /// Whether a server has said that it is leaving since the last renewal.
    has_notices: bool,
}

/// An open reservation.
#[derive(Debug)]
struct Open {
    progress: Progress,
    /// Daemon that has granted or acknowledged it, and is told only what changes; empty if none
    /// has.
    known_by: Arc<str>,
}

impl Open {
    fn attempt(&self) -> &Attempt {
        &self.progress.ask.attempt
    }
}

impl State {
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.releases.is_empty() && self.waiting == 0
    }
}

impl PoolClient {
    fn is_idle(&self) -> bool {
        self.lock().is_idle()
    }

    /// Replaces the list of attempts that are to move. Attempts of the former list have moved, or
    /// could not be moved.
    fn record_moves(&self, attempts: &[Attempt]) {
        self.lock().moves = attempts.to_vec();
    }

    /// Records that an owner has accepted a renewal, in which it does not know some attempts.
    fn record_accepted(&self, owner: &Arc<str>, reported: &[Progress], unknown: &[AttemptKey]) {
        let mut state = self.lock();
        for open in &mut state.open {
            if reported.iter().any(|progress| progress.ask.attempt == *open.attempt()) {
                open.known_by = owner.clone();
            }
            if unknown.contains(&open.attempt().key()) {
                open.known_by = "".into();
            }
        }
        drop(state);
        if !unknown.is_empty() {
            self.wake.try_send(()).ok();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionClient {
    fn pool_client(&self, daemon: &Arc<Daemon>, pool: &Arc<str>) -> Arc<PoolClient> {
        let mut pools = self.lock();
        let index = match pools.binary_search_by(|client| client.pool.cmp(pool)) {
            Ok(index) => return pools[index].clone(),
            Err(index) => index,
        };
        let (wake, woken) = channel::bounded(1);
        let client = Arc::new(PoolClient { pool: pool.clone(), state: Mutex::default(), wake });
        pools.insert(index, client.clone());
        executor::detach(renewal::renew_pool(daemon.clone(), client.clone(), woken));
        client
    }

    /// Tells the owners at once of servers that are leaving.
    pub fn report_notices(&self) {
        for client in self.lock().iter() {
            client.lock().has_notices = true;
            client.wake.try_send(()).ok();
        }
    }

    /// Those of the attempts for which this entry has no open reservation.
    pub fn disowned(&self, attempts: Vec<Attempt>) -> Vec<Attempt> {
        let pools = self.lock().clone();
        let is_held = |attempt: &Attempt| {
            let has_open = |client: &Arc<PoolClient>| {
                client.lock().open.iter().any(|open| open.attempt() == attempt)
            };
            pools.iter().any(has_open)
        };
        attempts.into_iter().filter(|attempt| !is_held(attempt)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<PoolClient>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reservation of this entry. Dropping it without [`Reservation::release`] releases it as
/// unconfirmed, so that the owner cancels the attempt at the engines, which may still hold work of
/// it.
#[derive(Debug)]
pub struct Reservation {
    /// The grant.
    pub grant: Grant,
    attempt: Attempt,
    client: Arc<PoolClient>,
    is_released: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_released {
            self.queue_release(0, false, None);
        }
    }
}

impl Reservation {
    /// Records the phase of the attempt for the next renewal. The transfer phase is reported to the
    /// owner at once.
    pub fn record_phase(&self, phase: Phase) {
        let mut state = self.client.lock();
        if let Some(open) = state.open.iter_mut().find(|open| *open.attempt() == self.attempt) {
            open.progress.phase = phase;
        }
        if phase == Phase::Transfer {
            state.changed.push(self.attempt.clone());
            drop(state);
            self.client.wake.try_send(()).ok();
        }
    }

    /// Records the number of tokens emitted so far, for the next full renewal.
    pub fn record_emitted(&self, emitted: u32) {
        let mut state = self.client.lock();
        if let Some(open) = state.open.iter_mut().find(|open| *open.attempt() == self.attempt) {
            open.progress.emitted = emitted;
        }
    }

    /// Whether the owner has asked to move the attempt to another decode server.
    pub fn must_move(&self) -> bool {
        self.client.lock().moves.contains(&self.attempt)
    }

    /// Releases the reservation. `confirmed` means that neither engine holds anything of the
    /// attempt, and `failed` names the server that failed it.
    pub fn release(mut self, emitted: u32, confirmed: bool, failed: Option<Failed>) {
        self.is_released = true;
        self.queue_release(emitted, confirmed, failed);
    }

    fn queue_release(&self, emitted: u32, confirmed: bool, failed: Option<Failed>) {
        let attempt = self.attempt.clone();
        let mut state = self.client.lock();
        state.open.retain(|open| *open.attempt() != attempt);
        state.releases.push(Release { attempt, emitted, confirmed, failed });
        drop(state);
        self.client.wake.try_send(()).ok();
    }
}

/// Counts a waiting admission request until the guard is dropped. While one waits, renewals are
/// sent, so that an owner that stops answering is suspected.
struct WaitingGuard(Arc<PoolClient>);

impl WaitingGuard {
    fn new(client: &Arc<PoolClient>) -> WaitingGuard {
        client.lock().waiting += 1;
        client.wake.try_send(()).ok();
        WaitingGuard(client.clone())
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Outcome of an admission request.
#[derive(Debug)]
pub enum Decision {
    /// The request was granted.
    Reservation(Reservation),
    /// The request was refused, for another cause than that the daemon asked is not the owner or is
    /// shutting down.
    Refusal(Refusal),
}

/// Sends an admission request until an owner decides. Each try carries the remaining target and
/// patience, and the time that the request has waited so far.
///
/// # Errors
/// [`Kind::Overloaded`] if no owner decided before the request's patience ended.
pub async fn reserve(daemon: &Arc<Daemon>, pool: &Arc<str>, ask: Ask) -> Result<Decision> {
    let client = daemon.admission.pool_client(daemon, pool);
    let _waiting_guard = WaitingGuard::new(&client);
    let began = Instant::now();
    let avoid = ask.avoid.clone();
    loop {
        let mut ask = ask.clone();
        ask.waited += began.elapsed();
        ask.target = ask.target.saturating_sub(began.elapsed());
        ask.patience = ask.patience.saturating_sub(began.elapsed());
        ask.avoid = servers_to_avoid(daemon, &avoid);
        if ask.patience.is_zero() {
            let message = format!("no owner of pool {pool} decided before the deadline");
            return Err(Error::new(Kind::Overloaded, message));
        }
        match request_once(daemon, &client, ask.clone()).await {
            Some(Verdict::Grant(grant)) => return Ok(open_reservation(client.clone(), ask, grant)),
            Some(Verdict::Refusal(refusal)) if is_final(&refusal) => {
                return Ok(Decision::Refusal(refusal));
            }
            _ => timer::sleep(ASK_RETRY_PAUSE).await,
        }
    }
}

/// Servers that want no requests from this daemon now, and those that the request excludes, in
/// order.
fn servers_to_avoid(daemon: &Daemon, excluded: &[Arc<str>]) -> Vec<Arc<str>> {
    let mut servers = daemon.view.notices().pushing_back(identity::now());
    servers.extend_from_slice(excluded);
    servers.extend(daemon.rates.exhausted());
    servers.sort();
    servers.dedup();
    servers
}

fn is_final(refusal: &Refusal) -> bool {
    !matches!(refusal.cause, Cause::NotOwner | Cause::Draining)
}

fn open_reservation(client: Arc<PoolClient>, ask: Ask, grant: Grant) -> Decision {
    let attempt = ask.attempt.clone();
    let progress = Progress {
        ask,
        prefill: grant.prefill.name.clone(),
        decode: grant.decode.name.clone(),
        phase: Phase::Prefill,
        emitted: 0,
    };
    client.lock().open.push(Open { progress, known_by: grant.owner.clone() });
    Decision::Reservation(Reservation { grant, attempt, client, is_released: false })
}

async fn request_once(daemon: &Arc<Daemon>, client: &Arc<PoolClient>, ask: Ask) -> Option<Verdict> {
    match daemon.policy {
        Policy::RoundRobin | Policy::LeastLoad => {
            return Some(baseline::choose_pair(daemon, &client.pool, &ask));
        }
        Policy::FixedSplit => return Some(owner::admit(daemon, &client.pool, &[], ask).await),
        Policy::Owner => {}
    }
    let skipped = owner::skipped_daemons(daemon);
    let owner = owner::find_owner(daemon, &client.pool, &skipped);
    let Some(owner) = owner.filter(|owner| owner.name != daemon.identity.instance) else {
        return Some(owner::admit(daemon, &client.pool, &skipped, ask).await);
    };
    let asking = request_from_peer(daemon, client, &owner, skipped, ask);
    smol::future::or(asking, until_owner_changes(daemon, &client.pool, &owner.name)).await
}

async fn request_from_peer(
    daemon: &Arc<Daemon>,
    client: &Arc<PoolClient>,
    owner: &Instance,
    suspects: Vec<Arc<str>>,
    ask: Ask,
) -> Option<Verdict> {
    let limit = ask.patience + RENEW_TIMEOUT;
    let pool = client.pool.clone();
    let result = daemon
        .peers
        .call(owner.address, limit, async move |peer, context| {
            peer.admit(context, pool, suspects, ask).await
        })
        .await;
    match result {
        Ok(Verdict::Refusal(refusal)) if refusal.cause == Cause::Draining => {
            suspect::suspect(daemon, &owner.name, owner.address);
            None
        }
        Ok(verdict) => Some(verdict),
        Err(err) => {
            debug!("event=ask_failed pool={} peer={} error=\"{err}\"", client.pool, owner.name);
            suspect::suspect(daemon, &owner.name, owner.address);
            None
        }
    }
}

/// Returns none as soon as the owner of the pool is another daemon than `name`.
async fn until_owner_changes(daemon: &Daemon, pool: &str, name: &Arc<str>) -> Option<Verdict> {
    loop {
        timer::sleep(OWNER_CHECK_PERIOD).await;
        let owner = owner::find_owner(daemon, pool, &owner::skipped_daemons(daemon));
        if owner.is_none_or(|owner| owner.name != *name) {
            return None;
        }
    }
}
