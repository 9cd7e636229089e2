//! Shards that a daemon owns, with the requests that wait for their decisions.

use {
    crate::{identity, ledger::Subject},
    ffw_decide::shard::{self, roles::Change},
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

/// Shards of this daemon, in order of pool.
#[derive(Debug, Default)]
pub struct OwnedShards {
    owned: Mutex<Vec<Arc<OwnedShard>>>,
    self_reported_leaving: Mutex<Vec<Arc<str>>>,
    reported: Mutex<Vec<Reported>>,
}

/// Load of an engine as last reported.
#[derive(Clone, Debug)]
struct Reported {
    server: Arc<str>,
    load: u64,
}

/// One shard that this daemon owns.
#[derive(Debug)]
pub struct OwnedShard {
    /// Pool of the shard.
    pub pool: Arc<str>,
    pub(crate) state: Mutex<State>,
    pub(crate) wake: Sender<()>,
}

/// State of a shard that is owned.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) shard: shard::Shard,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) stepped_at: Moment,
    pub(crate) renewed_at: Moment,
}

/// A request that waits for its decision.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) subject: Subject,
    pub(crate) verdict: Sender<Verdict>,
}

impl OwnedShards {
    /// Shards at this moment.
    pub fn shards(&self) -> Vec<Arc<OwnedShard>> {
        self.lock().clone()
    }

    /// State of each shard, for operators.
    pub fn status(&self) -> Vec<ShardStatus> {
        let of_shard = |owned: &Arc<OwnedShard>| {
            let state = owned.lock();
            ShardStatus {
                pool: owned.pool.clone(),
                waiting: state.shard.waiting().len() as u32,
                held: state.shard.reservation_count() as u32,
            }
        };
        self.shards().iter().map(of_shard).collect()
    }

    /// Backend servers that have said themselves that they leave.
    pub fn self_reported_leaving(&self) -> Vec<Arc<str>> {
        self.self_reported_leaving.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes what a backend server says of itself.
    pub fn record_self_reported_leaving(&self, server: &Arc<str>, is_leaving: bool) {
        let mut leaving = self.self_reported_leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.retain(|one| one != server);
        if is_leaving {
            leaving.push(server.clone());
        }
    }

    /// Notes the load that an engine reports, for the baselines.
    pub fn record_reported(&self, server: &Arc<str>, load: u64) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        match reported.binary_search_by(|one| one.server.cmp(server)) {
            Ok(at) => reported[at].load = load,
            Err(at) => reported.insert(at, Reported { server: server.clone(), load }),
        }
    }

    /// Load of an engine as last reported; 0 if it never was.
    pub fn reported(&self, server: &str) -> u64 {
        let reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let found = reported.binary_search_by(|one| (*one.server).cmp(server));
        found.map_or(0, |at| reported[at].load)
    }

    pub(crate) fn find(&self, pool: &str) -> Option<Arc<OwnedShard>> {
        let owned = self.lock();
        let at = owned.binary_search_by(|one| (*one.pool).cmp(pool)).ok()?;
        Some(owned[at].clone())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Vec<Arc<OwnedShard>>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OwnedShard {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the shard and lets it decide.
    pub fn change(&self, change: impl FnOnce(&mut shard::Shard)) {
        change(&mut self.lock().shard);
        self.wake.try_send(()).ok();
    }

    /// Servers whose load reports show more than the shard knows.
    pub fn with_unaccounted_load(&self) -> Vec<Arc<str>> {
        self.lock().shard.with_unaccounted_load()
    }

    /// The engines that are to change their role now.
    pub fn role_changes(&self) -> Vec<Change> {
        self.lock().shard.role_changes(identity::now())
    }

    /// Engines that are passed over until they answer a probe, which is due now.
    pub fn probes_due(&self) -> Vec<Server> {
        self.lock().shard.probes_due(identity::now())
    }

    /// Attempts whose entry has not been heard of them for the given time.
    pub fn unrenewed(&self, span: Duration) -> Vec<Attempt> {
        self.lock().shard.unrenewed(identity::now(), span)
    }

    /// Whether the shard knows the attempt.
    pub fn has_reservation(&self, attempt: &Attempt) -> bool {
        self.lock().shard.has_reservation(attempt)
    }

    /// Puts a request into the queue; its decision comes on the receiver.
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

/// Takes an ask out of the queue if its caller stops waiting.
pub(crate) struct Withdrawal {
    pub(crate) owned: Arc<OwnedShard>,
    pub(crate) attempt: Attempt,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        let mut state = self.owned.lock();
        state.waiters.retain(|one| one.subject.attempt != self.attempt);
        state.shard.withdraw(&self.attempt);
    }
}
