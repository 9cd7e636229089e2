//! A request that is sent to find out whether parts of its prompt crash servers.

use {
    crate::{daemon::Daemon, identity},
    ffw_decide::quarantine::Tried,
    ffw_protocol::quarantine::{Prompt, names},
    log::info,
    std::sync::{Arc, Mutex, PoisonError},
};

/// What came of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The request was sent to no server, so another one is tried in its place.
    Unsent,
    /// The request ended in a way that tells nothing: its caller left, it was refused, or its
    /// deadline has passed.
    Unsettled,
    /// Its server ended the connection; whether the server has crashed is found out apart.
    Broken,
    /// The request ended well, which clears its parts.
    EndedWell,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Outcome::Unsent => "unsent",
            Outcome::Unsettled => "unsettled",
            Outcome::Broken => "broken",
            Outcome::EndedWell => "ended_well",
        }
    }
}

/// A request that is tried, until dropped. Only one server may get it.
#[derive(Debug)]
pub struct Trial {
    daemon: Arc<Daemon>,
    pool: Arc<str>,
    prompt: Prompt,
    tries: Vec<Tried>,
    outcome: Mutex<Outcome>,
}

impl Trial {
    pub(super) fn new(
        daemon: &Arc<Daemon>,
        pool: &Arc<str>,
        prompt: &Prompt,
        tries: Vec<Tried>,
    ) -> Trial {
        let (daemon, pool, prompt) = (daemon.clone(), pool.clone(), prompt.clone());
        Trial { daemon, pool, prompt, tries, outcome: Mutex::new(Outcome::Unsent) }
    }

    /// Records that the request is sent to a server.
    pub fn record_sent(&self) {
        self.record(Outcome::Unsettled);
    }

    /// Records that the server has ended the connection of the request.
    pub fn record_broken(&self) {
        self.record(Outcome::Broken);
    }

    /// Records that the request ended well.
    pub fn record_success(&self) {
        self.record(Outcome::EndedWell);
    }

    fn record(&self, outcome: Outcome) {
        *self.outcome.lock().unwrap_or_else(PoisonError::into_inner) = outcome;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Trial { daemon, pool, prompt, tries, outcome } = self;
        let outcome = *outcome.get_mut().unwrap_or_else(PoisonError::into_inner);
        let now = identity::now();
        daemon.quarantines.with(pool, |pool| match outcome {
            Outcome::Unsent => {
                pool.quarantine.return_try(now, prompt, tries);
                pool.recorded_tries.extend(tries.iter().map(|tried| tried.parts.clone()));
            }
            Outcome::Unsettled => pool.quarantine.record_unsettled(now, tries),
            Outcome::Broken | Outcome::EndedWell => {}
        });
        for Tried { parts, before, is_on_trial } in tries {
            let cause = if *is_on_trial { "expired" } else { "in_doubt" };
            info!(
                "event=quarantine_try pool={pool} parts={} cause={cause} before={before} outcome={}",
                names(parts),
                outcome.name()
            );
        }
        daemon.metrics.routed.record_quarantine_try(pool, outcome.name());
    }
}

/// Takes the recorded tries of these sets, if there is one of each.
pub(super) fn take_recorded(recorded: &mut Vec<Vec<u64>>, sets: &[Vec<u64>]) -> bool {
    let has_all = sets.iter().all(|set| recorded.contains(set));
    if has_all {
        recorded.retain(|set| !sets.contains(set));
    }
    has_all
}
