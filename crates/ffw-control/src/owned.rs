//! Shards that a daemon owns, with the admission requests that wait for their decisions, and what
//! the backend servers last reported: their load and whether they are leaving.

use {
    crate::{identity, ledger::Subject},
    ffw_decide::shard::{self, roles::RoleChange},
    ffw_peer::service::ShardStatus,
    ffw_protocol::{
        admission::{Ask, Attempt, Server, Verdict},
        time::Moment,
    },
    smol::channel::{self, Receiver, Sender},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Shards that this daemon owns, and the last reports of the backend servers.
#[derive(Debug, Default)]
pub struct OwnedShards {
    /// In order of pool.
    owned: Mutex<Vec<Arc<OwnedShard>>>,
    self_reported_leaving: Mutex<Vec<Arc<str>>>,
    /// In order of server name.
    reported_loads: Mutex<Vec<ReportedLoad>>,
}

/// Load that an engine last reported.
#[derive(Clone, Debug)]
struct ReportedLoad {
    server: Arc<str>,
    /// Number of running requests plus number of queued tokens.
    load: u64,
}

/// One shard that this daemon owns. `wake` starts its next step early.
#[derive(Debug)]
pub struct OwnedShard {
    /// Pool of the shard.
    pub pool: Arc<str>,
    pub(crate) state: Mutex<State>,
    pub(crate) wake: Sender<()>,
}

/// State of an owned shard.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) shard: shard::Shard,
    pub(crate) waiters: Vec<Waiter>,
    /// Time of the last step.
    pub(crate) stepped_at: Moment,
    /// Time of the last renewal, or of the start if there was none.
    pub(crate) renewed_at: Moment,
    /// Time of the last check of the invariants.
    pub(crate) checked_at: Moment,
    /// Whether the number of open hand-overs was limited at the last step.
    pub(crate) is_limited: bool,
}

/// An admission request that waits for its decision.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) subject: Subject,
    pub(crate) verdict: Sender<Verdict>,
}

impl OwnedShards {
    /// The shards that this daemon owns now.
    pub fn shards(&self) -> Vec<Arc<OwnedShard>> {
        self.lock().clone()
    }

    /// State of each shard, for operators.
    pub fn status(&self) -> Vec<ShardStatus> {
        let shard_status = |owned: &Arc<OwnedShard>| {
            let state = owned.lock();
            ShardStatus {
                pool: owned.pool.clone(),
                waiting: state.shard.waiting().len() as u32,
                held: state.shard.reservation_count() as u32,
            }
        };
        self.shards().iter().map(shard_status).collect()
    }

    /// Backend servers whose last load report said that they are leaving.
    pub fn self_reported_leaving(&self) -> Vec<Arc<str>> {
        self.self_reported_leaving.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records whether a backend server reports that it is leaving.
    pub fn record_self_reported_leaving(&self, server: &Arc<str>, is_leaving: bool) {
        let mut leaving = self.self_reported_leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.retain(|name| name != server);
        if is_leaving {
            leaving.push(server.clone());
        }
    }

    /// Records the load that an engine reports, for the baseline policies without an owner.
    pub fn record_reported_load(&self, server: &Arc<str>, load: u64) {
        let mut loads = self.reported_loads.lock().unwrap_or_else(PoisonError::into_inner);
        match loads.binary_search_by(|reported| reported.server.cmp(server)) {
            Ok(index) => loads[index].load = load,
            Err(index) => loads.insert(index, ReportedLoad { server: server.clone(), load }),
        }
    }

    /// Load that an engine last reported; 0 if it has reported none.
    pub fn reported_load(&self, server: &str) -> u64 {
        let loads = self.reported_loads.lock().unwrap_or_else(PoisonError::into_inner);
        let found = loads.binary_search_by(|reported| (*reported.server).cmp(server));
        found.map_or(0, |index| loads[index].load)
    }

    pub(crate) fn find(&self, pool: &str) -> Option<Arc<OwnedShard>> {
        let owned = self.lock();
        let index = owned.binary_search_by(|shard| (*shard.pool).cmp(pool)).ok()?;
        Some(owned[index].clone())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Vec<Arc<OwnedShard>>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OwnedShard {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the shard, and wakes its task to make the decisions that follow.
    pub fn change(&self, change: impl FnOnce(&mut shard::Shard)) {
        change(&mut self.lock().shard);
        self.wake.try_send(()).ok();
    }

    /// Servers that report more load than this shard has granted.
    pub fn with_unaccounted_load(&self) -> Vec<Arc<str>> {
        self.lock().shard.servers_with_unaccounted_load()
    }

    /// Engines that are to change their role now.
    pub fn role_changes(&self) -> Vec<RoleChange> {
        self.lock().shard.role_changes(identity::now())
    }

    /// Engines that get no work until they answer a probe, and whose next probe is due.
    pub fn probes_due(&self) -> Vec<Server> {
        self.lock().shard.probes_due(identity::now())
    }

    /// Attempts that no renewal has reported for the given time.
    pub fn unrenewed(&self, span: Duration) -> Vec<Attempt> {
        self.lock().shard.unrenewed_attempts(identity::now(), span)
    }

    /// Whether the attempt has a reservation.
    pub fn has_reservation(&self, attempt: &Attempt) -> bool {
        self.lock().shard.has_reservation(attempt)
    }

    /// Puts an admission request into the queue; the receiver gets its decision.
    pub(crate) fn enqueue(&self, ask: Ask) -> Receiver<Verdict> {
        let (sender, receiver) = channel::bounded(1);
        let mut state = self.lock();
        let subject = Subject {
            attempt: ask.attempt.clone(),
            workspace: ask.workspace.clone(),
            service: ask.service.clone(),
        };
        state.waiters.push(Waiter { subject, verdict: sender });
        state.shard.enqueue(identity::now(), ask);
        drop(state);
        self.wake.try_send(()).ok();
        receiver
    }
}

/// Removes an admission request from the queue when the guard is dropped, which also happens when
/// the entry stops waiting.
pub(crate) struct QueueGuard {
    pub(crate) owned: Arc<OwnedShard>,
    pub(crate) attempt: Attempt,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut state = self.owned.lock();
        state.waiters.retain(|waiter| waiter.subject.attempt != self.attempt);
        state.shard.withdraw(&self.attempt);
    }
}
