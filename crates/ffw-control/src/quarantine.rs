//! Quarantine of prompt parts that crash backend servers: what the daemons know, and what becomes of
//! a request.
//!
//! For each pool, the owner of its shard collects the evidence, see [`exchange`]. It is also the only
//! one that tries requests with parts in doubt, and that keeps in the store what must outlive all
//! daemons, see [`record`]. Where there is a store for that, it has recorded each try before the
//! request is sent. So daemons that both take themselves for the owner, or own the pool one after
//! the other, share one account of tries.

pub mod exchange;
pub mod record;

mod trial;

pub use {
    exchange::{beginnings_exchanged, exchanged},
    ffw_decide::quarantine::Refusal,
    ffw_protocol::quarantine::Progress,
    trial::Trial,
};

use {
    crate::{daemon::Daemon, identity, owner},
    exchange::Peering,
    ffw_decide::quarantine::{self as decide, Quarantine},
    ffw_peer::link::Answering,
    ffw_protocol::{
        quarantine::{Hold, Prompt},
        time::Moment,
    },
    log::info,
    smol::channel::{self, Receiver, Sender},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

/// Evidence of all pools.
#[derive(Debug)]
pub struct Quarantines {
    /// In order of name.
    pools: Mutex<Vec<Pool>>,
    /// Whether each try is recorded in the store before it is made.
    are_tries_recorded: AtomicBool,
    /// Daemons that know the call for the beginnings of answers.
    answering: Answering,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for Quarantines {
    fn default() -> Quarantines {
        let (wake, woken) = channel::bounded(1);
        Quarantines {
            pools: Mutex::default(),
            are_tries_recorded: AtomicBool::default(),
            answering: Answering::default(),
            wake,
            woken,
        }
    }
}

#[derive(Debug)]
struct Pool {
    name: Arc<str>,
    quarantine: Quarantine,
    peering: Peering,
    /// Sets with which a request may be tried, as the store has recorded it.
    recorded_tries: Vec<Vec<u64>>,
}

impl Pool {
    fn new(name: &Arc<str>) -> Pool {
        Pool {
            name: name.clone(),
            quarantine: Quarantine::default(),
            peering: Peering::default(),
            recorded_tries: Vec::new(),
        }
    }
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Ruling {
    /// It may be sent.
    Pass,
    /// It may be sent once, as one that is tried.
    Try(Trial),
    /// It is not sent.
    Refuse(Refusal),
}

impl Quarantines {
    fn lock(&self) -> MutexGuard<'_, Vec<Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(&self, pool: &Arc<str>, act: impl FnOnce(&mut Pool) -> T) -> T {
        let mut pools = self.lock();
        let index = match pools.binary_search_by(|listed| listed.name.cmp(pool)) {
            Ok(index) => index,
            Err(index) => {
                pools.insert(index, Pool::new(pool));
                index
            }
        };
        act(&mut pools[index])
    }

    /// Lets the exchange of evidence run soon.
    fn wake(&self) {
        self.wake.try_send(()).ok();
    }

    /// Records a run that ended well.
    pub fn record_success(&self, pool: &Arc<str>, prompt: &Prompt) {
        if !prompt.shared.is_empty() {
            self.with(pool, |pool| pool.quarantine.record_success(identity::now(), prompt));
        }
    }

    /// Why a request that is not tried is refused; `None` if it may be sent.
    pub fn refusal(&self, pool: &Arc<str>, prompt: &Prompt) -> Option<Refusal> {
        if prompt.shared.is_empty() {
            return None;
        }
        self.with(pool, |pool| pool.quarantine.refusal(identity::now(), prompt))
    }

    /// The sets of parts that are held or on trial.
    pub fn holds(&self) -> Vec<Hold> {
        let now = identity::now();
        let mut holds = Vec::new();
        for Pool { name, quarantine, .. } in self.lock().iter() {
            holds.extend(quarantine.held(now).into_iter().map(|(held, left)| Hold {
                pool: name.clone(),
                parts: held.parts,
                crashes: held.crashes as u32,
                prompts: held.prompts as u32,
                left,
                is_on_trial: false,
            }));
            holds.extend(quarantine.on_trial(now).into_iter().map(|(parts, left)| Hold {
                pool: name.clone(),
                parts,
                crashes: 0,
                prompts: 0,
                left,
                is_on_trial: true,
            }));
        }
        holds
    }
}

/// Records a run that ended at `at` because its server crashed.
pub fn record_crash(
    daemon: &Daemon,
    pool: &Arc<str>,
    server: &Arc<str>,
    prompt: &Prompt,
    progress: Progress,
    at: Moment,
) {
    let record = |pool: &mut Pool| pool.quarantine.record_crash(at, server, prompt, progress);
    let was_try = daemon.quarantines.with(pool, record);
    info!(
        "event=server_crashed pool={pool} server={server} progress={progress:?} tried={was_try} \
         parts={prompt}"
    );
    if was_try {
        daemon.metrics.routed.record_quarantine_try(pool, "crashed");
    }
    daemon.quarantines.wake();
}

/// Decides about a request by its prompt. Only the owner of the pool tries requests.
pub fn rule(daemon: &Arc<Daemon>, pool: &Arc<str>, prompt: &Prompt) -> Ruling {
    if prompt.shared.is_empty() {
        return Ruling::Pass;
    }
    let is_owner = owner::is_owner(daemon, pool, &[]);
    let are_recorded = daemon.quarantines.are_tries_recorded.load(Ordering::Relaxed);
    let now = identity::now();
    let ruling = daemon.quarantines.with(pool, |pool| {
        let mut recorded = std::mem::take(&mut pool.recorded_tries);
        let allows = |sets: &[Vec<u64>]| {
            is_owner && (!are_recorded || trial::take_recorded(&mut recorded, sets))
        };
        let ruling = pool.quarantine.rule(now, prompt, allows);
        pool.recorded_tries = recorded;
        ruling
    });
    match ruling {
        decide::Ruling::Pass => Ruling::Pass,
        decide::Ruling::Try(sets) => Ruling::Try(Trial::new(daemon, pool, prompt, sets)),
        decide::Ruling::Refuse(refusal) => Ruling::Refuse(refusal),
    }
}

/// Lifts the quarantine of a part in all pools, here and, by the exchange, at all daemons; returns
/// whether it was held or on trial anywhere.
pub fn lift(daemon: &Daemon, part: u64) -> bool {
    let now = identity::now();
    let mut was_held = false;
    for pool in daemon.quarantines.lock().iter_mut() {
        if pool.quarantine.lift(now, part) {
            info!("event=quarantine_lifted pool={} part={part:x}", pool.name);
            was_held = true;
        }
    }
    daemon.quarantines.wake();
    was_held
}
