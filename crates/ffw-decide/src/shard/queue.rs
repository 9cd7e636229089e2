//! The queue: which request is granted next, and the reservation that it gets.
//!
//! The order comes from [`crate::order`]. A request that lacks only memory lets a limited number of
//! others pass, so that a large request doesn't leave slots idle and isn't passed for ever. One
//! that only some servers may serve, such as a stream that goes on at its software version, lets
//! all others pass while it waits for them.

use {
    super::{
        Effect, Shard, Waiting,
        reservation::{self, Blocked, Plan, Reservation},
        review::RETRY_AFTER_MIN,
    },
    crate::order::{Candidate, Pick},
    ffw_protocol::{
        admission::{Ask, Attempt, Basis, Cause, Grant, Phase, Reason, Refusal, Verdict},
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// Maximum number of requests that may be granted before an earlier one for which no server has the
/// memory yet.
const BYPASS_MAX: u32 = 16;

/// Time by which a predicted first token must precede its target for the request to count as on
/// time.
const TARGET_MARGIN: Duration = Duration::from_millis(40);

impl Shard {
    /// Adds a request to the queue, or refuses it at once if no decode server is large enough for
    /// it. Does nothing if the attempt is in the queue or holds a reservation already.
    pub fn enqueue(&mut self, now: Moment, ask: Ask) {
        if self.find(&ask.attempt).is_some() {
            return;
        }
        if self.waiting.iter().any(|waiting| waiting.ask.attempt == ask.attempt) {
            return;
        }
        if let Some(cause) = self.rejection_cause(&ask) {
            let refusal = Refusal { cause, retry_after: RETRY_AFTER_MIN, basis: Basis::default() };
            self.effects.push(Effect::Answer(ask.attempt, Verdict::Refusal(refusal)));
            return;
        }
        self.activate_workspace(&ask.workspace);
        let arrival = now - ask.waited;
        let (target, deadline) = (now + ask.target, now + ask.patience);
        self.arrival_rate.add(now, &self.load_of(&ask, false));
        let output = self.expected_output(&ask);
        self.roles.record_request(&ask, output);
        let index = self.waiting.partition_point(|waiting| waiting.arrival <= arrival);
        self.waiting.insert(
            index,
            Waiting { ask, arrival, target, deadline, bypassed: 0, misses_target: false },
        );
        self.reviewed_at = Moment(0);
    }

    fn rejection_cause(&self, ask: &Ask) -> Option<Cause> {
        let too_large = self.settings.pieces_of(ask) > self.settings.pieces;
        too_large.then_some(Cause::TooLarge)
    }

    fn activate_workspace(&mut self, workspace: &Arc<str>) {
        let granted = self.reservations.iter().map(|(_, reservation)| &reservation.ask.workspace);
        let waiting = self.waiting.iter().map(|waiting| &waiting.ask.workspace);
        let mut active: Vec<Arc<str>> = granted.chain(waiting).cloned().collect();
        active.sort();
        active.dedup();
        if active.binary_search(workspace).is_err() {
            self.fairness.raise_to_least_served(workspace, &active);
        }
    }

    /// Removes a request from the queue, for example because its caller has disconnected.
    pub fn withdraw(&mut self, attempt: &Attempt) {
        self.waiting.retain(|waiting| waiting.ask.attempt != *attempt);
    }

    /// Grants requests in order until the next one has to wait for a slot or a server, or has been
    /// passed too often.
    pub(super) fn grant_all(&mut self, now: Moment) {
        self.wake_at = Moment::NEVER;
        let mut passed: Vec<usize> = Vec::new();
        let mut candidates = self.candidates(now);
        let mut open = self.open_handovers();
        while let Some(pick) = self.pick(&candidates, &passed) {
            if !self.handover.may_grant(open) {
                break;
            }
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
                    passed.iter().for_each(|index| self.waiting[*index].bypassed += 1);
                    let reason = if passed.is_empty() { pick.reason } else { Reason::Backfill };
                    self.grant(now, pick.index, reason, &plan);
                    open += 1;
                    candidates.remove(pick.index);
                    shift_indices(&mut passed, pick.index);
                }
                Err(Blocked::Memory(retry_at))
                    if self.waiting[pick.index].bypassed < BYPASS_MAX =>
                {
                    self.wake_at = self.wake_at.min(retry_at);
                    passed.push(pick.index);
                    passed.sort_unstable();
                }
                // What it waits for is not what the requests behind it wait for.
                Err(blocked) if self.excludes_servers(pick.index) => {
                    self.wake_at = self.wake_at.min(blocked.retry_at());
                    passed.push(pick.index);
                    passed.sort_unstable();
                }
                Err(Blocked::Memory(retry_at) | Blocked::Until(retry_at)) => {
                    self.wake_at = self.wake_at.min(retry_at);
                    break;
                }
                Err(Blocked::NoServer) => break,
            }
        }
    }

    /// Whether only some of the servers may serve a request.
    fn excludes_servers(&self, index: usize) -> bool {
        !self.waiting[index].ask.avoid.is_empty()
    }

    fn search(&self, now: Moment, index: usize) -> Result<Plan, Blocked> {
        let ask = &self.waiting[index].ask;
        let (prefills, decodes) = (&self.prefills, &self.decodes);
        let expected_output = self.planned_output(ask);
        reservation::search(
            now,
            ask,
            expected_output,
            &self.settings,
            prefills,
            decodes,
            &self.reservations,
        )
    }

    /// Whether the reservation that was found, or otherwise the one that is predicted next, gives a
    /// first token later than the target.
    fn misses_target(&self, index: usize, found: &Result<Plan, Blocked>) -> bool {
        let waiting = &self.waiting[index];
        let first_token = match found {
            Ok(plan) => plan.transfer_end + self.settings.token_time,
            Err(Blocked::Until(start) | Blocked::Memory(start)) => {
                *start + self.first_token_time(&waiting.ask)
            }
            Err(Blocked::NoServer) => return false,
        };
        first_token + TARGET_MARGIN > waiting.target
    }

    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let to_candidate = |waiting: &Waiting| {
            let is_late = self.is_late(now, waiting);
            Candidate {
                rank: waiting.ask.rank,
                workspace: waiting.ask.workspace.clone(),
                is_late,
                due: if is_late { waiting.deadline } else { waiting.target },
                arrival: waiting.arrival,
            }
        };
        self.waiting.iter().map(to_candidate).collect()
    }

    /// Whether the first token would miss its target even if the request started now, or a search
    /// has found that it misses the target.
    pub(super) fn is_late(&self, now: Moment, waiting: &Waiting) -> bool {
        waiting.misses_target
            || now + self.first_token_time(&waiting.ask) + TARGET_MARGIN > waiting.target
    }

    /// Time from the start of a request's prefill to its first token.
    pub(super) fn first_token_time(&self, ask: &Ask) -> Duration {
        self.settings.prefill_time(ask.tokens_in)
            + self.settings.transfer_time(ask.tokens_in)
            + self.settings.token_time
    }

    /// Expected output tokens: the geometric mean of the caller's estimate and what recent answers
    /// suggest, as neither is exact. Without an estimate, what recent answers suggest.
    pub(super) fn expected_output(&self, ask: &Ask) -> u32 {
        let usual = f64::from(ask.tokens_out) * self.output_share;
        let expected = match ask.output_hint {
            Some(hint) => (f64::from(hint.max(1)) * usual).sqrt(),
            None => usual,
        };
        (expected as u32).clamp(1, ask.tokens_out.max(1))
    }

    /// Output tokens for which a reservation is planned: the expected ones if memory grows with the
    /// output, and the requested maximum if the engine allocates all memory at the start.
    pub(super) fn planned_output(&self, ask: &Ask) -> u32 {
        if self.settings.memory_grows { self.expected_output(ask) } else { ask.tokens_out }
    }

    /// The request with the nearest target among those whose prompt is prefilled already. They go
    /// first, because their prefill would be wasted otherwise.
    fn first_started(&self, passed: &[usize]) -> Option<usize> {
        let is_open = |index: &usize| passed.binary_search(index).is_err();
        let started = (0..self.waiting.len()).filter(|index| self.waiting[*index].ask.is_read);
        started.filter(is_open).min_by_key(|index| self.waiting[*index].target)
    }

    fn pick(&self, candidates: &[Candidate], passed: &[usize]) -> Option<Pick> {
        if let Some(index) = self.first_started(passed) {
            return Some(Pick { index, reason: Reason::Started });
        }
        if passed.is_empty() {
            return self.fairness.pick(candidates);
        }
        let open: Vec<usize> =
            (0..candidates.len()).filter(|index| passed.binary_search(index).is_err()).collect();
        let remaining: Vec<Candidate> =
            open.iter().map(|index| candidates[*index].clone()).collect();
        let mut pick = self.fairness.pick(&remaining)?;
        pick.index = open[pick.index];
        Some(pick)
    }

    fn grant(&mut self, now: Moment, index: usize, reason: Reason, plan: &Plan) {
        let basis = self.basis(now, index, plan);
        let waiting = self.waiting.remove(index);
        self.grant_count += 1;
        let Some(decode) = self.decodes.get(plan.decode) else { return };
        let mut prefill_server = decode.server.clone();
        if let Some(prefill) = plan.prefill.and_then(|key| self.prefills.get_mut(key)) {
            prefill.free_at = plan.prefill_end;
            prefill_server = prefill.server.clone();
        }
        let grant = Grant {
            owner: self.owner.clone(),
            epoch: self.epoch,
            number: self.grant_count,
            prefill: prefill_server,
            decode: decode.server.clone(),
            pieces: plan.pieces,
            start_in: plan.sent_at.since(now),
            reason,
            basis,
        };
        let reservation = Reservation {
            prefill: plan.prefill,
            decode: plan.decode,
            pieces: plan.pieces,
            expected_output: plan.expected_output,
            phase: Phase::Prefill,
            emitted: 0,
            sent_at: plan.sent_at,
            nominal_prefill: plan.nominal_prefill,
            prefill_end: plan.prefill_end,
            transfer_end: plan.transfer_end,
            last_reported_at: now,
            expires_at: self.expiry(now, &waiting.ask),
            reserved_at: now,
            missed_renewals: 0,
            move_requested_at: Moment(0),
            charged_tokens: 0.0,
            cancelling: false,
            ask: waiting.ask,
        };
        let attempt = reservation.ask.attempt.clone();
        self.add_reservation(now, reservation);
        self.effects.push(Effect::Answer(attempt, Verdict::Grant(grant)));
    }

    /// The values that decide a grant, which the entry receives with it.
    fn basis(&self, now: Moment, index: usize, plan: &Plan) -> Basis {
        let picked = &self.waiting[index];
        let is_rival = |waiting: &&Waiting| {
            waiting.ask.rank == picked.ask.rank && waiting.ask.workspace != picked.ask.workspace
        };
        let rivals = self.waiting.iter().filter(is_rival);
        let least = rivals.map(|rival| self.fairness.served(&rival.ask.workspace)).reduce(f64::min);
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

/// Adjusts indices of the queue for the removal of one element.
fn shift_indices(indices: &mut [usize], removed: usize) {
    indices.iter_mut().filter(|index| **index > removed).for_each(|index| *index -= 1);
}
