//! Shards that this daemon owns: it runs their decisions and carries out what they order.

use {
    crate::{
        daemon::{Daemon, Mode},
        identity,
        owned::{OwnedShard, State, Withdrawal},
    },
    ffw_backend::engine,
    ffw_decide::{baseline::Policy, shard},
    ffw_peer::service::RenewalReply,
    ffw_protocol::{
        admission::{Ask, Attempt, Basis, Cause, Refusal, Release, Renewal, Server, Verdict},
        declaration::PoolKind,
        instance::{Instance, Role},
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
const STEP_PERIOD: Duration = Duration::from_millis(100);

/// Shortest pause between two steps of a shard.
const STEP_MIN: Duration = Duration::from_millis(1);

/// A gap between two steps above this means that the process was paused: others may have decided
/// in the meantime.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);

/// Period at which this daemon looks whether it has become the owner of a shard.
const HOSTING_PERIOD: Duration = Duration::from_millis(200);

/// Time after the last renewal for which a daemon that is not the first choice keeps a shard.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Delay before a cancel is tried again: the first and the longest.
const CANCEL_DELAY: Duration = Duration::from_millis(100);
const CANCEL_DELAY_MAX: Duration = Duration::from_secs(2);

/// Whether this daemon is the first choice for a pool's shard, passing over suspects.
pub fn is_owner(daemon: &Daemon, pool: &str, suspects: &[Arc<str>]) -> bool {
    if daemon.policy == Policy::FixedSplit {
        return true;
    }
    let mut passed = passed_over(daemon);
    passed.extend_from_slice(suspects);
    target(daemon, pool, &passed).is_none_or(|one| one.name == daemon.identity.instance)
}

/// Daemons that this one passes over in the order of ownership.
pub fn passed_over(daemon: &Daemon) -> Vec<Arc<str>> {
    let mut names = daemon.suspects.names();
    if daemon.is_draining() {
        names.push(daemon.identity.instance.clone());
    }
    names
}

/// The owner of a pool's shard as this daemon sees it; none if no daemon is left.
pub fn target(daemon: &Daemon, pool: &str, passed: &[Arc<str>]) -> Option<Instance> {
    let ranked = daemon.view.ranked(pool);
    ranked.iter().find(|one| !passed.contains(&one.name)).cloned()
}

/// Waits for the decision on an ask.
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
    let Some(owned) = host(daemon, pool) else {
        return refusal(Cause::NoBackend);
    };
    let attempt = ask.attempt.clone();
    let receiver = owned.enqueue(ask);
    let _withdrawal = Withdrawal { owned: owned.clone(), attempt };
    receiver.recv().await.unwrap_or_else(|_| refusal(Cause::NotOwner))
}

fn refusal(cause: Cause) -> Verdict {
    let retry_after = Duration::from_millis(200);
    Verdict::Refusal(Refusal { cause, retry_after, basis: Basis::default() })
}

/// Starts to own each shard whose first choice this daemon becomes, so that its entries have
/// declared what runs before the first request asks.
pub async fn run_owned_shards(daemon: Arc<Daemon>) {
    loop {
        timer::sleep(HOSTING_PERIOD).await;
        let Some(snapshot) = daemon.view.config() else { continue };
        let engines = snapshot.deployment.pools.iter().filter(|p| p.kind == PoolKind::Engines);
        for pool in engines {
            if is_owner(&daemon, &pool.name, &[]) {
                host(&daemon, &pool.name);
            }
        }
    }
}

/// Takes an entry's renewal over.
pub fn renew(daemon: &Arc<Daemon>, renewal: &Renewal) -> RenewalReply {
    let config = daemon.view.config_number();
    let is_draining = daemon.is_draining();
    let refused = RenewalReply { is_owner: false, is_draining, config, moves: Vec::new() };
    if !is_owner(daemon, &renewal.pool, &renewal.suspects) {
        return refused;
    }
    let Some(owned) = host(daemon, &renewal.pool) else {
        return refused;
    };
    owned.lock().renewed_at = identity::now();
    let mut moves = Vec::new();
    owned.change(|shard| {
        shard.renew(identity::now(), renewal);
        if renewal.full {
            moves = shard.runs_to_move(identity::now(), &renewal.entry);
        }
    });
    RenewalReply { is_owner: true, is_draining, config, moves }
}

/// The shard of a pool; starts to own it if need be.
fn host(daemon: &Arc<Daemon>, pool: &Arc<str>) -> Option<Arc<OwnedShard>> {
    if let Some(owned) = daemon.owned_shards.find(pool) {
        return Some(owned);
    }
    let settings = settings(daemon, pool)?;
    let mut all = daemon.owned_shards.lock();
    let at = match all.binary_search_by(|one| one.pool.cmp(pool)) {
        Ok(at) => return Some(all[at].clone()),
        Err(at) => at,
    };
    let now = identity::now();
    let epoch = identity::unix_ms() * 1_000;
    let mut shard = shard::Shard::new(now, daemon.identity.instance.clone(), epoch, settings);
    shard.set_members(&members(daemon, pool));
    let (wake, woken) = channel::bounded(1);
    let state = Mutex::new(State { shard, waiters: Vec::new(), stepped_at: now, renewed_at: now });
    let owned = Arc::new(OwnedShard { pool: pool.clone(), state, wake });
    all.insert(at, owned.clone());
    info!("event=shard_owned pool={pool} epoch={epoch}");
    executor::detach(run(daemon.clone(), owned.clone(), woken));
    Some(owned)
}

fn settings(daemon: &Daemon, pool: &str) -> Option<shard::Settings> {
    let snapshot = daemon.view.config()?;
    let declared = snapshot.deployment.pool(pool)?;
    let mut settings = snapshot.shard_settings(declared);
    if daemon.policy == Policy::FixedSplit {
        split(daemon, &mut settings);
    }
    Some(settings)
}

/// Reduces the settings to this entry's fixed share, for the baseline.
fn split(daemon: &Daemon, settings: &mut shard::Settings) {
    let roster = daemon.view.roster();
    let daemons = roster.instances.iter().filter(|one| one.role == Role::Entry && one.is_live());
    let names: Vec<Arc<str>> = daemons.map(|one| one.name.clone()).collect();
    let own = &daemon.identity.instance;
    settings.slots = ffw_decide::baseline::share(settings.slots, &names, own);
    let count = names.len().max(1) as u32;
    settings.prefill_rate /= count;
    settings.link_rate /= count;
}

fn members(daemon: &Daemon, pool: &str) -> shard::Members {
    let leaving = daemon.owned_shards.self_reported_leaving();
    shard::Members {
        prefills: daemon.view.members(pool, Role::Prefill, &leaving),
        decodes: daemon.view.members(pool, Role::Decode, &leaving),
    }
}

async fn run(daemon: Arc<Daemon>, owned: Arc<OwnedShard>, woken: Receiver<()>) {
    while is_owner(&daemon, &owned.pool, &[]) || has_work(&owned) {
        refresh(&daemon, &owned);
        let wake_at = step(&daemon, &owned);
        let pause = wake_at.since(identity::now()).clamp(STEP_MIN, STEP_PERIOD);
        let _ = timer::timeout(pause, woken.recv()).await;
        if daemon.is_draining() && !is_owner(&daemon, &owned.pool, &[]) {
            break;
        }
    }
    hand_over(&daemon, &owned);
}

/// Whether somebody who can't reach the first choice still uses this daemon.
fn has_work(owned: &OwnedShard) -> bool {
    let state = owned.lock();
    !state.waiters.is_empty() || identity::now().since(state.renewed_at) < LINGER_TIME
}

fn refresh(daemon: &Daemon, owned: &OwnedShard) {
    let Some(settings) = settings(daemon, &owned.pool) else { return };
    let members = members(daemon, &owned.pool);
    let roster = daemon.view.roster();
    let daemons = roster.instances.iter().filter(|one| one.role == Role::Entry);
    let names: Vec<Arc<str>> = daemons.map(|one| one.name.clone()).collect();
    let mut state = owned.lock();
    state.shard.configure(settings);
    state.shard.set_members(&members);
    // An empty list is a list that was not read yet; a daemon may also not see itself listed yet.
    if names.contains(&daemon.identity.instance) {
        state.shard.retain_entries(identity::now(), &names);
    }
}

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
    if let Err(rule) = state.shard.check() {
        error!("event=invariant_broken pool={} rule=\"{rule}\"", owned.pool);
        debug_assert!(false, "{rule}");
    }
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
        carry_out(daemon, owned, &mut state, effect);
    }
    wake_at
}

fn carry_out(
    daemon: &Arc<Daemon>,
    owned: &Arc<OwnedShard>,
    state: &mut State,
    effect: shard::Effect,
) {
    match effect {
        shard::Effect::Answer(attempt, verdict) => answer(daemon, state, &attempt, verdict),
        shard::Effect::Cancel(attempt, servers) => {
            executor::detach(cancel(daemon.clone(), owned.clone(), attempt, servers));
        }
    }
}

fn answer(daemon: &Daemon, state: &mut State, attempt: &Attempt, verdict: Verdict) {
    let at = state.waiters.iter().position(|one| one.subject.attempt == *attempt);
    let waiter = at.map(|at| state.waiters.swap_remove(at));
    let subject = waiter.as_ref().map(|one| one.subject.clone());
    let event = match &verdict {
        Verdict::Grant(grant) => Event::Granted(grant.clone()),
        Verdict::Refusal(refusal) => Event::Refused(refusal.clone()),
    };
    let is_grant = matches!(verdict, Verdict::Grant(_));
    let delivered = waiter.is_some_and(|one| one.verdict.try_send(verdict).is_ok());
    if let Some(subject) = subject.filter(|_| delivered) {
        daemon.ledger.note(&subject, event);
    } else if is_grant {
        // Nobody waits any more, so nothing was started.
        let release =
            Release { attempt: attempt.clone(), emitted: 0, confirmed: true, failed: None };
        let entry = attempt.request.instance.clone();
        let renewal = Renewal { entry, releases: vec![release], ..Renewal::default() };
        state.shard.renew(identity::now(), &renewal);
    }
}

/// Cancels an abandoned attempt at its engines until each has confirmed or left the list.
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

/// Cancels an attempt at one engine until it has confirmed or left the list.
pub async fn cancel_at(daemon: &Daemon, attempt: &Attempt, server: &Server) {
    if daemon.mode == Mode::Routed {
        // The work ended with the connection that it came on.
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
        if !roster.instances.iter().any(|one| one.name == server.name) {
            return;
        }
        failures += 1;
        timer::sleep(ffw_decide::retry::delay(failures, CANCEL_DELAY, CANCEL_DELAY_MAX)).await;
    }
}

/// Gives the queue back to the entries; running places stay with them and their next owner.
fn hand_over(daemon: &Daemon, owned: &Arc<OwnedShard>) {
    daemon.owned_shards.lock().retain(|one| one.pool != owned.pool);
    let mut state = owned.lock();
    let cause = if daemon.is_draining() { Cause::Draining } else { Cause::NotOwner };
    for effect in state.shard.give_up(cause) {
        if let shard::Effect::Answer(attempt, verdict) = effect {
            let waiter = state.waiters.iter().find(|one| one.subject.attempt == attempt);
            if let Some(waiter) = waiter {
                waiter.verdict.try_send(verdict).ok();
            }
        }
    }
    state.waiters.clear();
    info!("event=shard_left pool={}", owned.pool);
}
