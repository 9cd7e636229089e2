//! The entry's side of admission: it asks the owner of a shard for places, renews what it holds,
//! and gives back what has ended.

use {
    crate::{daemon::Daemon, owner, suspect},
    ffw_decide::baseline::{self, Choice, Policy},
    ffw_peer::service::RenewalReply,
    ffw_protocol::{
        admission::{
            Ask, Attempt, Basis, Cause, Failed, Grant, Phase, Progress, Reason, Refusal, Release,
            Renewal, Verdict,
        },
        error::{Error, Kind, Result},
        instance::{Instance, Role},
    },
    ffw_runtime::{executor, timer},
    log::debug,
    smol::channel::{self, Receiver, Sender},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Period of full renewals while anything is open.
const RENEW_PERIOD: Duration = Duration::from_millis(200);

/// Time for the answer to a renewal; an owner that misses it is suspected.
const RENEW_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause that lets further changes join a renewal.
const GATHER_PAUSE: Duration = Duration::from_millis(3);

/// Pause before the next owner is asked.
const ASK_PAUSE: Duration = Duration::from_millis(30);

/// Period at which a waiting ask looks whether its owner is still the owner.
const OWNER_CHECK: Duration = Duration::from_millis(50);

/// Places and waiting asks of this entry, by pool.
#[derive(Debug, Default)]
pub struct Client {
    lanes: Mutex<Vec<Arc<Lane>>>,
}

/// What the entry has open in one pool.
#[derive(Debug)]
struct Lane {
    pool: Arc<str>,
    state: Mutex<State>,
    wake: Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    waiting: usize,
    open: Vec<Progress>,
    changed: Vec<Attempt>,
    moves: Vec<Attempt>,
    releases: Vec<Release>,
}

impl State {
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.releases.is_empty() && self.waiting == 0
    }
}

impl Lane {
    fn is_idle(&self) -> bool {
        self.lock().is_idle()
    }

    /// Notes which attempts are to move; those of before have moved, or could not.
    fn record_moves(&self, attempts: &[Attempt]) {
        self.lock().moves = attempts.to_vec();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Client {
    fn lane(&self, daemon: &Arc<Daemon>, pool: &Arc<str>) -> Arc<Lane> {
        let mut lanes = self.lock();
        let at = match lanes.binary_search_by(|one| one.pool.cmp(pool)) {
            Ok(at) => return lanes[at].clone(),
            Err(at) => at,
        };
        let (wake, woken) = channel::bounded(1);
        let lane = Arc::new(Lane { pool: pool.clone(), state: Mutex::default(), wake });
        lanes.insert(at, lane.clone());
        executor::detach(renew_lane(daemon.clone(), lane.clone(), woken));
        lane
    }

    /// Which of the attempts this entry does not hold.
    pub fn disowned(&self, attempts: Vec<Attempt>) -> Vec<Attempt> {
        let lanes = self.lock().clone();
        let is_held = |attempt: &Attempt| {
            let holds = |lane: &Arc<Lane>| {
                lane.lock().open.iter().any(|progress| progress.ask.attempt == *attempt)
            };
            lanes.iter().any(holds)
        };
        attempts.into_iter().filter(|attempt| !is_held(attempt)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Lane>>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place that this entry holds until it is released. Dropping it gives it back unconfirmed, so
/// that the owner cancels what the engines may hold.
#[derive(Debug)]
pub struct Reservation {
    /// The grant.
    pub grant: Grant,
    attempt: Attempt,
    lane: Arc<Lane>,
    is_released: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_released {
            self.give_back(0, false, None);
        }
    }
}

impl Reservation {
    /// Tells the owner that the attempt has come to another step.
    pub fn record_phase(&self, phase: Phase) {
        let mut state = self.lane.lock();
        if let Some(progress) = state.open.iter_mut().find(|one| one.ask.attempt == self.attempt) {
            progress.phase = phase;
        }
        if phase == Phase::Transfer {
            state.changed.push(self.attempt.clone());
            drop(state);
            self.lane.wake.try_send(()).ok();
        }
    }

    /// Notes how many tokens were emitted, for the next renewal.
    pub fn record_emitted(&self, emitted: u32) {
        let mut state = self.lane.lock();
        if let Some(progress) = state.open.iter_mut().find(|one| one.ask.attempt == self.attempt) {
            progress.emitted = emitted;
        }
    }

    /// Whether the owner wants the run to move to another decode server.
    pub fn must_move(&self) -> bool {
        self.lane.lock().moves.contains(&self.attempt)
    }

    /// Gives the place back; `confirmed` says that both engines hold nothing of the attempt, and
    /// `failed` names the server that failed it.
    pub fn release(mut self, emitted: u32, confirmed: bool, failed: Option<Failed>) {
        self.is_released = true;
        self.give_back(emitted, confirmed, failed);
    }

    fn give_back(&self, emitted: u32, confirmed: bool, failed: Option<Failed>) {
        let attempt = self.attempt.clone();
        let mut state = self.lane.lock();
        state.open.retain(|one| one.ask.attempt != attempt);
        state.releases.push(Release { attempt, emitted, confirmed, failed });
        drop(state);
        self.lane.wake.try_send(()).ok();
    }
}

/// Counts a waiting ask while it lives, so that its owner is watched.
struct Watched(Arc<Lane>);

impl Watched {
    fn new(lane: &Arc<Lane>) -> Watched {
        lane.lock().waiting += 1;
        lane.wake.try_send(()).ok();
        Watched(lane.clone())
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// What admission decided.
#[derive(Debug)]
pub enum Decision {
    /// A place is held.
    Reservation(Reservation),
    /// No place will be there in time.
    Refusal(Refusal),
}

/// Asks for a place until an owner decides.
///
/// # Errors
/// [`Kind::Overloaded`] if no owner could be reached before the deadline.
pub async fn reserve(daemon: &Arc<Daemon>, pool: &Arc<str>, ask: Ask) -> Result<Decision> {
    let lane = daemon.admission.lane(daemon, pool);
    let _watched = Watched::new(&lane);
    let began = Instant::now();
    loop {
        let mut ask = ask.clone();
        ask.waited += began.elapsed();
        ask.target = ask.target.saturating_sub(began.elapsed());
        ask.patience = ask.patience.saturating_sub(began.elapsed());
        if ask.patience.is_zero() {
            let message = format!("no owner of pool {pool} decided before the deadline");
            return Err(Error::new(Kind::Overloaded, message));
        }
        match ask_once(daemon, &lane, ask.clone()).await {
            Some(Verdict::Grant(grant)) => return Ok(hold(lane.clone(), ask, grant)),
            Some(Verdict::Refusal(refusal)) if is_final(&refusal) => {
                return Ok(Decision::Refusal(refusal));
            }
            _ => timer::sleep(ASK_PAUSE).await,
        }
    }
}

fn is_final(refusal: &Refusal) -> bool {
    !matches!(refusal.cause, Cause::NotOwner | Cause::Draining)
}

fn hold(lane: Arc<Lane>, ask: Ask, grant: Grant) -> Decision {
    let attempt = ask.attempt.clone();
    lane.lock().open.push(Progress {
        ask,
        prefill: grant.prefill.name.clone(),
        decode: grant.decode.name.clone(),
        phase: Phase::Prefill,
        emitted: 0,
    });
    Decision::Reservation(Reservation { grant, attempt, lane, is_released: false })
}

async fn ask_once(daemon: &Arc<Daemon>, lane: &Arc<Lane>, ask: Ask) -> Option<Verdict> {
    match daemon.policy {
        Policy::RoundRobin | Policy::LeastLoad => return Some(baseline_grant(daemon, lane, &ask)),
        Policy::FixedSplit => return Some(owner::admit(daemon, &lane.pool, &[], ask).await),
        Policy::Owner => {}
    }
    let passed = owner::passed_over(daemon);
    let target = owner::target(daemon, &lane.pool, &passed);
    let Some(target) = target.filter(|one| one.name != daemon.identity.instance) else {
        return Some(owner::admit(daemon, &lane.pool, &passed, ask).await);
    };
    let asking = ask_peer(daemon, lane, &target, passed, ask);
    smol::future::or(asking, owner_changed(daemon, &lane.pool, &target.name)).await
}

async fn ask_peer(
    daemon: &Arc<Daemon>,
    lane: &Arc<Lane>,
    target: &Instance,
    suspects: Vec<Arc<str>>,
    ask: Ask,
) -> Option<Verdict> {
    let limit = ask.patience + RENEW_TIMEOUT;
    let pool = lane.pool.clone();
    let result = daemon
        .peers
        .call(target.address, limit, async move |peer, context| {
            peer.admit(context, pool, suspects, ask).await
        })
        .await;
    match result {
        Ok(Verdict::Refusal(refusal)) if refusal.cause == Cause::Draining => {
            suspect::suspect(daemon, &target.name, target.address);
            None
        }
        Ok(verdict) => Some(verdict),
        Err(err) => {
            debug!("event=ask_failed pool={} peer={} error=\"{err}\"", lane.pool, target.name);
            suspect::suspect(daemon, &target.name, target.address);
            None
        }
    }
}

/// Ends when the owner of the pool is another daemon than `name`.
async fn owner_changed(daemon: &Daemon, pool: &str, name: &Arc<str>) -> Option<Verdict> {
    loop {
        timer::sleep(OWNER_CHECK).await;
        let owner = owner::target(daemon, pool, &owner::passed_over(daemon));
        if owner.is_none_or(|owner| owner.name != *name) {
            return None;
        }
    }
}

/// Renews what is open in one pool, one call at a time so that changes arrive in order.
async fn renew_lane(daemon: Arc<Daemon>, lane: Arc<Lane>, woken: Receiver<()>) {
    let mut last_full = Instant::now();
    loop {
        let is_woken = if lane.is_idle() {
            woken.recv().await.is_ok()
        } else {
            let pause = RENEW_PERIOD.saturating_sub(last_full.elapsed());
            timer::timeout(pause, woken.recv()).await.is_some()
        };
        if is_woken {
            timer::sleep(GATHER_PAUSE).await;
        }
        let full = last_full.elapsed() >= RENEW_PERIOD;
        if full {
            last_full = Instant::now();
        }
        let Some(renewal) = build_renewal(&daemon, &lane, full) else { continue };
        let releases = renewal.releases.len();
        if send_renewal(&daemon, &lane, renewal).await {
            lane.lock().releases.drain(..releases);
        }
    }
}

fn build_renewal(daemon: &Daemon, lane: &Lane, full: bool) -> Option<Renewal> {
    let mut state = lane.lock();
    let changed = std::mem::take(&mut state.changed);
    let has_news = !changed.is_empty() || !state.releases.is_empty();
    if state.is_idle() || !full && !has_news || baseline_without_owner(daemon.policy) {
        state.releases.clear();
        return None;
    }
    let is_listed = |one: &&Progress| full || changed.contains(&one.ask.attempt);
    Some(Renewal {
        entry: daemon.identity.instance.clone(),
        incarnation: daemon.identity.incarnation,
        pool: lane.pool.clone(),
        full,
        suspects: owner::passed_over(daemon),
        progress: state.open.iter().filter(is_listed).cloned().collect(),
        releases: state.releases.clone(),
    })
}

fn baseline_without_owner(policy: Policy) -> bool {
    matches!(policy, Policy::RoundRobin | Policy::LeastLoad)
}

async fn send_renewal(daemon: &Arc<Daemon>, lane: &Lane, renewal: Renewal) -> bool {
    let target = owner::target(daemon, &lane.pool, &renewal.suspects);
    let own = &daemon.identity.instance;
    let Some(target) = target.filter(|one| one.name != *own && daemon.policy == Policy::Owner)
    else {
        let reply = owner::renew(daemon, &renewal);
        lane.record_moves(&reply.moves);
        return reply.is_owner;
    };
    let reply = renew_peer(daemon, target.address, renewal).await;
    match reply {
        Ok(reply) => {
            if reply.config > daemon.view.config_number() {
                crate::relay::pull(daemon, target.address).await;
            }
            if reply.is_draining {
                suspect::suspect(daemon, &target.name, target.address);
            }
            lane.record_moves(&reply.moves);
            reply.is_owner
        }
        Err(err) => {
            debug!("event=renewal_failed pool={} peer={} error=\"{err}\"", lane.pool, target.name);
            suspect::suspect(daemon, &target.name, target.address);
            lane.wake.try_send(()).ok();
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

/// Picks servers without an owner, for the baselines.
fn baseline_grant(daemon: &Daemon, lane: &Lane, ask: &Ask) -> Verdict {
    let turn = daemon.turn.fetch_add(1, Ordering::Relaxed);
    let leaving = daemon.owned_shards.self_reported_leaving();
    let choose = |role: Role| {
        let members = daemon.view.members(&lane.pool, role, &leaving);
        let live = members.into_iter().filter(|one| !one.leaving);
        let choices: Vec<Choice> = live
            .map(|one| Choice {
                load: daemon.owned_shards.reported(&one.server.name),
                server: one.server,
            })
            .collect();
        let chosen = match daemon.policy {
            Policy::RoundRobin => baseline::round_robin(&choices, turn),
            _ => baseline::least_load(&choices, turn),
        };
        chosen.cloned()
    };
    let (Some(prefill), Some(decode)) = (choose(Role::Prefill), choose(Role::Decode)) else {
        let retry_after = Duration::from_secs(1);
        let basis = Basis::default();
        return Verdict::Refusal(Refusal { cause: Cause::NoBackend, retry_after, basis });
    };
    let patience_ms = ask.patience.as_millis() as u64;
    Verdict::Grant(Grant {
        owner: daemon.identity.instance.clone(),
        epoch: 0,
        number: turn,
        prefill,
        decode,
        pieces: 0,
        start_in: Duration::ZERO,
        reason: Reason::Baseline,
        basis: Basis { patience_ms, ..Basis::default() },
    })
}
