//! What entries tell of their places: progress, ends, and silence.

use {
    super::{
        Effect, Entry, Shard,
        reservation::Reservation,
        server::{Backoff, Decode, Probe},
    },
    crate::arena::Key,
    ffw_protocol::{
        admission::{Ask, Attempt, Failed, Failing, Phase, Progress, Release, Renewal, Server},
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// Silence after which the places of an entry that is not listed are cancelled.
const UNLISTED_SILENCE: Duration = Duration::from_secs(2);

/// Full renewals in a row that must miss a place before it is taken for abandoned.
const MISSES_MAX: u8 = 3;

/// Age below which a place is not missed: its grant may still be on its way to the entry.
const MISS_AGE: Duration = Duration::from_secs(2);

/// Margin beyond a request's longest useful life after which a silent place is given up.
const EXPIRY_MARGIN: Duration = Duration::from_secs(30);

/// Weight of one answer in the moving average of the share.
const OUTPUT_SAMPLE: f64 = 0.05;

impl Shard {
    /// Takes an entry's renewal over.
    pub fn renew(&mut self, now: Moment, renewal: &Renewal) {
        self.drop_older_incarnations(renewal);
        for release in &renewal.releases {
            self.release(now, release);
        }
        for progress in &renewal.progress {
            self.record_progress(now, progress);
        }
        if renewal.full {
            self.record_missing(now, renewal);
        }
    }

    fn drop_older_incarnations(&mut self, renewal: &Renewal) {
        let is_older = |attempt: &Attempt| {
            attempt.request.instance == renewal.entry
                && attempt.request.incarnation < renewal.incarnation
        };
        self.cancel_where(is_older);
    }

    fn record_missing(&mut self, now: Moment, renewal: &Renewal) {
        let mut listed: Vec<&Attempt> =
            renewal.progress.iter().map(|one| &one.ask.attempt).collect();
        listed.sort();
        let mut abandoned = Vec::new();
        for reservation in self.reservations.values_mut() {
            let attempt = &reservation.ask.attempt;
            let is_own = attempt.request.instance == renewal.entry
                && attempt.request.incarnation == renewal.incarnation;
            if !is_own
                || listed.binary_search(&attempt).is_ok()
                || now.since(reservation.since) < MISS_AGE
            {
                continue;
            }
            reservation.missed += 1;
            if reservation.missed >= MISSES_MAX {
                abandoned.push(attempt.clone());
            }
        }
        self.cancel_where(|attempt| abandoned.contains(attempt));
    }

    /// Attempts whose entry has not been heard of them for the given time.
    pub fn unrenewed(&self, now: Moment, span: Duration) -> Vec<Attempt> {
        let unrenewed = self
            .reservations
            .iter()
            .filter(|(_, reservation)| now.since(reservation.heard) >= span);
        unrenewed.map(|(_, reservation)| reservation.ask.attempt.clone()).collect()
    }

    /// Cancels an attempt that its entry has disowned.
    pub fn abandon(&mut self, attempt: &Attempt) {
        self.cancel_where(|one| one == attempt);
    }

    /// Cancels places of entries that the instance list does not name. The list lags: an entry that
    /// was heard of lately is there, and what waits ends with its entry's connection.
    pub fn retain_entries(&mut self, now: Moment, names: &[Arc<str>]) {
        let is_orphan = |reservation: &Reservation| {
            let is_listed = names.contains(&reservation.ask.attempt.request.instance);
            !is_listed && now.since(reservation.heard) > UNLISTED_SILENCE
        };
        let orphans = self.reservations.keys_where(is_orphan);
        orphans.into_iter().for_each(|key| self.cancel(key));
    }

    fn cancel_where(&mut self, is_orphan: impl Fn(&Attempt) -> bool) {
        self.waiting.retain(|one| !is_orphan(&one.ask.attempt));
        let orphans =
            self.reservations.keys_where(|reservation| is_orphan(&reservation.ask.attempt));
        orphans.into_iter().for_each(|key| self.cancel(key));
    }

    fn cancel(&mut self, key: Key<Reservation>) {
        let Some(reservation) = self.reservations.get_mut(key) else { return };
        if reservation.cancelling {
            return;
        }
        reservation.cancelling = true;
        let attempt = reservation.ask.attempt.clone();
        let prefill =
            reservation.prefill.and_then(|one| self.prefills.get(one)).map(|one| &one.server);
        let decode = self.decodes.get(reservation.decode).map(|one| &one.server);
        let servers = prefill.into_iter().chain(decode).cloned().collect();
        self.effects.push(Effect::Cancel(attempt, servers));
    }

    /// Frees a place whose cancel both engines have confirmed.
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
        // A decode server also refuses if it can't have the prompt from the prefill server.
        if failed.how == Failing::Refused
            && let Some(prefill) = prefill.and_then(|key| self.prefills.get_mut(key))
            && prefill.server.name != failed.server
        {
            prefill.record_result(now, false);
        }
    }

    fn backoff_of(&mut self, server: &str) -> Option<&mut Backoff> {
        let prefill = self.prefills.values_mut().find(|one| &*one.server.name == server);
        let decode = self.decodes.values_mut().find(|one| &*one.server.name == server);
        prefill.map(|one| &mut one.backoff).or(decode.map(|one| &mut one.backoff))
    }

    /// Servers that are passed over until they answer a probe, which is due now.
    pub fn probes_due(&self, now: Moment) -> Vec<Server> {
        let prefills = self.prefills.iter().map(|(_, one)| (&one.server, &one.backoff));
        let decodes = self.decodes.iter().map(|(_, one)| (&one.server, &one.backoff));
        let due = prefills.chain(decodes).filter(|(_, backoff)| backoff.is_probe_due(now));
        due.map(|(server, _)| server.clone()).collect()
    }

    /// Takes the outcome of a probe over.
    pub fn record_probe(&mut self, now: Moment, server: &str, probe: Probe) {
        if let Some(backoff) = self.backoff_of(server) {
            backoff.record_probe(now, probe);
        }
    }

    fn record_progress(&mut self, now: Moment, progress: &Progress) {
        let Some(key) = self.find(&progress.ask.attempt) else {
            self.take_over(now, progress);
            return;
        };
        let Some(reservation) = self.reservations.get_mut(key) else { return };
        let before = reservation.clone();
        reservation.missed = 0;
        reservation.phase = reservation.phase.max(progress.phase);
        reservation.emitted = reservation.emitted.max(progress.emitted);
        reservation.heard = now;
        let after = reservation.clone();
        if before.phase == Phase::Decode && after.emitted > before.emitted {
            let span = now.since(before.heard);
            if let Some(decode) = self.decodes.get_mut(after.decode) {
                decode.learn(after.emitted - before.emitted, span);
            }
        }
        if before.phase == Phase::Prefill && after.phase > Phase::Prefill {
            self.record_prefilled(now, key, &before);
        }
        if before.phase < Phase::Decode && after.phase == Phase::Decode {
            self.reflow_link(now, after.decode);
            if let Some(decode) = self.decodes.get_mut(after.decode) {
                decode.backoff.record_success();
            }
            if let Some(prefill) = after.prefill.and_then(|key| self.prefills.get_mut(key)) {
                prefill.record_result(now, true);
            }
        }
    }

    /// Corrects the prefill server's time line by a prefill that has ended.
    fn record_prefilled(&mut self, now: Moment, key: Key<Reservation>, reservation: &Reservation) {
        if let Some(reservation) = self.reservations.get_mut(key) {
            reservation.prefill_end = now;
            // It may still have to wait for its slot, as was planned.
            let transfer = self.settings.transfer_time(reservation.ask.tokens_in);
            reservation.transfer_end = reservation.transfer_end.max(now + transfer);
        }
        let Some(prefill) = reservation.prefill else { return };
        let Some(server) = self.prefills.get_mut(prefill) else { return };
        server.backoff.record_success();
        server
            .learn(reservation.prefill_end.since(reservation.start), now.since(reservation.start));
        let late = now.since(reservation.prefill_end);
        let early = reservation.prefill_end.since(now);
        server.free_at = (server.free_at + late - early).max(now);
    }

    fn reflow_link(&mut self, now: Moment, decode: Key<Decode>) {
        let Some(server) = self.decodes.get(decode) else { return };
        let open = server.reservations.iter().filter_map(|key| self.reservations.get(*key));
        let open = open.filter(|reservation| reservation.phase < Phase::Decode);
        let end = open.map(|reservation| reservation.transfer_end).max().unwrap_or(now);
        if let Some(server) = self.decodes.get_mut(decode) {
            server.link_free_at = end.max(now).min(server.link_free_at.max(now));
        }
    }

    /// Takes a place over that another owner granted.
    fn take_over(&mut self, now: Moment, progress: &Progress) {
        self.withdraw(&progress.ask.attempt);
        let decode = self.decodes.find(|one| one.server.name == progress.decode);
        let Some(decode) = decode else { return };
        let prefill = self.prefills.find(|one| one.server.name == progress.prefill);
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
            expected: self.planned_output(&ask),
            phase: progress.phase,
            emitted: progress.emitted,
            start: now,
            prefill_end: plan_end,
            transfer_end: plan_end + self.settings.transfer_time(ask.tokens_in),
            heard: now,
            expires: self.expiry(now, &ask),
            since: now,
            missed: 0,
            told_at: Moment(0),
            charged: 0.0,
            cancelling: false,
            ask,
        };
        self.add_reservation(now, reservation);
    }

    pub(super) fn expiry(&self, now: Moment, ask: &Ask) -> Moment {
        now + ask.patience + self.settings.token_time * ask.tokens_out * 4 + EXPIRY_MARGIN
    }

    pub(super) fn add_reservation(&mut self, now: Moment, mut reservation: Reservation) {
        let expected = f64::from(reservation.ask.tokens_out) * self.output_share;
        reservation.charged = f64::from(reservation.ask.tokens_in) + expected;
        let ask = &reservation.ask;
        self.fairness.charge(now, &ask.workspace, ask.weight, ask.rank, reservation.charged);
        let attempt = reservation.ask.attempt.clone();
        let (decode, pieces, transfer_end) =
            (reservation.decode, reservation.pieces, reservation.transfer_end);
        let key = self.reservations.insert(reservation);
        if let Some(server) = self.decodes.get_mut(decode) {
            server.reservations.push(key);
            server.pieces += pieces;
            server.link_free_at = server.link_free_at.max(transfer_end);
        }
        let at = self.index.partition_point(|entry| entry.attempt < attempt);
        self.index.insert(at, Entry { attempt, reservation: key });
    }

    /// Ends a place, exactly once; `released_at` is none if its server has vanished.
    pub(super) fn end_reservation(&mut self, key: Key<Reservation>, released_at: Option<Moment>) {
        let Some(reservation) = self.reservations.remove(key) else { return };
        self.index.retain(|entry| entry.reservation != key);
        if let Some(server) = self.decodes.get_mut(reservation.decode) {
            server.reservations.retain(|one| *one != key);
            server.pieces -= reservation.pieces;
            server.released.extend(released_at);
        }
        let now = released_at.unwrap_or(reservation.heard);
        let used = f64::from(reservation.ask.tokens_in) + f64::from(reservation.emitted);
        let ask = &reservation.ask;
        self.fairness.charge(now, &ask.workspace, ask.weight, ask.rank, used - reservation.charged);
        if reservation.emitted > 0 {
            let share = f64::from(reservation.emitted) / f64::from(ask.tokens_out.max(1));
            self.output_share += (share.min(1.0) - self.output_share) * OUTPUT_SAMPLE;
        }
        if reservation.phase == Phase::Prefill {
            self.reclaim_prefill(now, &reservation);
        }
    }

    /// Gives back the prefill time of an attempt that ended before its prefill did.
    fn reclaim_prefill(&mut self, now: Moment, reservation: &Reservation) {
        let unused = reservation.prefill_end.since(now.max(reservation.start));
        if let Some(server) = reservation.prefill.and_then(|key| self.prefills.get_mut(key)) {
            server.free_at = (server.free_at - unused).max(now);
        }
    }

    pub(super) fn expire(&mut self, now: Moment) {
        let is_late = |reservation: &Reservation| {
            now >= reservation.expires && now.since(reservation.heard) > EXPIRY_MARGIN
        };
        let late = self.reservations.keys_where(is_late);
        late.into_iter().for_each(|key| self.cancel(key));
    }
}
