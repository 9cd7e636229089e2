//! Periodic review of the queue: refuses requests that can't have their first token before their
//! deadline any more, instead of letting them wait until it has passed.

use {
    super::{Effect, Shard},
    crate::estimate,
    ffw_protocol::{
        admission::{Ask, Basis, Cause, Refusal, Verdict},
        time::Moment,
    },
    std::time::Duration,
};

/// Time between two reviews of the queue; a new request brings the next one forward.
pub(super) const REVIEW_PERIOD: Duration = Duration::from_millis(25);

/// Least time after which a refused caller may retry.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Most time after which a refused caller may retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

impl Shard {
    /// Refuses requests whose predicted first token is later than their deadline. Refuses all
    /// requests if no decode server accepts work, or no prefill server does and decode servers
    /// can't prefill prompts.
    pub(super) fn refuse_unservable(&mut self, now: Moment) {
        if now.since(self.reviewed_at) < REVIEW_PERIOD || self.waiting.is_empty() {
            return;
        }
        self.reviewed_at = now;
        let capacity = self.capacity(now);
        if capacity.slots == 0 || capacity.prefills == 0 && !self.settings.decode_reads {
            self.refuse_all(Cause::NoBackend);
            return;
        }
        let mut queue: Vec<estimate::QueuedWork> = self
            .waiting
            .iter()
            .map(|waiting| self.load_of(&waiting.ask, self.is_late(now, waiting)))
            .collect();
        let utilisation = self.arrival_rate.utilisation(now, &capacity);
        let mut index = 0;
        while index < self.waiting.len() {
            let wait = estimate::predict_wait(&queue, index, &capacity, utilisation);
            let first_token = now + wait + self.first_token_time(&self.waiting[index].ask);
            let deadline = self.waiting[index].deadline;
            if first_token <= deadline {
                index += 1;
                continue;
            }
            queue.remove(index);
            // An earlier retry would meet the same queue and be refused again.
            let retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
            self.refuse(now, index, Cause::Deadline, retry_after, first_token.since(now));
        }
    }

    fn refuse_all(&mut self, cause: Cause) {
        for request in std::mem::take(&mut self.waiting) {
            let refusal =
                Refusal { cause, retry_after: RETRY_AFTER_MIN * 5, basis: Basis::default() };
            self.effects.push(Effect::Answer(request.ask.attempt, Verdict::Refusal(refusal)));
        }
    }

    fn refuse(
        &mut self,
        now: Moment,
        index: usize,
        cause: Cause,
        retry_after: Duration,
        predicted: Duration,
    ) {
        let waiting = self.waiting.len() as u32;
        let request = self.waiting.remove(index);
        let basis = Basis {
            waiting,
            rank: request.ask.rank,
            served: self.fairness.served(&request.ask.workspace) as u64,
            waited_ms: now.since(request.arrival).as_millis() as u64,
            patience_ms: request.deadline.since(now).as_millis() as u64,
            predicted_ms: predicted.as_millis() as u64,
            ..Basis::default()
        };
        let refusal = Refusal { cause, retry_after, basis };
        self.effects.push(Effect::Answer(request.ask.attempt, Verdict::Refusal(refusal)));
    }

    /// Refuses all requests in the queue, for example because this owner leaves, so that their
    /// entries can ask another owner. Returns the actions that the owner carries out.
    pub fn refuse_waiting(&mut self, cause: Cause) -> Vec<Effect> {
        self.refuse_all(cause);
        std::mem::take(&mut self.effects)
    }

    /// Capacity of the servers that accept new work.
    fn capacity(&self, now: Moment) -> estimate::Capacity {
        let live = || self.decodes.iter().filter(|(_, decode)| decode.is_open(now));
        let free: u32 = live().map(|(_, decode)| decode.slots_free(self.settings.slots)).sum();
        // Reservations that are planned for the requested maximum mostly end sooner.
        let share = if self.settings.memory_grows { 1.0 } else { self.output_share };
        let ends = live().flat_map(|(_, server)| {
            let reservations =
                server.reservations.iter().filter_map(|key| self.reservations.get(*key));
            reservations.map(|reservation| reservation.predicted_end(server.token_time_s * share))
        });
        let next_slot =
            if free > 0 { Duration::ZERO } else { ends.min().unwrap_or(now).since(now) };
        estimate::Capacity {
            slots: live().count() as u32 * self.settings.slots,
            prefills: self.prefills.iter().filter(|(_, prefill)| prefill.is_open(now)).count()
                as u32,
            next_slot,
        }
    }

    /// Expected time of a request on a prefill server and a decode slot.
    pub(super) fn load_of(&self, ask: &Ask, is_late: bool) -> estimate::QueuedWork {
        let prefill = self.settings.prefill_time(ask.tokens_in);
        let decode = self.settings.token_time * self.expected_output(ask);
        estimate::QueuedWork {
            rank: ask.rank,
            workspace: ask.workspace.clone(),
            weight: ask.weight,
            slot_time: prefill + self.settings.transfer_time(ask.tokens_in) + decode,
            prefill_time: prefill,
            is_late,
        }
    }
}
