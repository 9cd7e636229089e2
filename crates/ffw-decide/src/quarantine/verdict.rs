//! Sets of parts that were found to crash servers, and the requests with them that are tried.
//!
//! A verdict rests on the crashes that led to it until its first term is over: as long as these are
//! known, they decide whether it holds. Afterwards, or if a try has crashed its server, or if it was
//! read from the store, it stands alone until its parts are cleared.
//!
//! A try is one request that is let through. If it ends well, its parts are cleared; if it crashes
//! its server, the set is guilty. Both settle the matter. A try that ends otherwise settles nothing
//! but counts, so the number of tries of a set is bounded whatever becomes of them.

use {
    super::{Tried, cleared::Clearances, has_all, is_subset, suspect::Suspect},
    ffw_protocol::{
        quarantine::{self as protocol, Prompt},
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// Time for which a set is held after the last crash under it.
pub(super) const FIRST_TERM: Duration = Duration::from_secs(600);

/// The same after a try has crashed its server.
const LATER_TERM: Duration = Duration::from_secs(3_600);

/// Requests with a set that are let through in all, until an operator lifts its quarantine.
pub(super) const TRIES_MAX: u32 = 3;

/// Of these, those that are made in the first term, while the set is in doubt.
const DOUBT_TRIES_MAX: u32 = 2;

/// Tries that crash their servers after which no more are made.
const FAILED_TRIES_MAX: u32 = 2;

/// Time between two tries of a set. Most streams have ended by then.
const TRY_PAUSE: Duration = Duration::from_secs(10);

/// The same after a try that has settled nothing. A crash that has ended it is known by then.
const UNSETTLED_PAUSE: Duration = Duration::from_secs(2);

/// Time after which a request may come back if no further try will be made.
const LIFTED_ONLY_PAUSE: Duration = Duration::from_secs(3_600);

/// A set of parts that was found to crash servers.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    /// Sorted; a prompt is held if it has all of them.
    pub(super) parts: Vec<u64>,
    pub(super) crashes: usize,
    pub(super) prompts: usize,
    pub(super) servers: Vec<Arc<str>>,
    /// Whether the crashes leave room for another cause.
    pub(super) is_in_doubt: bool,
    /// Whether it no longer depends on the crashes that led to it.
    pub(super) stands_alone: bool,
    pub(super) last_crash_at: Moment,
    pub(super) tries: u32,
    failed_tries: u32,
    next_try_at: Moment,
    /// Prompts of the tries that this daemon made.
    tried: Vec<u64>,
    /// Whether its first term was seen to be over.
    pub(super) is_on_trial: bool,
}

impl Verdict {
    pub(super) fn new(suspect: &Suspect, is_in_doubt: bool) -> Verdict {
        Verdict {
            parts: suspect.parts.clone(),
            crashes: suspect.crashes,
            prompts: suspect.prompts,
            servers: suspect.servers.clone(),
            is_in_doubt,
            stands_alone: false,
            last_crash_at: suspect.last_at,
            tries: 0,
            failed_tries: 0,
            next_try_at: Moment::default(),
            tried: Vec::new(),
            is_on_trial: false,
        }
    }

    pub(super) fn from_stored(now: Moment, stored: &protocol::Verdict) -> Verdict {
        Verdict {
            parts: stored.parts.clone(),
            crashes: stored.crashes as usize,
            prompts: stored.prompts as usize,
            servers: Vec::new(),
            is_in_doubt: stored.is_in_doubt,
            stands_alone: true,
            last_crash_at: now - stored.age,
            tries: stored.tries,
            failed_tries: stored.failed_tries,
            next_try_at: Moment::default(),
            tried: Vec::new(),
            is_on_trial: false,
        }
    }

    pub(super) fn to_stored(&self, now: Moment) -> protocol::Verdict {
        protocol::Verdict {
            parts: self.parts.clone(),
            crashes: self.crashes as u32,
            prompts: self.prompts as u32,
            is_in_doubt: self.is_in_doubt,
            tries: self.tries,
            failed_tries: self.failed_tries,
            age: now.since(self.last_crash_at),
        }
    }

    /// Takes over what the crashes say now.
    pub(super) fn refresh(&mut self, new: Verdict) {
        self.is_in_doubt = new.is_in_doubt && self.failed_tries == 0;
        self.last_crash_at = self.last_crash_at.max(new.last_crash_at);
        let Verdict { parts, crashes, prompts, servers, .. } = new;
        (self.parts, self.crashes, self.prompts, self.servers) = (parts, crashes, prompts, servers);
    }

    /// Takes over the tries that another daemon has recorded.
    pub(super) fn merge_tries(&mut self, stored: &protocol::Verdict) {
        self.tries = self.tries.max(stored.tries);
        self.failed_tries = self.failed_tries.max(stored.failed_tries);
        self.is_in_doubt &= self.failed_tries == 0;
    }

    /// Takes out the parts that were cleared since the last crash; returns whether there were any.
    pub(super) fn drop_cleared(&mut self, cleared: &Clearances) -> bool {
        let count = self.parts.len();
        self.parts.retain(|part| cleared.is_blamed(*part, self.last_crash_at));
        self.parts.len() < count
    }

    pub(super) fn is_of(&self, prompt: &Prompt) -> bool {
        has_all(prompt, &self.parts)
    }

    pub(super) fn covers(&self, parts: &[u64]) -> bool {
        is_subset(&self.parts, parts)
    }

    /// When the set is no longer held without a trial.
    pub(super) fn until(&self) -> Moment {
        self.last_crash_at + if self.failed_tries == 0 { FIRST_TERM } else { LATER_TERM }
    }

    pub(super) fn is_expired(&self, now: Moment) -> bool {
        now >= self.until()
    }

    /// Whether a request with the set may be tried now.
    pub(super) fn may_try(&self, now: Moment) -> bool {
        let tries_max = if self.is_expired(now) { TRIES_MAX } else { DOUBT_TRIES_MAX };
        let has_reason = self.is_in_doubt || self.is_expired(now);
        has_reason && self.has_tries_left(tries_max) && now >= self.next_try_at
    }

    fn has_tries_left(&self, tries_max: u32) -> bool {
        self.tries < tries_max && self.failed_tries < FAILED_TRIES_MAX
    }

    /// Records that a request is tried; `own` is what tells its prompt apart, if a crash under it
    /// proves the set guilty.
    pub(super) fn record_try(&mut self, now: Moment, own: Option<u64>) -> Tried {
        let (parts, before) = (self.parts.clone(), self.tries);
        let tried = Tried { parts, before, is_on_trial: self.is_expired(now) };
        self.tries += 1;
        self.next_try_at = now + TRY_PAUSE;
        self.tried.extend(own);
        tried
    }

    pub(super) fn is_among(&self, tries: &[Tried]) -> bool {
        tries.iter().any(|tried| tried.parts == self.parts)
    }

    /// Takes back a try that was sent to no server.
    pub(super) fn return_try(&mut self, now: Moment, own: u64) {
        self.tries = self.tries.saturating_sub(1);
        self.next_try_at = now;
        self.tried.retain(|tried| *tried != own);
    }

    /// Lets the next try come soon, as the last one has settled nothing.
    pub(super) fn record_unsettled(&mut self, now: Moment) {
        self.next_try_at = self.next_try_at.min(now + UNSETTLED_PAUSE);
    }

    /// Records a crash under a prompt with the set; returns whether it was that of a try.
    pub(super) fn record_crash(&mut self, prompt: &Prompt, at: Moment) -> bool {
        let Some(index) = self.tried.iter().position(|own| *own == prompt.own) else {
            return false;
        };
        self.tried.swap_remove(index);
        self.failed_tries += 1;
        self.is_in_doubt = false;
        self.stands_alone = true;
        self.last_crash_at = self.last_crash_at.max(at);
        true
    }

    /// Time until a refused request may come back.
    pub(super) fn retry_after(&self, now: Moment) -> Duration {
        match (self.is_expired(now), self.is_in_doubt) {
            (false, true) if self.has_tries_left(DOUBT_TRIES_MAX) => TRY_PAUSE,
            (false, _) => self.until().since(now),
            (true, _) if self.has_tries_left(TRIES_MAX) => TRY_PAUSE,
            (true, _) => LIFTED_ONLY_PAUSE,
        }
    }
}
