//! Parts of prompts to which earlier crashes are not put down: a run with them ended well, or an
//! operator has lifted their quarantine.

use {
    ffw_protocol::{
        quarantine::{Cause, Clearing},
        time::Moment,
    },
    std::time::Duration,
};

/// A part of a run that ended well is not held for crashes until this time has passed.
const CLEARED_TIME: Duration = Duration::from_secs(60);

/// Largest number of cleared parts that are remembered.
const CLEARED_MAX: usize = 4_096;

/// A part to which earlier crashes are not put down.
#[derive(Clone, Copy, Debug)]
struct Cleared {
    part: u64,
    ended_well_at: Option<Moment>,
    lifted_at: Option<Moment>,
}

/// The cleared parts, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Clearances {
    cleared: Vec<Cleared>,
}

impl Clearances {
    /// Records why and when a part was cleared.
    pub(super) fn record(&mut self, part: u64, cause: Cause, at: Moment) {
        let index = match self.cleared.binary_search_by_key(&part, |cleared| cleared.part) {
            Ok(index) => index,
            Err(index) => {
                let cleared = Cleared { part, ended_well_at: None, lifted_at: None };
                self.cleared.insert(index, cleared);
                index
            }
        };
        let cleared = &mut self.cleared[index];
        match cause {
            Cause::EndedWell => cleared.ended_well_at = cleared.ended_well_at.max(Some(at)),
            Cause::Lifted => cleared.lifted_at = cleared.lifted_at.max(Some(at)),
        }
        if self.cleared.len() > CLEARED_MAX {
            self.forget_older_half();
        }
    }

    /// Whether a crash at a moment may be put down to a part.
    pub(super) fn is_blamed(&self, part: u64, at: Moment) -> bool {
        let Some(cleared) = self.find(part) else { return true };
        let is_after_good_end =
            cleared.ended_well_at.is_none_or(|ended_well_at| at > ended_well_at + CLEARED_TIME);
        is_after_good_end && cleared.lifted_at.is_none_or(|lifted_at| at > lifted_at)
    }

    /// What is known of the given parts.
    pub(super) fn evidence(&self, now: Moment, parts: &[u64]) -> Vec<Clearing> {
        let mut clearings = Vec::new();
        for cleared in parts.iter().filter_map(|part| self.find(*part)) {
            let part = cleared.part;
            let clearing = |cause, at: Moment| Clearing { part, cause, age: now.since(at) };
            clearings.extend(cleared.ended_well_at.map(|at| clearing(Cause::EndedWell, at)));
            clearings.extend(cleared.lifted_at.map(|at| clearing(Cause::Lifted, at)));
        }
        clearings
    }

    fn find(&self, part: u64) -> Option<Cleared> {
        let found = self.cleared.binary_search_by_key(&part, |cleared| cleared.part);
        found.ok().map(|index| self.cleared[index])
    }

    /// Forgets the parts that were cleared longest ago; half of them, so that this is rarely
    /// needed.
    fn forget_older_half(&mut self) {
        let last = |cleared: &Cleared| cleared.ended_well_at.max(cleared.lifted_at);
        let mut times: Vec<Option<Moment>> = self.cleared.iter().map(last).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.cleared.retain(|cleared| last(cleared) > median);
    }
}
