//! The queue: who goes next, and the place that it gets.

use {
    super::{
        Effect, Shard, Waiting,
        reservation::{self, Blocked, Plan, Reservation},
        review::RETRY_MIN,
    },
    crate::order::{Candidate, Pick},
    ffw_protocol::{
        admission::{Ask, Attempt, Basis, Cause, Grant, Phase, Reason, Refusal, Verdict},
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// Most requests that may pass one that fits no server yet.
const BYPASS_MAX: u32 = 16;

/// Time by which a first token must be predicted before its target to count on it.
const TARGET_MARGIN: Duration = Duration::from_millis(40);

impl Shard {
    /// Puts a request into the queue. Idempotent for one attempt.
    pub fn enqueue(&mut self, now: Moment, ask: Ask) {
        if self.find(&ask.attempt).is_some() {
            return;
        }
        if self.waiting.iter().any(|one| one.ask.attempt == ask.attempt) {
            return;
        }
        if let Some(cause) = self.impossible(&ask) {
            let refusal = Refusal { cause, retry_after: RETRY_MIN, basis: Basis::default() };
            self.effects.push(Effect::Answer(ask.attempt, Verdict::Refusal(refusal)));
            return;
        }
        self.activate(&ask.workspace);
        let arrival = now - ask.waited;
        let (target, deadline) = (now + ask.target, now + ask.patience);
        self.arrival_rate.add(now, &self.load_of(&ask, false));
        let output = self.expected_output(&ask);
        self.roles.note(&ask, output);
        let at = self.waiting.partition_point(|one| one.arrival <= arrival);
        self.waiting.insert(
            at,
            Waiting { ask, arrival, target, deadline, bypassed: 0, misses_target: false },
        );
        self.reviewed_at = Moment(0);
    }

    fn impossible(&self, ask: &Ask) -> Option<Cause> {
        let too_large = self.settings.pieces_of(ask) > self.settings.pieces;
        too_large.then_some(Cause::TooLarge)
    }

    fn activate(&mut self, workspace: &Arc<str>) {
        let placed = self.reservations.iter().map(|(_, reservation)| &reservation.ask.workspace);
        let waiting = self.waiting.iter().map(|one| &one.ask.workspace);
        let mut active: Vec<Arc<str>> = placed.chain(waiting).cloned().collect();
        active.sort();
        active.dedup();
        if active.binary_search(workspace).is_err() {
            self.fairness.activate(workspace, &active);
        }
    }

    /// Takes a request out of the queue whose caller is gone.
    pub fn withdraw(&mut self, attempt: &Attempt) {
        self.waiting.retain(|one| one.ask.attempt != *attempt);
    }

    pub(super) fn grant_all(&mut self, now: Moment) {
        self.wake_at = Moment::NEVER;
        let mut passed: Vec<usize> = Vec::new();
        let mut candidates = self.candidates(now);
        while let Some(pick) = self.pick(&candidates, &passed) {
            let found = self.search(now, pick.index);
            if pick.reason != Reason::Started
                && !candidates[pick.index].is_late
                && self.misses_target(pick.index, &found)
            {
                self.waiting[pick.index].misses_target = true;
                candidates[pick.index].is_late = true;
                candidates[pick.index].due = self.waiting[pick.index].deadline;
                continue;
            }
            match found {
                Ok(plan) => {
                    passed.iter().for_each(|at| self.waiting[*at].bypassed += 1);
                    let reason = if passed.is_empty() { pick.reason } else { Reason::Backfill };
                    self.grant(now, pick.index, reason, &plan);
                    candidates.remove(pick.index);
                    shift_down(&mut passed, pick.index);
                }
                Err(Blocked::Memory(at)) if self.waiting[pick.index].bypassed < BYPASS_MAX => {
                    self.wake_at = self.wake_at.min(at);
                    passed.push(pick.index);
                    passed.sort_unstable();
                }
                Err(Blocked::Memory(at) | Blocked::Until(at)) => {
                    self.wake_at = self.wake_at.min(at);
                    break;
                }
                Err(Blocked::NoServer) => break,
            }
        }
    }

    fn search(&self, now: Moment, index: usize) -> Result<Plan, Blocked> {
        let ask = &self.waiting[index].ask;
        let (prefills, decodes) = (&self.prefills, &self.decodes);
        let expected = self.planned_output(ask);
        reservation::search(
            now,
            ask,
            expected,
            &self.settings,
            prefills,
            decodes,
            &self.reservations,
        )
    }

    /// Whether the best place now, or the next one, comes too late for the target.
    fn misses_target(&self, index: usize, found: &Result<Plan, Blocked>) -> bool {
        let one = &self.waiting[index];
        let first_token = match found {
            Ok(plan) => plan.transfer_end + self.settings.token_time,
            Err(Blocked::Until(at) | Blocked::Memory(at)) => *at + self.own_time(&one.ask),
            Err(Blocked::NoServer) => return false,
        };
        first_token + TARGET_MARGIN > one.target
    }

    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let to_candidate = |one: &Waiting| {
            let is_late = self.is_late(now, one);
            Candidate {
                rank: one.ask.rank,
                workspace: one.ask.workspace.clone(),
                is_late,
                due: if is_late { one.deadline } else { one.target },
                arrival: one.arrival,
            }
        };
        self.waiting.iter().map(to_candidate).collect()
    }

    /// Whether the first token would miss its target even if the request started now.
    pub(super) fn is_late(&self, now: Moment, one: &Waiting) -> bool {
        one.misses_target || now + self.own_time(&one.ask) + TARGET_MARGIN > one.target
    }

    /// Time from the start of a request to its first token.
    pub(super) fn own_time(&self, ask: &Ask) -> Duration {
        self.settings.prefill_time(ask.tokens_in)
            + self.settings.transfer_time(ask.tokens_in)
            + self.settings.token_time
    }

    /// Output tokens that an answer is expected to have: between the caller's estimate and what
    /// answers had lately, as neither is exact.
    pub(super) fn expected_output(&self, ask: &Ask) -> u32 {
        let usual = f64::from(ask.tokens_out) * self.output_share;
        let expected = match ask.output_hint {
            Some(hint) => (f64::from(hint.max(1)) * usual).sqrt(),
            None => usual,
        };
        (expected as u32).clamp(1, ask.tokens_out.max(1))
    }

    /// Output tokens that a place is planned for: all that were asked for, where the memory for them
    /// is taken at the start.
    pub(super) fn planned_output(&self, ask: &Ask) -> u32 {
        if self.settings.memory_grows { self.expected_output(ask) } else { ask.tokens_out }
    }

    /// The first that goes on with work that was started, which would be wasted otherwise.
    fn first_started(&self, passed: &[usize]) -> Option<usize> {
        let is_open = |at: &usize| passed.binary_search(at).is_err();
        let started = (0..self.waiting.len()).filter(|at| self.waiting[*at].ask.is_read);
        started.filter(is_open).min_by_key(|at| self.waiting[*at].target)
    }

    fn pick(&self, candidates: &[Candidate], passed: &[usize]) -> Option<Pick> {
        if let Some(index) = self.first_started(passed) {
            return Some(Pick { index, reason: Reason::Started });
        }
        if passed.is_empty() {
            return self.fairness.pick(candidates);
        }
        let open: Vec<usize> =
            (0..candidates.len()).filter(|at| passed.binary_search(at).is_err()).collect();
        let rest: Vec<Candidate> = open.iter().map(|at| candidates[*at].clone()).collect();
        let mut pick = self.fairness.pick(&rest)?;
        pick.index = open[pick.index];
        Some(pick)
    }

    fn grant(&mut self, now: Moment, index: usize, reason: Reason, plan: &Plan) {
        let basis = self.basis(now, index, plan);
        let waiting = self.waiting.remove(index);
        self.granted += 1;
        let Some(decode) = self.decodes.get(plan.decode) else { return };
        let mut reader = decode.server.clone();
        if let Some(prefill) = plan.prefill.and_then(|key| self.prefills.get_mut(key)) {
            prefill.free_at = plan.prefill_end;
            reader = prefill.server.clone();
        }
        let grant = Grant {
            owner: self.owner.clone(),
            epoch: self.epoch,
            number: self.granted,
            prefill: reader,
            decode: decode.server.clone(),
            pieces: plan.pieces,
            start_in: plan.start.since(now),
            reason,
            basis,
        };
        let reservation = Reservation {
            prefill: plan.prefill,
            decode: plan.decode,
            pieces: plan.pieces,
            expected: plan.expected,
            phase: Phase::Prefill,
            emitted: 0,
            start: plan.start,
            prefill_end: plan.prefill_end,
            transfer_end: plan.transfer_end,
            heard: now,
            expires: self.expiry(now, &waiting.ask),
            since: now,
            missed: 0,
            told_at: Moment(0),
            charged: 0.0,
            cancelling: false,
            ask: waiting.ask,
        };
        let attempt = reservation.ask.attempt.clone();
        self.add_reservation(now, reservation);
        self.effects.push(Effect::Answer(attempt, Verdict::Grant(grant)));
    }

    fn basis(&self, now: Moment, index: usize, plan: &Plan) -> Basis {
        let picked = &self.waiting[index];
        let is_rival = |one: &&Waiting| {
            one.ask.rank == picked.ask.rank && one.ask.workspace != picked.ask.workspace
        };
        let rivals = self.waiting.iter().filter(is_rival);
        let least = rivals.map(|one| self.fairness.served(&one.ask.workspace)).reduce(f64::min);
        Basis {
            waiting: self.waiting.len() as u32,
            rank: picked.ask.rank,
            served: self.fairness.served(&picked.ask.workspace) as u64,
            served_least: least.unwrap_or(0.0) as u64,
            waited_ms: now.since(picked.arrival).as_millis() as u64,
            patience_ms: picked.deadline.since(now).as_millis() as u64,
            predicted_ms: plan.transfer_end.since(now).as_millis() as u64,
            cached: plan.cached,
            slots_free: plan.slots_free,
        }
    }
}

fn shift_down(indices: &mut [usize], removed: usize) {
    indices.iter_mut().filter(|at| **at > removed).for_each(|at| *at -= 1);
}
