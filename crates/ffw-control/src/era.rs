//! The era of the store: a number that its responses state and that rises each time the store is
//! restored from an earlier copy of itself.
//!
//! After a restore the store gives out revisions again, so a revision identifies a state only
//! within its era. [`version`] combines both into one number that never decreases.

use {
    ffw_runtime::signal::Signal,
    log::{info, warn},
    smol::channel::Receiver,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Bits of a version that hold the revision; the era is above them.
const REVISION_BITS: u32 = 44;

/// Largest era that fits above the revision.
const ERA_MAX: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// Bits of a fencing number that count within an era; the era is above them.
const FENCE_BITS: u32 = 32;

/// The era of a store that states none.
const UNSTATED: u64 = 0;

/// What a response says about the era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated {
    /// The response is of the known era, or states none.
    None,
    /// The response is the first one that states an era.
    First,
    /// The store has been restored since the last response.
    Restored,
    /// The response was sent before a restore that is known already.
    Outdated,
}

/// The latest era that any response of the store has stated.
#[derive(Debug, Default)]
pub struct Era {
    number: AtomicU64,
    restores: Signal,
}

impl Era {
    /// The latest era; 0 if no response has stated one.
    pub fn number(&self) -> u64 {
        self.number.load(Ordering::SeqCst)
    }

    /// Records the era that a response states, as the text of its field.
    pub fn record(&self, stated: Option<&str>) -> Stated {
        let Some(text) = stated else { return Stated::None };
        let stated = match text.trim().parse::<u64>() {
            Ok(stated) if (1..=ERA_MAX).contains(&stated) => stated,
            _ => {
                warn!("event=store_era_unreadable value=\"{}\"", text.escape_default());
                return Stated::None;
            }
        };
        let known = self.number.fetch_max(stated, Ordering::SeqCst);
        if stated < known {
            return Stated::Outdated;
        }
        if stated == known {
            return Stated::None;
        }
        if known == UNSTATED {
            return Stated::First;
        }
        info!("event=store_restored era={stated} before={known}");
        self.restores.notify();
        Stated::Restored
    }

    /// A channel that receives a message after each restore.
    pub fn subscribe(&self) -> Receiver<()> {
        self.restores.subscribe()
    }
}

/// Version of a list that was read at a revision in an era. It increases with both, and with the
/// era first.
pub fn version(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | revision.min((1 << REVISION_BITS) - 1)
}

/// Fencing number below all that are given in an era and above all of earlier ones.
pub fn fence_base(era: u64) -> u64 {
    era << FENCE_BITS
}
