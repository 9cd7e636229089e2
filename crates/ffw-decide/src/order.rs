//! The order in which queued requests are served: by priority class, then by a fair share of tokens
//! between workspaces, then the requests that can still meet their target by nearest target, and
//! last the late ones by nearest deadline. A class that is served less than its floor goes first.
//!
//! Within a workspace of a class, requests that can't meet their target any more come after the
//! others. This is for overload, under which a queue in order of arrival would make every request
//! miss its target.

use {
    ffw_protocol::{admission::Reason, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Half-life of the served tokens of a class.
const CLASS_HALF_LIFE: Duration = Duration::from_secs(10);

/// The least share of the served tokens that a class gets while it has queued requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floor {
    /// Rank of the priority class; 0 is served first.
    pub rank: u8,
    /// Share of all served tokens, 0 to 1.
    pub share: f64,
}

/// Properties of a queued request that decide its order.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Rank of its priority class; 0 is served first.
    pub rank: u8,
    /// Workspace of the request.
    pub workspace: Arc<str>,
    /// Whether its target can't be met any more.
    pub is_late: bool,
    /// Time of its target, or of its deadline if it is late.
    pub due: Moment,
    /// Time at which the caller's request arrived.
    pub arrival: Moment,
}

/// The request that is served next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index in the list of candidates.
    pub index: usize,
    /// Reason for which it was picked before the others.
    pub reason: Reason,
}

#[derive(Clone, Debug)]
struct Account {
    workspace: Arc<str>,
    /// Served tokens divided by the workspace's weight.
    weighted_tokens: f64,
}

#[derive(Clone, Copy, Debug)]
struct Class {
    rank: u8,
    /// Served tokens, decaying with `CLASS_HALF_LIFE`.
    recent_tokens: f64,
}

/// Tokens served to workspaces and priority classes, and the floors of the classes.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    floors: Vec<Floor>,
    accounts: Vec<Account>,
    classes: Vec<Class>,
    decayed_at: Moment,
}

impl Fairness {
    /// Fairness with these floors, with nothing served yet.
    pub fn new(mut floors: Vec<Floor>) -> Fairness {
        floors.sort_by_key(|floor| floor.rank);
        Fairness { floors, ..Fairness::default() }
    }

    /// Replaces the floors.
    pub fn set_floors(&mut self, mut floors: Vec<Floor>) {
        floors.sort_by_key(|floor| floor.rank);
        self.floors = floors;
    }

    /// Tokens that a workspace was served, divided by its weight.
    pub fn served(&self, workspace: &str) -> f64 {
        self.account(workspace).map_or(0.0, |index| self.accounts[index].weighted_tokens)
    }

    /// For a workspace that had no open request: raises its served tokens to at least those of the
    /// least served workspace in `active`, so that an idle time gives it no advantage.
    pub fn raise_to_least_served(&mut self, workspace: &Arc<str>, active: &[Arc<str>]) {
        let least = active.iter().map(|name| self.served(name)).reduce(f64::min).unwrap_or(0.0);
        let account = self.account_mut(workspace);
        account.weighted_tokens = account.weighted_tokens.max(least);
    }

    /// Charges tokens to a workspace and its class. A negative number refunds tokens that were
    /// charged in excess.
    pub fn charge(
        &mut self,
        now: Moment,
        workspace: &Arc<str>,
        weight: u32,
        rank: u8,
        tokens: f64,
    ) {
        self.decay(now);
        let account = self.account_mut(workspace);
        account.weighted_tokens =
            (account.weighted_tokens + tokens / f64::from(weight.max(1))).max(0.0);
        let class = self.class_mut(rank);
        class.recent_tokens = (class.recent_tokens + tokens).max(0.0);
    }

    /// Drops the accounts of workspaces without open requests, except the most served ones.
    pub fn retain(&mut self, is_active: impl Fn(&str) -> bool) {
        let most = self.accounts.iter().map(|account| account.weighted_tokens).fold(0.0, f64::max);
        // A workspace that was served more than half as much as the most served one keeps its
        // account; otherwise it could clear its account by pausing its requests.
        self.accounts.retain(|account| {
            is_active(&account.workspace) || account.weighted_tokens > most / 2.0
        });
    }

    /// The candidate that is served next; `None` if there are no candidates.
    pub fn pick(&self, candidates: &[Candidate]) -> Option<Pick> {
        let below_floor = self.rank_below_floor(candidates);
        let highest = candidates.iter().map(|candidate| candidate.rank).min()?;
        let rank = below_floor.unwrap_or(highest);
        let index = self.first_of_class(candidates, rank)?;
        let reason = if below_floor.is_some_and(|below_floor| below_floor != highest) {
            Reason::Floor
        } else {
            reason_for(candidates, index)
        };
        Some(Pick { index, reason })
    }

    fn first_of_class(&self, candidates: &[Candidate], rank: u8) -> Option<usize> {
        let urgency = |candidate: &Candidate| (candidate.is_late, candidate.due, candidate.arrival);
        let served = |candidate: &Candidate| self.served(&candidate.workspace);
        let in_class =
            candidates.iter().enumerate().filter(|(_, candidate)| candidate.rank == rank);
        let compare = |a: &(usize, &Candidate), b: &(usize, &Candidate)| {
            served(a.1).total_cmp(&served(b.1)).then(urgency(a.1).cmp(&urgency(b.1)))
        };
        in_class.min_by(compare).map(|(index, _)| index)
    }

    /// Rank of the highest class that has queued requests and was served less than its floor.
    pub fn rank_below_floor(&self, candidates: &[Candidate]) -> Option<u8> {
        let total: f64 = self.classes.iter().map(|class| class.recent_tokens).sum();
        let is_below_floor = |floor: &&Floor| {
            let is_waiting = candidates.iter().any(|candidate| candidate.rank == floor.rank);
            is_waiting && self.class_served(floor.rank) < floor.share * total
        };
        self.floors.iter().find(is_below_floor).map(|floor| floor.rank)
    }

    fn class_served(&self, rank: u8) -> f64 {
        let found = self.classes.binary_search_by_key(&rank, |class| class.rank);
        found.map_or(0.0, |index| self.classes[index].recent_tokens)
    }

    fn class_mut(&mut self, rank: u8) -> &mut Class {
        let index = match self.classes.binary_search_by_key(&rank, |class| class.rank) {
            Ok(index) => index,
            Err(index) => {
                self.classes.insert(index, Class { rank, recent_tokens: 0.0 });
                index
            }
        };
        &mut self.classes[index]
    }

    fn account(&self, workspace: &str) -> Option<usize> {
        self.accounts.binary_search_by(|account| (*account.workspace).cmp(workspace)).ok()
    }

    fn account_mut(&mut self, workspace: &Arc<str>) -> &mut Account {
        let index = match self.accounts.binary_search_by(|account| account.workspace.cmp(workspace))
        {
            Ok(index) => index,
            Err(index) => {
                self.accounts
                    .insert(index, Account { workspace: workspace.clone(), weighted_tokens: 0.0 });
                index
            }
        };
        &mut self.accounts[index]
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.decayed_at);
        if passed.is_zero() {
            return;
        }
        let factor = 0.5_f64.powf(passed.as_secs_f64() / CLASS_HALF_LIFE.as_secs_f64());
        self.classes.iter_mut().for_each(|class| class.recent_tokens *= factor);
        self.decayed_at = now;
    }
}

/// The first criterion of the order by which the picked candidate differs from another one.
fn reason_for(candidates: &[Candidate], index: usize) -> Reason {
    let picked = &candidates[index];
    let others =
        || candidates.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, other)| other);
    if others().any(|other| other.rank != picked.rank) {
        Reason::Priority
    } else if others().any(|other| other.workspace != picked.workspace) {
        Reason::Share
    } else if others().next().is_some() {
        Reason::Deadline
    } else {
        Reason::Alone
    }
}
