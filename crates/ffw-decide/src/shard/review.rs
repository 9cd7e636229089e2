//! Looks through the queue for requests that can't be served before their deadline any more.

use {
    super::{Effect, Shard},
    crate::estimate,
    ffw_protocol::{
        admission::{Ask, Basis, Cause, Refusal, Verdict},
        time::Moment,
    },
    std::time::Duration,
};

/// Period between two looks at the whole queue for requests that can't be served any more.
pub(super) const REVIEW_PERIOD: Duration = Duration::from_millis(25);

/// Least time that a refused request is told to stay away.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(200);

/// Most time that a refused request is told to stay away.
const RETRY_MAX: Duration = Duration::from_secs(60);

impl Shard {
    /// Refuses at once whoever can't have its first token before its deadline.
    pub(super) fn refuse_hopeless(&mut self, now: Moment) {
        if now.since(self.reviewed_at) < REVIEW_PERIOD || self.waiting.is_empty() {
            return;
        }
        self.reviewed_at = now;
        let capacity = self.capacity(now);
        if capacity.slots == 0 || capacity.prefills == 0 && !self.settings.decode_reads {
            self.refuse_all(Cause::NoBackend);
            return;
        }
        let mut queue: Vec<estimate::Load> =
            self.waiting.iter().map(|one| self.load_of(&one.ask, self.is_late(now, one))).collect();
        let utilisation = self.arrival_rate.utilisation(now, &capacity);
        let mut at = 0;
        while at < self.waiting.len() {
            let wait = estimate::wait(&queue, at, &capacity, utilisation);
            let first_token = now + wait + self.own_time(&self.waiting[at].ask);
            let deadline = self.waiting[at].deadline;
            if first_token <= deadline {
                at += 1;
                continue;
            }
            queue.remove(at);
            // Any sooner it would find the queue that it is refused for.
            let retry_after = wait.clamp(RETRY_MIN, RETRY_MAX);
            self.refuse(now, at, Cause::Deadline, retry_after, first_token.since(now));
        }
    }

    fn refuse_all(&mut self, cause: Cause) {
        for one in std::mem::take(&mut self.waiting) {
            let refusal = Refusal { cause, retry_after: RETRY_MIN * 5, basis: Basis::default() };
            self.effects.push(Effect::Answer(one.ask.attempt, Verdict::Refusal(refusal)));
        }
    }

    fn refuse(
        &mut self,
        now: Moment,
        at: usize,
        cause: Cause,
        retry_after: Duration,
        predicted: Duration,
    ) {
        let waiting = self.waiting.len() as u32;
        let one = self.waiting.remove(at);
        let basis = Basis {
            waiting,
            rank: one.ask.rank,
            served: self.fairness.served(&one.ask.workspace) as u64,
            waited_ms: now.since(one.arrival).as_millis() as u64,
            patience_ms: one.deadline.since(now).as_millis() as u64,
            predicted_ms: predicted.as_millis() as u64,
            ..Basis::default()
        };
        let refusal = Refusal { cause, retry_after, basis };
        self.effects.push(Effect::Answer(one.ask.attempt, Verdict::Refusal(refusal)));
    }

    /// Gives all waiting requests back, to ask another owner.
    pub fn give_up(&mut self, cause: Cause) -> Vec<Effect> {
        self.refuse_all(cause);
        std::mem::take(&mut self.effects)
    }

    fn capacity(&self, now: Moment) -> estimate::Capacity {
        let live = || self.decodes.iter().filter(|(_, one)| one.is_open(now));
        let free: u32 = live().map(|(_, one)| one.slots_free(self.settings.slots)).sum();
        // Places that are planned for all that was asked for mostly end sooner.
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
            prefills: self.prefills.iter().filter(|(_, one)| one.is_open(now)).count() as u32,
            next_slot,
        }
    }

    pub(super) fn load_of(&self, ask: &Ask, is_late: bool) -> estimate::Load {
        let prefill = self.settings.prefill_time(ask.tokens_in);
        let decode = self.settings.token_time * self.expected_output(ask);
        estimate::Load {
            rank: ask.rank,
            workspace: ask.workspace.clone(),
            weight: ask.weight,
            hold: prefill + self.settings.transfer_time(ask.tokens_in) + decode,
            prefill,
            is_late,
        }
    }
}
