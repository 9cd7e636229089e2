//! The order of service: priority class, then a fair share of tokens between workspaces, then
//! whoever can still meet its target, by the nearest target, and then whoever can't, by the nearest
//! deadline. A class below its floor goes before the others.
//!
//! Requests that have missed their target wait behind those that have not: under overload a plain
//! queue would let every request miss it.

use {
    ffw_protocol::{admission::Reason, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Half-life of the memory of what each class was served.
const CLASS_HALF_LIFE: Duration = Duration::from_secs(10);

/// The share of served tokens that a class gets while it waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floor {
    /// Rank of the class.
    pub rank: u8,
    /// Share, 0 to 1.
    pub share: f64,
}

/// What one request brings to the order.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Rank of its class.
    pub rank: u8,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Whether its target can't be met any more.
    pub is_late: bool,
    /// Moment of its target, or of its deadline if it is late.
    pub due: Moment,
    /// When its caller's request arrived.
    pub arrival: Moment,
}

/// The request that goes next, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index among the candidates.
    pub index: usize,
    /// Why it goes before the others.
    pub reason: Reason,
}

#[derive(Clone, Debug)]
struct Account {
    workspace: Arc<str>,
    served: f64,
}

#[derive(Clone, Copy, Debug)]
struct Class {
    rank: u8,
    served: f64,
}

/// What workspaces and classes have been served.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    floors: Vec<Floor>,
    accounts: Vec<Account>,
    classes: Vec<Class>,
    decayed_at: Moment,
}

impl Fairness {
    /// Nothing served yet, with the given floors.
    pub fn new(mut floors: Vec<Floor>) -> Fairness {
        floors.sort_by_key(|floor| floor.rank);
        Fairness { floors, ..Fairness::default() }
    }

    /// Replaces the floors.
    pub fn set_floors(&mut self, mut floors: Vec<Floor>) {
        floors.sort_by_key(|floor| floor.rank);
        self.floors = floors;
    }

    /// Tokens that a workspace was served, over its weight.
    pub fn served(&self, workspace: &str) -> f64 {
        self.account(workspace).map_or(0.0, |at| self.accounts[at].served)
    }

    /// Lets a workspace that had nothing open start level with the least served of the others, so
    /// that idle time earns no claim.
    pub fn activate(&mut self, workspace: &Arc<str>, active: &[Arc<str>]) {
        let least = active.iter().map(|one| self.served(one)).reduce(f64::min).unwrap_or(0.0);
        let account = self.account_mut(workspace);
        account.served = account.served.max(least);
    }

    /// Charges tokens to a workspace and its class; negative to give back what was charged too much.
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
        account.served = (account.served + tokens / f64::from(weight.max(1))).max(0.0);
        let class = self.class_mut(rank);
        class.served = (class.served + tokens).max(0.0);
    }

    /// Forgets workspaces that have nothing open.
    pub fn retain(&mut self, is_active: impl Fn(&str) -> bool) {
        let most = self.accounts.iter().map(|account| account.served).fold(0.0, f64::max);
        // A workspace near the front keeps its account, or leaving and returning would clear it.
        self.accounts
            .retain(|account| is_active(&account.workspace) || account.served > most / 2.0);
    }

    /// The candidate that goes next.
    pub fn pick(&self, candidates: &[Candidate]) -> Option<Pick> {
        let starved = self.starved_rank(candidates);
        let first = candidates.iter().map(|one| one.rank).min()?;
        let rank = starved.unwrap_or(first);
        let index = self.first_of_class(candidates, rank)?;
        let reason = if starved.is_some_and(|starved| starved != first) {
            Reason::Floor
        } else {
            reason_for(candidates, index)
        };
        Some(Pick { index, reason })
    }

    fn first_of_class(&self, candidates: &[Candidate], rank: u8) -> Option<usize> {
        let key = |one: &Candidate| (one.is_late, one.due, one.arrival);
        let served = |one: &Candidate| self.served(&one.workspace);
        let in_class = candidates.iter().enumerate().filter(|(_, one)| one.rank == rank);
        let compare = |a: &(usize, &Candidate), b: &(usize, &Candidate)| {
            served(a.1).total_cmp(&served(b.1)).then(key(a.1).cmp(&key(b.1)))
        };
        in_class.min_by(compare).map(|(index, _)| index)
    }

    /// The highest class that waits and is below its floor.
    pub fn starved_rank(&self, candidates: &[Candidate]) -> Option<u8> {
        let total: f64 = self.classes.iter().map(|class| class.served).sum();
        let is_starved = |floor: &&Floor| {
            let waits = candidates.iter().any(|one| one.rank == floor.rank);
            waits && self.class_served(floor.rank) < floor.share * total
        };
        self.floors.iter().find(is_starved).map(|floor| floor.rank)
    }

    fn class_served(&self, rank: u8) -> f64 {
        let found = self.classes.binary_search_by_key(&rank, |class| class.rank);
        found.map_or(0.0, |at| self.classes[at].served)
    }

    fn class_mut(&mut self, rank: u8) -> &mut Class {
        let at = match self.classes.binary_search_by_key(&rank, |class| class.rank) {
            Ok(at) => at,
            Err(at) => {
                self.classes.insert(at, Class { rank, served: 0.0 });
                at
            }
        };
        &mut self.classes[at]
    }

    fn account(&self, workspace: &str) -> Option<usize> {
        self.accounts.binary_search_by(|account| (*account.workspace).cmp(workspace)).ok()
    }

    fn account_mut(&mut self, workspace: &Arc<str>) -> &mut Account {
        let at = match self.accounts.binary_search_by(|one| one.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                self.accounts.insert(at, Account { workspace: workspace.clone(), served: 0.0 });
                at
            }
        };
        &mut self.accounts[at]
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.decayed_at);
        if passed.is_zero() {
            return;
        }
        let factor = 0.5_f64.powf(passed.as_secs_f64() / CLASS_HALF_LIFE.as_secs_f64());
        self.classes.iter_mut().for_each(|class| class.served *= factor);
        self.decayed_at = now;
    }
}

/// The first level of the order at which the candidate passed another one.
fn reason_for(candidates: &[Candidate], index: usize) -> Reason {
    let picked = &candidates[index];
    let others =
        || candidates.iter().enumerate().filter(|(at, _)| *at != index).map(|(_, one)| one);
    if others().any(|one| one.rank != picked.rank) {
        Reason::Priority
    } else if others().any(|one| one.workspace != picked.workspace) {
        Reason::Share
    } else if others().next().is_some() {
        Reason::Deadline
    } else {
        Reason::Alone
    }
}
