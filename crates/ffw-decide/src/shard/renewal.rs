//! Renewals of the entries: progress and ends of their attempts, and cancellation of reservations
//! that are not renewed.
//!
//! The reservation of an abandoned attempt, for example of an entry that crashed or restarted,
//! would keep its slot and memory for ever. It is cancelled once its entry has a newer incarnation,
//! is no longer listed or no longer reports it, or once it has expired. Its resources are free
//! again only when both engines have confirmed the cancellation.

use {
    super::{
        Effect, Row, Shard,
        reservation::Reservation,
        server::{Backoff, Decode, Prefill, Probe},
    },
    crate::arena::Key,
    ffw_protocol::{
        admission::{
            Ask, Attempt, AttemptKey, Failed, Failing, Phase, Progress, Release, Renewal, Server,
        },
        id,
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// Time without progress after which the reservations of an entry that is not in the instance list
/// are cancelled.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of consecutive full renewals (lists of all reservations of an entry) that omit a
/// reservation at which it counts as abandoned.
const MISSES_TO_CANCEL: u8 = 3;

/// Age below which a reservation may be absent from full renewals, as its grant may still be on its
/// way to the entry.
const MISS_AGE_MIN: Duration = Duration::from_secs(2);

/// Time beyond the longest useful life of a request, and since its last progress report, after
/// which its reservation is cancelled.
const EXPIRY_MARGIN: Duration = Duration::from_secs(30);

/// Weight of one answer in the moving average of the output share.
const OUTPUT_SAMPLE_WEIGHT: f64 = 0.05;

/// What a renewal changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewed {
    /// Attempts that were reported as known and are not; their entry must report them with their
    /// admission request.
    pub unknown: Vec<AttemptKey>,
    /// Whether a server may have become free, so that a waiting request may be granted.
    pub frees_resources: bool,
}

impl Shard {
    /// Applies an entry's renewal.
    pub fn renew(&mut self, now: Moment, renewal: &Renewal) -> Renewed {
        self.cancel_older_incarnations(renewal);
        let mut renewed =
            Renewed { frees_resources: !renewal.releases.is_empty(), unknown: Vec::new() };
        for release in &renewal.releases {
            self.release(now, release);
        }
        for progress in &renewal.progress {
            let Some(key) = self.find(&progress.ask.attempt) else {
                self.adopt(now, progress);
                continue;
            };
            renewed.frees_resources |=
                self.record_progress(now, key, progress.phase, progress.emitted);
        }
        for update in &renewal.updates {
            let Some(key) = self.find(&attempt_of(renewal, update.attempt)) else {
                renewed.unknown.push(update.attempt);
                continue;
            };
            renewed.frees_resources |= self.record_progress(now, key, update.phase, update.emitted);
        }
        if renewal.full {
            self.record_missing(now, renewal);
        }
        renewed
    }

    fn cancel_older_incarnations(&mut self, renewal: &Renewal) {
        let is_older = |attempt: &Attempt| {
            attempt.request.instance == renewal.entry
                && attempt.request.incarnation < renewal.incarnation
        };
        self.cancel_where(is_older);
    }

    /// Counts a miss for each reservation of the entry that a full renewal does not list, and
    /// cancels those that were missed too often.
    fn record_missing(&mut self, now: Moment, renewal: &Renewal) {
        let reported = renewal.progress.iter().map(|progress| progress.ask.attempt.key());
        let known = renewal.updates.iter().map(|update| update.attempt);
        let mut listed: Vec<AttemptKey> = reported.chain(known).collect();
        listed.sort_unstable();
        let mut abandoned = Vec::new();
        for reservation in self.reservations.values_mut() {
            let attempt = &reservation.ask.attempt;
            let is_from_entry = attempt.request.instance == renewal.entry
                && attempt.request.incarnation == renewal.incarnation;
            if !is_from_entry
                || listed.binary_search(&attempt.key()).is_ok()
                || now.since(reservation.reserved_at) < MISS_AGE_MIN
            {
                continue;
            }
            reservation.missed_renewals += 1;
            if reservation.missed_renewals >= MISSES_TO_CANCEL {
                abandoned.push(attempt.clone());
            }
        }
        self.cancel_where(|attempt| abandoned.contains(attempt));
    }

    /// Attempts on which their entry has reported no progress for at least `span`.
    pub fn unrenewed_attempts(&self, now: Moment, span: Duration) -> Vec<Attempt> {
        let unrenewed = self
            .reservations
            .iter()
            .filter(|(_, reservation)| now.since(reservation.last_reported_at) >= span);
        unrenewed.map(|(_, reservation)| reservation.ask.attempt.clone()).collect()
    }

    /// Cancels an attempt that its entry no longer has.
    pub fn cancel_attempt(&mut self, attempt: &Attempt) {
        self.cancel_where(|other| other == attempt);
    }

    /// Cancels reservations of entries that are not in the sorted instance list `names`. The list
    /// lags, so a reservation that its entry has reported within `UNLISTED_TIMEOUT` is kept.
    /// Requests in the queue are not affected, as they end with the connection of their entry.
    pub fn cancel_unlisted_entries(&mut self, now: Moment, names: &[Arc<str>]) {
        let condition = |reservation: &Reservation| {
            let is_listed =
                || names.binary_search(&reservation.ask.attempt.request.instance).is_ok();
            now.since(reservation.last_reported_at) > UNLISTED_TIMEOUT && !is_listed()
        };
        let to_cancel = self.reservations.keys_where(condition);
        to_cancel.into_iter().for_each(|key| self.cancel(key));
    }

    fn cancel_where(&mut self, condition: impl Fn(&Attempt) -> bool) {
        self.waiting.retain(|waiting| !condition(&waiting.ask.attempt));
        let to_cancel =
            self.reservations.keys_where(|reservation| condition(&reservation.ask.attempt));
        to_cancel.into_iter().for_each(|key| self.cancel(key));
    }

    /// Requests the cancellation of a reservation, once. The reservation keeps its resources until
    /// the cancellation is confirmed.
    fn cancel(&mut self, key: Key<Reservation>) {
        let Some(reservation) = self.reservations.get_mut(key) else { return };
        if reservation.cancelling {
            return;
        }
        reservation.cancelling = true;
        let attempt = reservation.ask.attempt.clone();
        let prefill = reservation
            .prefill
            .and_then(|key| self.prefills.get(key))
            .map(|prefill| &prefill.server);
        let decode = self.decodes.get(reservation.decode).map(|decode| &decode.server);
        let servers = prefill.into_iter().chain(decode).cloned().collect();
        self.effects.push(Effect::Cancel(attempt, servers));
    }

    /// Frees a reservation whose cancellation both engines have confirmed.
    pub fn confirm_cancel(&mut self, now: Moment, attempt: &Attempt) {
        if let Some(key) = self.find(attempt) {
            self.end_reservation(key, Some(now));
        }
    }

    fn release(&mut self, now: Moment, release: &Release) {
        self.withdraw(&release.attempt);
        let Some(key) = self.find(&release.attempt) else { return };
        if let Some(failed) = &release.failed {
            self.record_failed(now, key, failed);
        }
        if let Some(reservation) = self.reservations.get_mut(key) {
            reservation.emitted = reservation.emitted.max(release.emitted);
        }
        if release.confirmed { self.end_reservation(key, Some(now)) } else { self.cancel(key) }
    }

    fn record_failed(&mut self, now: Moment, reservation: Key<Reservation>, failed: &Failed) {
        let prefill =
            self.reservations.get(reservation).and_then(|reservation| reservation.prefill);
        if let Some(backoff) = self.backoff_of(&failed.server) {
            match failed.how {
                Failing::Broken => backoff.record_failure(now),
                Failing::Replaced => backoff.record_replaced(now),
                Failing::Refused => backoff.record_refused(now),
            }
        }
        self.record_expired(now, reservation, failed);
        // A decode server also refuses if it can't get the KV cache from the prefill server.
        if failed.how == Failing::Refused
            && let Some(prefill) = prefill.and_then(|key| self.prefills.get_mut(key))
            && prefill.server.name != failed.server
        {
            prefill.record_result(now, false);
        }
    }

    /// Records a transfer that has ended for the limit of open hand-overs.
    fn record_handover(&mut self, now: Moment, key: Key<Reservation>) {
        let Some(reservation) = self.reservations.get(key) else { return };
        if self.settings.decode_reads {
            return;
        }
        let span = now.since(reservation.prefill_end);
        // This one is handed over already.
        let open = self.open_handovers() + 1;
        self.handover.record_success(span, self.settings.result_lifetime, open);
    }

    /// Records a refused transfer for the limit of open hand-overs. A decode server that prefills
    /// prompts itself needs no result, so that it refuses for lack of room only.
    fn record_expired(&mut self, now: Moment, key: Key<Reservation>, failed: &Failed) {
        let Some(reservation) = self.reservations.get(key) else { return };
        let decode = self.decodes.get(reservation.decode);
        let is_transfer = reservation.phase < Phase::Decode
            && decode.is_some_and(|decode| decode.server.name == failed.server);
        if is_transfer && failed.how == Failing::Refused && !self.settings.decode_reads {
            let open = self.open_handovers();
            self.handover.record_expired(now, open, self.settings.result_lifetime);
        }
    }

    fn backoff_of(&mut self, server: &str) -> Option<&mut Backoff> {
        let prefill = self.prefills.values_mut().find(|prefill| &*prefill.server.name == server);
        let decode = self.decodes.values_mut().find(|decode| &*decode.server.name == server);
        prefill.map(|prefill| &mut prefill.backoff).or(decode.map(|decode| &mut decode.backoff))
    }

    /// Servers that are not used until they have answered a probe, and whose probe is due now.
    pub fn probes_due(&self, now: Moment) -> Vec<Server> {
        let prefills = self.prefills.iter().map(|(_, prefill)| (&prefill.server, &prefill.backoff));
        let decodes = self.decodes.iter().map(|(_, decode)| (&decode.server, &decode.backoff));
        let due = prefills.chain(decodes).filter(|(_, backoff)| backoff.is_probe_due(now));
        due.map(|(server, _)| server.clone()).collect()
    }

    /// Records the outcome of a probe of a server.
    pub fn record_probe(&mut self, now: Moment, server: &str, probe: Probe) {
        if let Some(backoff) = self.backoff_of(server) {
            backoff.record_probe(now, probe);
        }
    }

    /// Records the progress of a reservation; returns whether it has reached a further phase.
    fn record_progress(
        &mut self,
        now: Moment,
        key: Key<Reservation>,
        phase: Phase,
        emitted: u32,
    ) -> bool {
        let Some(reservation) = self.reservations.get_mut(key) else { return false };
        let (phase_before, emitted_before) = (reservation.phase, reservation.emitted);
        let span = now.since(reservation.last_reported_at);
        reservation.missed_renewals = 0;
        reservation.phase = reservation.phase.max(phase);
        reservation.emitted = reservation.emitted.max(emitted);
        reservation.last_reported_at = now;
        let (phase, emitted) = (reservation.phase, reservation.emitted);
        let (prefill, decode) = (reservation.prefill, reservation.decode);
        if phase_before == Phase::Decode
            && emitted > emitted_before
            && let Some(decode) = self.decodes.get_mut(decode)
        {
            decode.record_tokens(emitted - emitted_before, span);
        }
        if phase_before == Phase::Prefill && phase > Phase::Prefill {
            self.record_prefilled(now, key);
        }
        if phase_before < Phase::Decode && phase == Phase::Decode {
            self.recompute_link_time(now, decode);
            self.record_handover(now, key);
            if let Some(decode) = self.decodes.get_mut(decode) {
                decode.backoff.record_success();
            }
            if let Some(prefill) = prefill.and_then(|key| self.prefills.get_mut(key)) {
                prefill.record_result(now, true);
            }
        }
        phase > phase_before
    }

    /// Records the reported end of a prefill, and plans the server's other prompts anew from it.
    fn record_prefilled(&mut self, now: Moment, key: Key<Reservation>) {
        let Some(reservation) = self.reservations.get_mut(key) else { return };
        reservation.prefill_end = now;
        // A transfer that was planned later still waits for its slot.
        let transfer = self.settings.transfer_time(reservation.ask.tokens_in);
        reservation.transfer_end = reservation.transfer_end.max(now + transfer);
        let (sent_at, nominal) = (reservation.sent_at, reservation.nominal_prefill);
        let Some(prefill) = reservation.prefill else { return };
        if let Some(server) = self.prefills.get_mut(prefill) {
            server.backoff.record_success();
            server.timing.record(now, sent_at, nominal);
        }
        self.replan_prefills(now, prefill);
    }

    /// Predicts anew when a prefill server has finished the prompts that it has not reported yet,
    /// in the order in which they were sent. The first of them started when the last report came.
    fn replan_prefills(&mut self, now: Moment, prefill: Key<Prefill>) {
        let Some(server) = self.prefills.get(prefill) else { return };
        let timing = server.timing;
        let is_open = |reservation: &Reservation| {
            reservation.prefill == Some(prefill) && reservation.phase == Phase::Prefill
        };
        let mut open: Vec<&mut Reservation> =
            self.reservations.values_mut().filter(|reservation| is_open(reservation)).collect();
        open.sort_unstable_by_key(|reservation| reservation.sent_at);
        let mut free_at = timing.reported_at();
        for reservation in open {
            let start = free_at.max(reservation.sent_at + timing.delay());
            free_at = (start + timing.work_time(reservation.nominal_prefill)).max(now);
            reservation.prefill_end = free_at;
        }
        if let Some(server) = self.prefills.get_mut(prefill) {
            server.free_at = free_at.max(now);
        }
    }

    /// Shortens the reserved time of a decode server's link to the transfers that are still open.
    fn recompute_link_time(&mut self, now: Moment, decode: Key<Decode>) {
        let Some(server) = self.decodes.get(decode) else { return };
        let open = server.reservations.iter().filter_map(|key| self.reservations.get(*key));
        let open = open.filter(|reservation| reservation.phase < Phase::Decode);
        let end = open.map(|reservation| reservation.transfer_end).max().unwrap_or(now);
        if let Some(server) = self.decodes.get_mut(decode) {
            server.link_free_at = end.max(now).min(server.link_free_at.max(now));
        }
    }

    /// Adds a reservation for an attempt that another owner granted.
    fn adopt(&mut self, now: Moment, progress: &Progress) {
        self.withdraw(&progress.ask.attempt);
        let decode = self.decodes.find(|server| server.server.name == progress.decode);
        let Some(decode) = decode else { return };
        let prefill = self.prefills.find(|server| server.server.name == progress.prefill);
        let ask = progress.ask.clone();
        let span = self.settings.prefill_time(ask.tokens_in);
        let plan_end = now + if progress.phase == Phase::Prefill { span } else { Duration::ZERO };
        if let Some(server) = prefill.and_then(|key| self.prefills.get_mut(key)) {
            server.free_at = server.free_at.max(plan_end);
        }
        let reservation = Reservation {
            prefill,
            decode,
            pieces: self.settings.pieces_of(&ask),
            expected_output: self.planned_output(&ask),
            phase: progress.phase,
            emitted: progress.emitted,
            sent_at: now,
            nominal_prefill: span,
            prefill_end: plan_end,
            transfer_end: plan_end + self.settings.transfer_time(ask.tokens_in),
            last_reported_at: now,
            expires_at: self.expiry(now, &ask),
            reserved_at: now,
            missed_renewals: 0,
            move_requested_at: Moment(0),
            charged_tokens: 0.0,
            cancelling: false,
            ask,
        };
        self.add_reservation(now, reservation);
    }

    /// Latest expected end of a request: its first token deadline plus four times the estimated
    /// time for all requested output tokens, plus a margin.
    pub(super) fn expiry(&self, now: Moment, ask: &Ask) -> Moment {
        now + ask.patience + self.settings.token_time * ask.tokens_out * 4 + EXPIRY_MARGIN
    }

    pub(super) fn add_reservation(&mut self, now: Moment, mut reservation: Reservation) {
        let expected = f64::from(reservation.ask.tokens_out) * self.output_share;
        reservation.charged_tokens = f64::from(reservation.ask.tokens_in) + expected;
        let ask = &reservation.ask;
        self.fairness.charge(now, &ask.workspace, ask.weight, ask.rank, reservation.charged_tokens);
        let attempt = reservation.ask.attempt.clone();
        let (decode, pieces, transfer_end) =
            (reservation.decode, reservation.pieces, reservation.transfer_end);
        let key = self.reservations.insert(reservation);
        if let Some(server) = self.decodes.get_mut(decode) {
            server.reservations.push(key);
            server.pieces += pieces;
            server.link_free_at = server.link_free_at.max(transfer_end);
        }
        let index = self.index.partition_point(|row| row.attempt < attempt);
        self.index.insert(index, Row { attempt, reservation: key });
    }

    /// Ends a reservation exactly once. `released_at` is `None` if its decode server was removed.
    pub(super) fn end_reservation(&mut self, key: Key<Reservation>, released_at: Option<Moment>) {
        let Some(reservation) = self.reservations.remove(key) else { return };
        self.index.retain(|row| row.reservation != key);
        if let Some(server) = self.decodes.get_mut(reservation.decode) {
            server.reservations.retain(|other| *other != key);
            server.pieces -= reservation.pieces;
            server.releases.extend(released_at);
        }
        let now = released_at.unwrap_or(reservation.last_reported_at);
        let used = f64::from(reservation.ask.tokens_in) + f64::from(reservation.emitted);
        let ask = &reservation.ask;
        self.fairness.charge(
            now,
            &ask.workspace,
            ask.weight,
            ask.rank,
            used - reservation.charged_tokens,
        );
        if reservation.emitted > 0 {
            let share = f64::from(reservation.emitted) / f64::from(ask.tokens_out.max(1));
            self.output_share += (share.min(1.0) - self.output_share) * OUTPUT_SAMPLE_WEIGHT;
        }
        if let (Phase::Prefill, Some(prefill)) = (reservation.phase, reservation.prefill) {
            self.replan_prefills(now, prefill);
        }
    }

    /// Cancels reservations that have expired and had no progress report lately.
    pub(super) fn expire(&mut self, now: Moment) {
        let is_expired = |reservation: &Reservation| {
            now >= reservation.expires_at && now.since(reservation.last_reported_at) > EXPIRY_MARGIN
        };
        let expired = self.reservations.keys_where(is_expired);
        expired.into_iter().for_each(|key| self.cancel(key));
    }
}

/// An attempt of the entry that sends the renewal.
fn attempt_of(renewal: &Renewal, key: AttemptKey) -> Attempt {
    let request = id::Request {
        instance: renewal.entry.clone(),
        incarnation: renewal.incarnation,
        sequence: key.sequence,
    };
    Attempt { request, number: key.number }
}
