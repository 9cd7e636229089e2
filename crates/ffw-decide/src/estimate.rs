//! Prediction of the wait of a request in the queue, to refuse it as soon as its deadline can't be
//! met any more.

use {
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Work that a waiting request brings.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Rank of its class.
    pub rank: u8,
    /// Its workspace.
    pub workspace: Arc<str>,
    /// Weight of the workspace.
    pub weight: u32,
    /// Time that it will hold a decode slot.
    pub hold: Duration,
    /// Time that it will take of a prefill server.
    pub prefill: Duration,
    /// Whether its target can't be met any more.
    pub is_late: bool,
}

/// Sizes of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Decode slots over all live servers.
    pub slots: u32,
    /// Live prefill servers.
    pub prefills: u32,
    /// Time until the next slot is free.
    pub next_slot: Duration,
}

/// Half-life of the memory of arrived work.
const INFLOW_HALF_LIFE: Duration = Duration::from_secs(10);

/// Least share of the capacity that late requests are taken to get.
const LATE_SHARE_MIN: f64 = 0.02;

/// The rate at which work arrives, as a decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    sum: Sum,
    decayed_at: Moment,
}

impl ArrivalRate {
    /// Adds the work of a request that arrives now.
    pub fn add(&mut self, now: Moment, load: &Load) {
        self.decay(now);
        self.sum.add(load, 1.0);
    }

    /// Arriving work over capacity; 1 fills it.
    pub fn utilisation(&mut self, now: Moment, capacity: &Capacity) -> f64 {
        self.decay(now);
        let seconds = INFLOW_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let by_slots = self.sum.hold / seconds / f64::from(capacity.slots.max(1));
        let by_prefill = self.sum.prefill / seconds / f64::from(capacity.prefills.max(1));
        by_slots.max(by_prefill)
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(passed / INFLOW_HALF_LIFE.as_secs_f64());
        self.sum = Sum { hold: self.sum.hold * factor, prefill: self.sum.prefill * factor };
        self.decayed_at = self.decayed_at.max(now);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    hold: f64,
    prefill: f64,
}

impl Sum {
    fn add(&mut self, load: &Load, share: f64) {
        self.hold += load.hold.as_secs_f64() * share;
        self.prefill += load.prefill.as_secs_f64() * share;
    }
}

/// Time until the request at `index` starts, if the queue is served in the order of `queue` within
/// each workspace, by weight between workspaces and by rank between classes.
///
/// A late request is passed by whatever arrives, so it gets only the capacity that arriving work
/// leaves over.
pub fn wait(queue: &[Load], index: usize, capacity: &Capacity, utilisation: f64) -> Duration {
    let ahead = work_ahead(queue, index);
    let by_slots = ahead.hold / f64::from(capacity.slots.max(1));
    let by_prefill = ahead.prefill / f64::from(capacity.prefills.max(1));
    let is_late = queue[index].is_late;
    let share = if is_late { (1.0 - utilisation).max(LATE_SHARE_MIN) } else { 1.0 };
    capacity.next_slot + Duration::from_secs_f64(by_slots.max(by_prefill) / share)
}

fn work_ahead(queue: &[Load], index: usize) -> Sum {
    let own = &queue[index];
    let mut higher = Sum::default();
    let mut earlier = Sum::default();
    for (at, load) in queue.iter().enumerate() {
        if load.rank < own.rank {
            higher.add(load, 1.0);
        } else if load.rank == own.rank && load.workspace == own.workspace {
            let goes_first = (load.is_late, at) < (own.is_late, index);
            earlier.add(load, f64::from(u8::from(goes_first)));
        }
    }
    let rivals = rival_work(queue, own, &earlier);
    Sum {
        hold: higher.hold + earlier.hold + rivals.hold,
        prefill: higher.prefill + earlier.prefill + rivals.prefill,
    }
}

/// Work of other workspaces of the class that will be served in the meantime: no more than they
/// have waiting, and no more than their weight gives them beside the request's own workspace.
fn rival_work(queue: &[Load], own: &Load, earlier: &Sum) -> Sum {
    let own_hold = earlier.hold + own.hold.as_secs_f64();
    let mut budgets: Vec<Budget> = Vec::new();
    let mut total = Sum::default();
    for load in queue.iter().filter(|one| one.rank == own.rank && one.workspace != own.workspace) {
        let at = match budgets.binary_search_by(|one| one.workspace.cmp(&load.workspace)) {
            Ok(at) => at,
            Err(at) => {
                let left = own_hold * f64::from(load.weight) / f64::from(own.weight.max(1));
                budgets.insert(at, Budget { workspace: load.workspace.clone(), left });
                at
            }
        };
        let hold = load.hold.as_secs_f64();
        let share = (budgets[at].left / hold.max(1e-9)).clamp(0.0, 1.0);
        budgets[at].left -= hold * share;
        total.add(load, share);
    }
    total
}

struct Budget {
    workspace: Arc<str>,
    left: f64,
}
