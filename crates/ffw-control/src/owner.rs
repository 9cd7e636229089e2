//! The owner's side of admission: a daemon takes ownership of the shards for which it is first in
//! rendezvous order, runs their decisions and applies the effects, which are answers to entries and
//! cancellations at engines. It gives a shard up when another daemon is the owner and renewals have
//! stopped, or when it shuts down. After a pause of the process, which the gap between two steps
//! shows, the shard starts its recovery again, since another daemon may have decided meanwhile.

mod refresh;

use {
    crate::{
        daemon::{Daemon, Mode},
        identity,
        owned::{OwnedShard, QueueGuard, State},
    },
    ffw_backend::engine,
    ffw_decide::{baseline::Policy, shard},
    ffw_peer::service::RenewalReply,
    ffw_protocol::{
        admission::{Ask, Attempt, Basis, Cause, Refusal, Release, Renewal, Server, Verdict},
        declaration::PoolKind,
        instance::Instance,
        ledger::Event,
        time::Moment,
    },
    ffw_runtime::{executor, timer},
    log::{debug, error, info, warn},
    smol::channel::{self, Receiver},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Longest pause between two steps of a shard.
const STEP_PERIOD_MAX: Duration = Duration::from_millis(100);

/// Shortest pause between two steps of a shard.
const STEP_PERIOD_MIN: Duration = Duration::from_millis(1);

/// Period at which the invariants of a shard are checked. A broken one stays broken.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// A longer gap between two steps means that the process was paused, and that another daemon may
/// have decided for the shard meanwhile.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);

/// Period at which this daemon checks whether it has become the owner of a shard.
const OWNERSHIP_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time for which a daemon that is not the owner keeps a shard after its last renewal.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Delay before the first retry of a cancellation.
const CANCEL_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a retry of a cancellation.
const CANCEL_DELAY_MAX: Duration = Duration::from_secs(2);

/// Whether this daemon is the owner of a pool's shard: first in rendezvous order after its own
/// skipped daemons and the given suspects are left out. True if no daemon is left. With
/// [`Policy::FixedSplit`] each daemon owns a share of each pool.
pub fn is_owner(daemon: &Daemon, pool: &str, suspects: &[Arc<str>]) -> bool {
    if daemon.policy == Policy::FixedSplit {
        return true;
    }
    let mut skipped = skipped_daemons(daemon);
    skipped.extend_from_slice(suspects);
    find_owner(daemon, pool, &skipped).is_none_or(|owner| owner.name == daemon.identity.instance)
}

/// Daemons that this one leaves out of the rendezvous order: its suspects, and itself while it
/// shuts down.
pub fn skipped_daemons(daemon: &Daemon) -> Vec<Arc<str>> {
    let mut names = daemon.suspects.names();
    if daemon.is_draining() {
        names.push(daemon.identity.instance.clone());
    }
    names
}

/// The owner of a pool's shard by this daemon's view; none if every daemon is skipped.
pub fn find_owner(daemon: &Daemon, pool: &str, skipped: &[Arc<str>]) -> Option<Instance> {
    let ranked = daemon.view.ranked(pool);
    ranked.iter().find(|listed| !skipped.contains(&listed.name)).cloned()
}

/// Queues an admission request and waits for its decision; refuses it if this daemon is not the
/// owner.
pub async fn admit(
    daemon: &Arc<Daemon>,
    pool: &Arc<str>,
    suspects: &[Arc<str>],
    ask: Ask,
) -> Verdict {
    if !is_owner(daemon, pool, suspects) {
        let cause = if daemon.is_draining() { Cause::Draining } else { Cause::NotOwner };
        return refusal(cause);
    }
    let Some(owned) = find_or_create(daemon, pool) else {
        return refusal(Cause::NoBackend);
    };
    let attempt = ask.attempt.clone();
    let receiver = owned.enqueue(ask);
    let _queue_guard = QueueGuard { owned: owned.clone(), attempt };
    receiver.recv().await.unwrap_or_else(|_| refusal(Cause::NotOwner))
}

fn refusal(cause: Cause) -> Verdict {
    let retry_after = Duration::from_millis(200);
    Verdict::Refusal(Refusal { cause, retry_after, basis: Basis::default() })
}

/// Takes ownership of each shard as soon as this daemon becomes its owner, so that the entries have
/// reported their running attempts before the first admission request comes.
pub async fn run_owned_shards(daemon: Arc<Daemon>) {
    loop {
        timer::sleep(OWNERSHIP_CHECK_PERIOD).await;
        let Some(snapshot) = daemon.view.config() else { continue };
        let engines = snapshot.deployment.pools.iter().filter(|p| p.kind == PoolKind::Engines);
        for pool in engines {
            if is_owner(&daemon, &pool.name, &[]) {
                find_or_create(&daemon, &pool.name);
            }
        }
    }
}

/// Applies an entry's renewal to the shard, and answers a full one with the entry's attempts that
/// are to move. Does nothing if this daemon is not the owner.
pub fn renew(daemon: &Arc<Daemon>, renewal: &Renewal) -> RenewalReply {
    let config = daemon.view.config_number();
    let is_draining = daemon.is_draining();
    let refused = RenewalReply {
        is_owner: false,
        is_draining,
        config,
        moves: Vec::new(),
        unknown: Vec::new(),
        leaving: Vec::new(),
    };
    daemon.view.accept_leaving(&renewal.leaving);
    if !is_owner(daemon, &renewal.pool, &renewal.suspects) {
        return refused;
    }
    let Some(owned) = find_or_create(daemon, &renewal.pool) else {
        return refused;
    };
    let now = identity::now();
    let mut state = owned.lock();
    state.renewed_at = now;
    let renewed = state.shard.renew(now, renewal);
    let moves =
        if renewal.full { state.shard.runs_to_move(now, &renewal.entry) } else { Vec::new() };
    drop(state);
    // Periodic reports of progress alone make no decision possible.
    if renewed.frees_resources {
        owned.wake.try_send(()).ok();
    }
    RenewalReply {
        is_owner: true,
        is_draining,
        config,
        moves,
        unknown: renewed.unknown,
        leaving: daemon.view.notices().leaving(),
    }
}

/// The shard of a pool, which is created if this daemon does not own it yet. None if no
/// configuration declares the pool.
fn find_or_create(daemon: &Arc<Daemon>, pool: &Arc<str>) -> Option<Arc<OwnedShard>> {
    if let Some(owned) = daemon.owned_shards.find(pool) {
        return Some(owned);
    }
    let settings = refresh::shard_settings(daemon, pool)?;
    let mut all = daemon.owned_shards.lock();
    let index = match all.binary_search_by(|owned| owned.pool.cmp(pool)) {
        Ok(index) => return Some(all[index].clone()),
        Err(index) => index,
    };
    let now = identity::now();
    let epoch = identity::unix_ms() * 1_000;
    let mut shard = shard::Shard::new(now, daemon.identity.instance.clone(), epoch, settings);
    shard.set_members(&refresh::members(daemon, pool));
    let (wake, woken) = channel::bounded(1);
    let state = Mutex::new(State {
        shard,
        waiters: Vec::new(),
        stepped_at: now,
        renewed_at: now,
        checked_at: now,
        is_limited: false,
    });
    let owned = Arc::new(OwnedShard { pool: pool.clone(), state, wake });
    all.insert(index, owned.clone());
    info!("event=shard_owned pool={pool} epoch={epoch}");
    executor::detach(run_shard(daemon.clone(), owned.clone(), woken));
    Some(owned)
}

/// Steps a shard until this daemon is no longer its owner and the shard is no longer in use, then
/// gives it up. A daemon that shuts down gives it up at once if another daemon is left to own it.
async fn run_shard(daemon: Arc<Daemon>, owned: Arc<OwnedShard>, woken: Receiver<()>) {
    let mut applied = None;
    while is_owner(&daemon, &owned.pool, &[]) || is_in_use(&owned) {
        refresh::update_from_view(&daemon, &owned, &mut applied);
        let wake_at = step(&daemon, &owned);
        let pause = wake_at.since(identity::now()).clamp(STEP_PERIOD_MIN, STEP_PERIOD_MAX);
        let _ = timer::timeout(pause, woken.recv()).await;
        if daemon.is_draining() && !is_owner(&daemon, &owned.pool, &[]) {
            break;
        }
    }
    give_up_shard(&daemon, &owned);
}

/// Whether entries that can't reach the owner still use this daemon: requests wait here, or a
/// renewal came within [`LINGER_TIME`].
fn is_in_use(owned: &OwnedShard) -> bool {
    let state = owned.lock();
    !state.waiters.is_empty() || identity::now().since(state.renewed_at) < LINGER_TIME
}

/// Makes the decisions that are due and applies their effects; returns when the next step is due.
fn step(daemon: &Arc<Daemon>, owned: &Arc<OwnedShard>) -> Moment {
    let now = identity::now();
    let mut state = owned.lock();
    if now.since(state.stepped_at) > PAUSE_LIMIT {
        warn!(
            "event=pause_noticed pool={} ms={}",
            owned.pool,
            now.since(state.stepped_at).as_millis()
        );
        state.shard.restart_recovery(now);
    }
    state.stepped_at = now;
    let effects = state.shard.step(now);
    if now.since(state.checked_at) >= CHECK_PERIOD {
        state.checked_at = now;
        check(owned, &state);
    }
    log_limit(owned, &mut state);
    let wake_at = state.shard.wake_at();
    daemon
        .metrics
        .waiting
        .with_label_values(&[&*owned.pool])
        .set(state.shard.waiting().len() as i64);
    daemon
        .metrics
        .held
        .with_label_values(&[&*owned.pool])
        .set(state.shard.reservation_count() as i64);
    for effect in effects {
        apply_effect(daemon, owned, &mut state, effect);
    }
    wake_at
}

/// Logs when a limit of open hand-overs begins and ends.
fn log_limit(owned: &OwnedShard, state: &mut State) {
    let limit = state.shard.handover_limit();
    let was_limited = std::mem::replace(&mut state.is_limited, limit.is_some());
    match limit {
        Some(limit) if !was_limited => {
            warn!("event=handovers_limited pool={} limit={limit}", owned.pool);
        }
        None if was_limited => info!("event=handovers_unlimited pool={}", owned.pool),
        _ => {}
    }
}

fn check(owned: &OwnedShard, state: &State) {
    if let Err(rule) = state.shard.check() {
        error!("event=invariant_broken pool={} rule=\"{rule}\"", owned.pool);
        debug_assert!(false, "{rule}");
    }
}

fn apply_effect(
    daemon: &Arc<Daemon>,
    owned: &Arc<OwnedShard>,
    state: &mut State,
    effect: shard::Effect,
) {
    match effect {
        shard::Effect::Answer(attempt, verdict) => deliver(daemon, state, &attempt, verdict),
        shard::Effect::Cancel(attempt, servers) => {
            executor::detach(cancel(daemon.clone(), owned.clone(), attempt, servers));
        }
    }
}

/// Sends a decision to the entry that waits for it and records it in the ledger. If no entry waits
/// for it any more, a grant is released.
fn deliver(daemon: &Daemon, state: &mut State, attempt: &Attempt, verdict: Verdict) {
    let index = state.waiters.iter().position(|waiter| waiter.subject.attempt == *attempt);
    let waiter = index.map(|index| state.waiters.swap_remove(index));
    let subject = waiter.as_ref().map(|waiter| waiter.subject.clone());
    let event = match &verdict {
        Verdict::Grant(grant) => Event::Granted(grant.clone()),
        Verdict::Refusal(refusal) => Event::Refused(refusal.clone()),
    };
    let is_grant = matches!(verdict, Verdict::Grant(_));
    let delivered = waiter.is_some_and(|waiter| waiter.verdict.try_send(verdict).is_ok());
    if let Some(subject) = subject.filter(|_| delivered) {
        daemon.ledger.append(&subject, event);
    } else if is_grant {
        // No entry received the grant, so no engine has work of the attempt.
        let release =
            Release { attempt: attempt.clone(), emitted: 0, confirmed: true, failed: None };
        let entry = attempt.request.instance.clone();
        let renewal = Renewal { entry, releases: vec![release], ..Renewal::default() };
        state.shard.renew(identity::now(), &renewal);
    }
}

/// Cancels an abandoned attempt at its engines, and retries until each has confirmed or left the
/// instance list.
async fn cancel(
    daemon: Arc<Daemon>,
    owned: Arc<OwnedShard>,
    attempt: Attempt,
    servers: Vec<Server>,
) {
    for server in &servers {
        cancel_at(&daemon, &attempt, server).await;
    }
    owned.change(|shard| shard.confirm_cancel(identity::now(), &attempt));
}

/// Cancels an attempt at one engine, and retries until it has confirmed or left the instance list.
/// Does nothing in [`Mode::Routed`].
pub async fn cancel_at(daemon: &Daemon, attempt: &Attempt, server: &Server) {
    if daemon.mode == Mode::Routed {
        // A routed request's work ends when its connection closes.
        return;
    }
    let name = engine::attempt_name(attempt);
    let mut failures = 0;
    loop {
        match engine::cancel(server.address, &name).await {
            Ok(()) => return debug!("event=cancelled attempt={name} server={}", server.name),
            Err(fault) => {
                warn!("event=cancel_failed attempt={name} server={} error=\"{fault}\"", server.name)
            }
        }
        let roster = daemon.view.roster();
        if !roster.instances.iter().any(|instance| instance.name == server.name) {
            return;
        }
        failures += 1;
        timer::sleep(ffw_decide::retry::delay(failures, CANCEL_DELAY, CANCEL_DELAY_MAX)).await;
    }
}

/// Gives up the ownership of a shard: refuses the requests in its queue, so that their entries ask
/// the next owner. Running attempts go on; their entries report them to the next owner.
fn give_up_shard(daemon: &Daemon, owned: &Arc<OwnedShard>) {
    daemon.owned_shards.lock().retain(|other| other.pool != owned.pool);
    let mut state = owned.lock();
    let cause = if daemon.is_draining() { Cause::Draining } else { Cause::NotOwner };
    for effect in state.shard.refuse_waiting(cause) {
        if let shard::Effect::Answer(attempt, verdict) = effect {
            let waiter = state.waiters.iter().find(|waiter| waiter.subject.attempt == attempt);
            if let Some(waiter) = waiter {
                waiter.verdict.try_send(verdict).ok();
            }
        }
    }
    state.waiters.clear();
    info!("event=shard_left pool={}", owned.pool);
}
