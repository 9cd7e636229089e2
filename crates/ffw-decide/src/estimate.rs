//! Predicts how long a queued request waits, so that it can be refused as soon as its first token
//! deadline can't be met any more.

use {
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Work of a queued request, and the properties that decide its order.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedWork {
    /// Rank of its priority class; 0 is served first.
    pub rank: u8,
    /// Workspace of the request.
    pub workspace: Arc<str>,
    /// Weight of the workspace in the fair share.
    pub weight: u32,
    /// Time for which the request will occupy a decode slot.
    pub slot_time: Duration,
    /// Time for which the request will occupy a prefill server.
    pub prefill_time: Duration,
    /// Whether its target for the first token can't be met any more.
    pub is_late: bool,
}

/// Capacity of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Decode slots of all servers that accept new work.
    pub slots: u32,
    /// Number of prefill servers that accept new work.
    pub prefills: u32,
    /// Time until the next decode slot is free.
    pub next_slot: Duration,
}

/// Half-life of the decaying sum of arriving work.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(10);

/// Least share of the capacity that is assumed for late requests.
const LATE_SHARE_MIN: f64 = 0.02;

/// Rate at which work arrives, computed from an exponentially decaying sum of the work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    recent_work: WorkTime,
    decayed_at: Moment,
}

impl ArrivalRate {
    /// Adds the work of a request that arrives now.
    pub fn add(&mut self, now: Moment, work: &QueuedWork) {
        self.decay(now);
        self.recent_work.add(work, 1.0);
    }

    /// Ratio of arriving work to capacity; 1 means that it fills the capacity. The larger of the
    /// values for decode slots and prefill servers.
    pub fn utilisation(&mut self, now: Moment, capacity: &Capacity) -> f64 {
        self.decay(now);
        // Work that arrives at a constant rate keeps the decaying sum at the rate times this time.
        let mean_life_s = ARRIVAL_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let by_slots = self.recent_work.hold_s / mean_life_s / f64::from(capacity.slots.max(1));
        let by_prefill =
            self.recent_work.prefill_s / mean_life_s / f64::from(capacity.prefills.max(1));
        by_slots.max(by_prefill)
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(passed / ARRIVAL_HALF_LIFE.as_secs_f64());
        self.recent_work = WorkTime {
            hold_s: self.recent_work.hold_s * factor,
            prefill_s: self.recent_work.prefill_s * factor,
        };
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Work of several requests, in seconds of decode slot time and of prefill server time.
#[derive(Clone, Copy, Debug, Default)]
struct WorkTime {
    hold_s: f64,
    prefill_s: f64,
}

impl WorkTime {
    fn add(&mut self, work: &QueuedWork, share: f64) {
        self.hold_s += work.slot_time.as_secs_f64() * share;
        self.prefill_s += work.prefill_time.as_secs_f64() * share;
    }
}

/// Predicted time until the request at `index` starts. Assumes that classes are served by rank,
/// that workspaces in a class share by weight, and that a workspace's requests are served in the
/// order of `queue`, the late ones last.
///
/// Requests that arrive are served before a late one, so a late request gets only the capacity
/// that arriving work leaves free.
///
/// # Panics
/// If `index` is not in `queue`.
pub fn predict_wait(
    queue: &[QueuedWork],
    index: usize,
    capacity: &Capacity,
    utilisation: f64,
) -> Duration {
    let ahead = work_ahead(queue, index);
    let by_slots = ahead.hold_s / f64::from(capacity.slots.max(1));
    let by_prefill = ahead.prefill_s / f64::from(capacity.prefills.max(1));
    let is_late = queue[index].is_late;
    let share = if is_late { (1.0 - utilisation).max(LATE_SHARE_MIN) } else { 1.0 };
    capacity.next_slot + Duration::from_secs_f64(by_slots.max(by_prefill) / share)
}

fn work_ahead(queue: &[QueuedWork], index: usize) -> WorkTime {
    let request = &queue[index];
    let mut higher = WorkTime::default();
    let mut earlier = WorkTime::default();
    for (position, work) in queue.iter().enumerate() {
        if work.rank < request.rank {
            higher.add(work, 1.0);
        } else if work.rank == request.rank && work.workspace == request.workspace {
            let goes_first = (work.is_late, position) < (request.is_late, index);
            earlier.add(work, f64::from(u8::from(goes_first)));
        }
    }
    let others = other_workspaces_work(queue, request, &earlier);
    WorkTime {
        hold_s: higher.hold_s + earlier.hold_s + others.hold_s,
        prefill_s: higher.prefill_s + earlier.prefill_s + others.prefill_s,
    }
}

/// Work of the other workspaces of the class that is served before the request: for each workspace
/// at most its queued work, and at most the decode slot time of the request's workspace up to and
/// including the request, times the ratio of the other workspace's weight to that of the request's.
fn other_workspaces_work(
    queue: &[QueuedWork],
    request: &QueuedWork,
    earlier: &WorkTime,
) -> WorkTime {
    let workspace_hold_s = earlier.hold_s + request.slot_time.as_secs_f64();
    let mut budgets: Vec<Budget> = Vec::new();
    let mut total = WorkTime::default();
    for work in queue
        .iter()
        .filter(|other| other.rank == request.rank && other.workspace != request.workspace)
    {
        let index = match budgets.binary_search_by(|budget| budget.workspace.cmp(&work.workspace)) {
            Ok(index) => index,
            Err(index) => {
                let left_s =
                    workspace_hold_s * f64::from(work.weight) / f64::from(request.weight.max(1));
                budgets.insert(index, Budget { workspace: work.workspace.clone(), left_s });
                index
            }
        };
        let hold_s = work.slot_time.as_secs_f64();
        let share = (budgets[index].left_s / hold_s.max(1e-9)).clamp(0.0, 1.0);
        budgets[index].left_s -= hold_s * share;
        total.add(work, share);
    }
    total
}

/// Decode slot time that a workspace may still use before the request, in seconds.
struct Budget {
    workspace: Arc<str>,
    left_s: f64,
}
