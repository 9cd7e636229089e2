//! Quarantine of parts of prompts that crash the backend servers which run them.
//!
//! The load pattern is a stream of different requests from different callers that have one part of
//! their prompts in common, under which each server crashes that begins to answer. Without a
//! quarantine such requests end one server after the other, and with each server all other runs on
//! it.
//!
//! The parts of all runs that a crash ended are suspects. A part is cleared if runs with it end
//! well, and held if servers crashed under it again and again, at different moments and with
//! different prompts, and none ended well. The part that explains the most crashes is held first;
//! the other runs that these crashes ended were victims, and their parts are not blamed. Parts that
//! were in the same runs can't be told apart, so only a prompt with all of them is held; the first
//! prompt with some of them tells. Servers that crash at the same moment have a common cause
//! elsewhere, and count once.
//!
//! All daemons exchange their evidence and come to the same verdicts. The evidence waits a moment
//! before it counts, in which daemons whose runs ended well can say so.
//!
//! A run that was not answered yet, or whose answer had just begun, tells more than one in its
//! midst: a part under which a server crashes as it begins to answer never gets further. A part
//! that stood there in crash after crash, and that nothing else explains, is held without doubt.
//! Other parts may be those of victims, and a bounded number of requests with them is tried.

mod cleared;
mod evidence;
mod suspect;
mod verdict;

use {
    cleared::Clearances,
    ffw_protocol::{
        quarantine::{Cause, Progress, Prompt},
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
    suspect::{REPORT_TIME, Record, Suspect},
    verdict::Verdict,
};

/// Crashes at different moments under which a part is held.
const CRASHES_MIN: usize = 3;

/// Different prompts among the runs that these crashes ended.
const PROMPTS_MIN: usize = 3;

/// Weight of the crashes under which a part is held: three of runs that were not answered yet, five
/// of runs that had just begun, or six of runs in their midst.
const WEIGHT_MIN: usize = 30;

/// Time from the first crash under a part until it may be held.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Age from which a crash counts: until then, daemons may still report runs that it ended.
const EVIDENCE_TIME: Duration = Duration::from_millis(500);

/// Age at which a crash no longer counts, unless a set is held because of it.
const CRASH_LIFETIME: Duration = verdict::FIRST_TERM;

/// Crashes from which on parts are held although others explain the same crashes.
const AMBIGUOUS_CRASHES_MIN: usize = 5;

/// Largest numbers of crashed runs, of sets that are held or on trial, and of sets that were released
/// whose clearings are still told to others.
const CRASHES_MAX: usize = 128;
const VERDICTS_MAX: usize = 64;
const RELEASED_MAX: usize = 64;

/// Largest number of parts of a prompt that are looked at.
const PARTS_MAX: usize = 16;

/// Added to each moment, so that what happened before this process started has a moment too.
const BEFORE_START: Duration = Duration::from_secs(7_200);

/// Parts that are held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The parts, sorted; a prompt is held if it has all of them.
    pub parts: Vec<u64>,
    /// Crashes that led to it; those at the same moment count once.
    pub crashes: usize,
    /// Different prompts among the runs that they ended.
    pub prompts: usize,
    /// Servers that crashed.
    pub servers: Vec<Arc<str>>,
    /// Whether these parts may have been those of victims: others explain the crashes as well, or
    /// a crash ended a run with them that was in the midst of its answer. Few requests with them
    /// are tried, one by one.
    pub is_in_doubt: bool,
}

/// Whose evidence is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// That of all daemons.
    Fleet,
    /// That of this daemon, and what others have told earlier. The runs that crashed the servers
    /// may be missing, and those of the victims not.
    Own,
}

/// Change of what is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Requests with these parts are refused from now on.
    Held(Held),
    /// Requests with these parts are no longer refused.
    Released(Vec<u64>),
    /// The quarantine of these parts has expired; they are on trial.
    OnTrial(Vec<u64>),
}

/// Evidence about the servers of one pool, and what is held because of it.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Record>,
    cleared: Clearances,
    /// Held or on trial.
    verdicts: Vec<Verdict>,
    released: Vec<Released>,
}

/// A set that is no longer held.
#[derive(Clone, Debug)]
struct Released {
    parts: Vec<u64>,
    /// Tries that count again if the set is held once more: none if its parts were cleared.
    tries: u32,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It may be sent.
    Pass,
    /// It may be sent once, to find out whether these sets of parts crash servers.
    Try(Vec<Tried>),
    /// It is not sent.
    Refuse(Refusal),
}

/// A set of parts with which a request is tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tried {
    /// The parts.
    pub parts: Vec<u64>,
    /// Tries of the set before this one.
    pub before: u32,
    /// Whether its quarantine has expired; otherwise, it is in doubt.
    pub is_on_trial: bool,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Parts that the prompt has.
    pub parts: Vec<u64>,
    /// Time until such a request may be tried again.
    pub left: Duration,
}

impl Quarantine {
    /// Records a run that ended because its server crashed; returns whether it was a try.
    pub fn record_crash(
        &mut self,
        now: Moment,
        server: &Arc<str>,
        prompt: &Prompt,
        progress: Progress,
    ) -> bool {
        let prompt = bounded(prompt);
        if prompt.shared.is_empty() {
            return false;
        }
        let mut was_try = false;
        for verdict in self.verdicts.iter_mut().filter(|verdict| verdict.is_of(&prompt)) {
            was_try |= verdict.record_crash(&prompt, inner(now));
        }
        let (server, at) = (server.clone(), inner(now));
        self.add_crash(Record { server, prompt, progress, at });
        was_try
    }

    /// Records a run that ended well.
    pub fn record_success(&mut self, now: Moment, prompt: &Prompt) {
        for part in bounded(prompt).shared {
            self.cleared.record(part, Cause::EndedWell, inner(now));
        }
        // A set on trial is let through again at once, not only at the next update.
        self.drop_cleared(|verdict| verdict.is_on_trial);
    }

    /// Lifts the quarantine of a part: crashes before now are no longer put down to it. Returns
    /// whether it was held or on trial.
    pub fn lift(&mut self, now: Moment, part: u64) -> bool {
        let was_held = self.verdicts.iter().any(|verdict| verdict.parts.contains(&part));
        self.cleared.record(part, Cause::Lifted, inner(now));
        self.drop_cleared(|verdict| verdict.is_on_trial);
        was_held
    }

    /// Whether there is any evidence of crashes.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// What is held now, with the time until it expires.
    pub fn held(&self, now: Moment) -> Vec<(Held, Duration)> {
        let now = inner(now);
        let held = self.verdicts.iter().filter(|verdict| !verdict.is_on_trial);
        held.map(|verdict| (to_held(verdict), verdict.until().since(now))).collect()
    }

    /// Parts whose quarantine has expired and that are tried again, with the time until a refused
    /// request may come back.
    pub fn on_trial(&self, now: Moment) -> Vec<(Vec<u64>, Duration)> {
        let now = inner(now);
        let on_trial = self.verdicts.iter().filter(|verdict| verdict.is_on_trial);
        on_trial.map(|verdict| (verdict.parts.clone(), verdict.retry_after(now))).collect()
    }

    /// Sets with which a request may be tried now.
    pub fn due_tries(&self, now: Moment) -> Vec<Vec<u64>> {
        let now = inner(now);
        let due = self.verdicts.iter().filter(|verdict| verdict.may_try(now));
        due.map(|verdict| verdict.parts.clone()).collect()
    }

    /// Decides about a request with this prompt. `allows` tells whether this daemon may try a
    /// request with all these sets, which is then recorded.
    pub fn rule(
        &mut self,
        now: Moment,
        prompt: &Prompt,
        allows: impl FnOnce(&[Vec<u64>]) -> bool,
    ) -> Ruling {
        let now = inner(now);
        let of_prompt = self.verdicts.iter_mut().filter(|verdict| verdict.is_of(prompt));
        let mut of_prompt: Vec<&mut Verdict> = of_prompt.collect();
        let Some(first) = of_prompt.first() else { return Ruling::Pass };
        let refusal = Refusal { parts: first.parts.clone(), left: first.retry_after(now) };
        let sets: Vec<Vec<u64>> = of_prompt.iter().map(|verdict| verdict.parts.clone()).collect();
        let is_due = of_prompt.iter().all(|verdict| verdict.may_try(now));
        if !is_due || !allows(&sets) {
            return Ruling::Refuse(refusal);
        }
        // A crash under several sets does not tell which of them is the cause.
        let tried = (sets.len() == 1).then_some(prompt.own);
        let tries = of_prompt.iter_mut().map(|verdict| verdict.record_try(now, tried));
        Ruling::Try(tries.collect())
    }

    /// Takes back that a request with these sets was tried, as it was sent to no server.
    pub fn return_try(&mut self, now: Moment, prompt: &Prompt, tries: &[Tried]) {
        let now = inner(now);
        let of_tries = self.verdicts.iter_mut().filter(|verdict| verdict.is_among(tries));
        of_tries.for_each(|verdict| verdict.return_try(now, prompt.own));
    }

    /// Lets the next request with these sets be tried soon, as the last one has settled nothing.
    pub fn record_unsettled(&mut self, now: Moment, tries: &[Tried]) {
        let now = inner(now);
        let of_tries = self.verdicts.iter_mut().filter(|verdict| verdict.is_among(tries));
        of_tries.for_each(|verdict| verdict.record_unsettled(now));
    }

    /// Why a request with this prompt that is not tried is refused; `None` if it may be sent.
    pub fn refusal(&self, now: Moment, prompt: &Prompt) -> Option<Refusal> {
        let now = inner(now);
        let verdict = self.verdicts.iter().find(|verdict| verdict.is_of(prompt))?;
        Some(Refusal { parts: verdict.parts.clone(), left: verdict.retry_after(now) })
    }

    /// Whether a prompt has parts that are held or on trial.
    pub fn is_held(&self, prompt: &Prompt) -> bool {
        self.verdicts.iter().any(|verdict| verdict.is_of(prompt))
    }

    /// Decides anew what is held; returns what has changed. Own evidence alone holds no further
    /// parts.
    pub fn update(&mut self, now: Moment, coverage: Coverage) -> Vec<Change> {
        let now = inner(now);
        self.forget_crashes(now);
        let judged = self.judge(now);
        let mut changes = self.drop_cleared(|_| true);
        changes.extend(self.drop_unfounded(now, &judged));
        for new in judged {
            changes.extend(self.hold(new, coverage));
        }
        self.hold_again(now);
        for verdict in &mut self.verdicts {
            let is_expired = verdict.is_expired(now);
            if is_expired && !verdict.is_on_trial {
                changes.push(Change::OnTrial(verdict.parts.clone()));
            } else if !is_expired && verdict.is_on_trial {
                changes.push(Change::Held(to_held(verdict)));
            }
            verdict.is_on_trial = is_expired;
            verdict.stands_alone |= is_expired;
        }
        changes
    }

    /// Forgets crashes that are too old, unless a verdict rests on them.
    fn forget_crashes(&mut self, now: Moment) {
        let Quarantine { crashes, verdicts, .. } = self;
        crashes.retain(|record| {
            let is_needed = |verdict: &Verdict| {
                !verdict.stands_alone && !verdict.is_expired(now) && verdict.is_of(&record.prompt)
            };
            now.since(record.at) < CRASH_LIFETIME || verdicts.iter().any(is_needed)
        });
    }

    /// Takes cleared parts out of the verdicts that are asked for; returns what has changed.
    fn drop_cleared(&mut self, is_asked: impl Fn(&Verdict) -> bool) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut verdicts = std::mem::take(&mut self.verdicts);
        verdicts.retain_mut(|verdict| {
            let before = verdict.parts.clone();
            if !is_asked(verdict) || !verdict.drop_cleared(&self.cleared) {
                return true;
            }
            if verdict.parts.is_empty() {
                self.record_released(&before, 0);
                changes.push(Change::Released(before));
                return false;
            }
            changes.push(Change::Held(to_held(verdict)));
            true
        });
        self.verdicts = verdicts;
        changes
    }

    /// Drops the verdicts that the crashes no longer lead to, although these are known.
    fn drop_unfounded(&mut self, now: Moment, judged: &[Verdict]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut verdicts = std::mem::take(&mut self.verdicts);
        verdicts.retain(|verdict| {
            let is_founded = verdict.stands_alone
                || verdict.is_expired(now)
                || judged.iter().any(|new| new.covers(&verdict.parts));
            if !is_founded {
                self.record_released(&verdict.parts, verdict.tries);
                changes.push(Change::Released(verdict.parts.clone()));
            }
            is_founded
        });
        self.verdicts = verdicts;
        changes
    }

    /// Holds a set to which the crashes lead; returns whether that is news.
    fn hold(&mut self, new: Verdict, coverage: Coverage) -> Option<Change> {
        if let Some(known) = self.verdicts.iter_mut().find(|known| known.parts == new.parts) {
            known.refresh(new);
            return None;
        }
        // Parts of the set that was held were cleared.
        if let Some(known) = self.verdicts.iter_mut().find(|known| new.covers(&known.parts)) {
            known.refresh(new);
            return Some(Change::Held(to_held(known)));
        }
        let is_covered = self.verdicts.iter().any(|known| known.covers(&new.parts));
        if is_covered || coverage == Coverage::Own {
            return None;
        }
        let change = Change::Held(to_held(&new));
        self.add_verdict(new);
        Some(change)
    }

    /// Holds sets that stand alone again, or for longer, if a server has crashed under them since.
    fn hold_again(&mut self, now: Moment) {
        let Quarantine { crashes, verdicts, cleared, .. } = self;
        for verdict in verdicts.iter_mut().filter(|verdict| verdict.stands_alone) {
            let is_blamed = |record: &&Record| {
                verdict.is_of(&record.prompt)
                    && now.since(record.at) >= EVIDENCE_TIME
                    && verdict.parts.iter().all(|part| cleared.is_blamed(*part, record.at))
            };
            let last = crashes.iter().filter(is_blamed).map(|record| record.at).max();
            verdict.last_crash_at = last.unwrap_or_default().max(verdict.last_crash_at);
        }
    }

    fn add_verdict(&mut self, mut verdict: Verdict) {
        if let Some(index) = self.released.iter().position(|known| known.parts == verdict.parts) {
            verdict.tries = verdict.tries.max(self.released.remove(index).tries);
        }
        if self.verdicts.len() < VERDICTS_MAX {
            self.verdicts.push(verdict);
        }
    }

    fn record_released(&mut self, parts: &[u64], tries: u32) {
        self.released.push(Released { parts: parts.to_vec(), tries });
        if self.released.len() > RELEASED_MAX {
            self.released.remove(0);
        }
    }

    /// The sets of parts to hold. The part that explains the most crashes comes first, and crashes
    /// that it explains are not put down to others: the other runs on these servers were victims.
    fn judge(&self, now: Moment) -> Vec<Verdict> {
        let mut all = Vec::new();
        let candidates = self.candidates();
        let is_put_down = |record: &Record, part: u64| self.is_put_down(record, part);
        let mut unexplained = suspect::events(&self.crashes);
        unexplained.retain(|event| now.since(event.at()) >= EVIDENCE_TIME);
        loop {
            let suspects: Vec<Suspect> = candidates
                .iter()
                .filter_map(|part| Suspect::new(*part, &unexplained, is_put_down))
                .collect();
            let is_held = |suspect: &&Suspect| is_enough(now, suspect);
            let Some(first) = suspects.iter().filter(is_held).max_by_key(|suspect| suspect.rank())
            else {
                return all;
            };
            let is_ambiguous = suspects.iter().any(|other| first.is_like(other));
            if is_ambiguous && first.crashes < AMBIGUOUS_CRASHES_MIN {
                return all;
            }
            unexplained.retain(|event| !event.has(&first.parts));
            all.push(Verdict::new(first, is_ambiguous || first.may_be_victim()));
        }
    }

    /// Whether a crashed run is put down to a part: its prompt has the part, which was not cleared.
    fn is_put_down(&self, record: &Record, part: u64) -> bool {
        record.prompt.shared.contains(&part) && self.cleared.is_blamed(part, record.at)
    }

    /// The parts that are in enough runs to be held, in order.
    fn candidates(&self) -> Vec<u64> {
        let mut parts = self.parts();
        let runs = |part: &u64| {
            self.crashes.iter().filter(|record| record.prompt.shared.contains(part)).count()
        };
        parts.retain(|part| runs(part) >= CRASHES_MIN);
        parts
    }

    fn add_crash(&mut self, record: Record) {
        let is_known =
            |known: &Record| known.server == record.server && known.prompt.own == record.prompt.own;
        let is_earlier = |known: &Record| {
            known.server == record.server && record.at.since(known.at) > REPORT_TIME
        };
        if let Some(known) = self.crashes.iter_mut().find(|known| is_known(known)) {
            // What was read from the store is older than it seems.
            known.at = known.at.min(record.at);
            known.progress = known.progress.min(record.progress);
            return;
        }
        if self.crashes.iter().any(is_earlier) {
            return;
        }
        self.crashes.push(record);
        if self.crashes.len() > CRASHES_MAX {
            // Runs in their midst are more frequent, and tell less.
            let oldest = (0..self.crashes.len()).min_by_key(|index| {
                let record = &self.crashes[*index];
                (record.progress != Progress::Midway, record.at)
            });
            oldest.map(|index| self.crashes.swap_remove(index));
        }
    }
}

fn is_enough(now: Moment, suspect: &Suspect) -> bool {
    suspect.crashes >= CRASHES_MIN
        && suspect.prompts >= PROMPTS_MIN
        && suspect.weight >= WEIGHT_MIN
        && now.since(suspect.first_at) >= SETTLE_TIME
}

fn inner(now: Moment) -> Moment {
    now + BEFORE_START
}

fn bounded(prompt: &Prompt) -> Prompt {
    let shared = prompt.shared.iter().take(PARTS_MAX).copied().collect();
    Prompt { own: prompt.own, shared }
}

fn has_all(prompt: &Prompt, parts: &[u64]) -> bool {
    parts.iter().all(|part| prompt.shared.contains(part))
}

fn is_subset(parts: &[u64], of: &[u64]) -> bool {
    parts.iter().all(|part| of.contains(part))
}

fn to_held(verdict: &Verdict) -> Held {
    Held {
        parts: verdict.parts.clone(),
        crashes: verdict.crashes,
        prompts: verdict.prompts,
        servers: verdict.servers.clone(),
        is_in_doubt: verdict.is_in_doubt,
    }
}
