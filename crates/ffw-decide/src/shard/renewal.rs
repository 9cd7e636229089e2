//! What entries tell of their places: progress, ends, and silence.

use {
    super::{
        Effect, Entry, Shard,
        place::Place,
        server::{Decode, Probe, Rest},
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
            self.note_progress(now, progress);
        }
        if renewal.full {
            self.note_missing(now, renewal);
        }
    }

    fn drop_older_incarnations(&mut self, renewal: &Renewal) {
        let is_older = |attempt: &Attempt| {
            attempt.request.instance == renewal.entry
                && attempt.request.incarnation < renewal.incarnation
        };
        self.cancel_where(is_older);
    }

    fn note_missing(&mut self, now: Moment, renewal: &Renewal) {
        let mut listed: Vec<&Attempt> =
            renewal.progress.iter().map(|one| &one.ask.attempt).collect();
        listed.sort();
        let mut abandoned = Vec::new();
        for place in self.places.values_mut() {
            let attempt = &place.ask.attempt;
            let is_own = attempt.request.instance == renewal.entry
                && attempt.request.incarnation == renewal.incarnation;
            if !is_own
                || listed.binary_search(&attempt).is_ok()
                || now.since(place.since) < MISS_AGE
            {
                continue;
            }
            place.missed += 1;
            if place.missed >= MISSES_MAX {
                abandoned.push(attempt.clone());
            }
        }
        self.cancel_where(|attempt| abandoned.contains(attempt));
    }

    /// Attempts whose entry has not been heard of them for the given time.
    pub fn silent(&self, now: Moment, span: Duration) -> Vec<Attempt> {
        let silent = self.places.iter().filter(|(_, place)| now.since(place.heard) >= span);
        silent.map(|(_, place)| place.ask.attempt.clone()).collect()
    }

    /// Cancels an attempt that its entry has disowned.
    pub fn abandon(&mut self, attempt: &Attempt) {
        self.cancel_where(|one| one == attempt);
    }

    /// Cancels places of entries that the instance list does not name. The list lags: an entry that
    /// was heard of lately is there, and what waits ends with its entry's connection.
    pub fn retain_entries(&mut self, now: Moment, names: &[Arc<str>]) {
        let is_orphan = |place: &Place| {
            let is_listed = names.contains(&place.ask.attempt.request.instance);
            !is_listed && now.since(place.heard) > UNLISTED_SILENCE
        };
        let orphans = self.places.keys_where(is_orphan);
        orphans.into_iter().for_each(|key| self.cancel(key));
    }

    fn cancel_where(&mut self, is_orphan: impl Fn(&Attempt) -> bool) {
        self.waiting.retain(|one| !is_orphan(&one.ask.attempt));
        let orphans = self.places.keys_where(|place| is_orphan(&place.ask.attempt));
        orphans.into_iter().for_each(|key| self.cancel(key));
    }

    fn cancel(&mut self, key: Key<Place>) {
        let Some(place) = self.places.get_mut(key) else { return };
        if place.cancelling {
            return;
        }
        place.cancelling = true;
        let attempt = place.ask.attempt.clone();
        let prefill = place.prefill.and_then(|one| self.prefills.get(one)).map(|one| &one.server);
        let decode = self.decodes.get(place.decode).map(|one| &one.server);
        let servers = prefill.into_iter().chain(decode).cloned().collect();
        self.effects.push(Effect::Cancel(attempt, servers));
    }

    /// Frees a place whose cancel both engines have confirmed.
    pub fn confirm_cancel(&mut self, now: Moment, attempt: &Attempt) {
        if let Some(key) = self.find(attempt) {
            self.end_place(key, Some(now));
        }
    }

    fn release(&mut self, now: Moment, release: &Release) {
        self.withdraw(&release.attempt);
        let Some(key) = self.find(&release.attempt) else { return };
        if let Some(failed) = &release.failed {
            self.note_failed(now, key, failed);
        }
        if let Some(place) = self.places.get_mut(key) {
            place.emitted = place.emitted.max(release.emitted);
        }
        if release.confirmed { self.end_place(key, Some(now)) } else { self.cancel(key) }
    }

    fn note_failed(&mut self, now: Moment, place: Key<Place>, failed: &Failed) {
        let prefill = self.places.get(place).and_then(|place| place.prefill);
        if let Some(rest) = self.rest_of(&failed.server) {
            match failed.how {
                Failing::Broken => rest.note_failure(now),
                Failing::Replaced => rest.note_replaced(now),
                Failing::Refused => rest.note_refused(now),
            }
        }
        // A decode server also refuses if it can't have the prompt from the prefill server.
        if failed.how == Failing::Refused
            && let Some(prefill) = prefill.and_then(|key| self.prefills.get_mut(key))
            && prefill.server.name != failed.server
        {
            prefill.note_result(now, false);
        }
    }

    fn rest_of(&mut self, server: &str) -> Option<&mut Rest> {
        let prefill = self.prefills.values_mut().find(|one| &*one.server.name == server);
        let decode = self.decodes.values_mut().find(|one| &*one.server.name == server);
        prefill.map(|one| &mut one.rest).or(decode.map(|one| &mut one.rest))
    }

    /// Servers that are passed over until they answer a probe, which is due now.
    pub fn probes_due(&self, now: Moment) -> Vec<Server> {
        let prefills = self.prefills.iter().map(|(_, one)| (&one.server, &one.rest));
        let decodes = self.decodes.iter().map(|(_, one)| (&one.server, &one.rest));
        let due = prefills.chain(decodes).filter(|(_, rest)| rest.is_probe_due(now));
        due.map(|(server, _)| server.clone()).collect()
    }

    /// Takes the outcome of a probe over.
    pub fn note_probe(&mut self, now: Moment, server: &str, probe: Probe) {
        if let Some(rest) = self.rest_of(server) {
            rest.note_probe(now, probe);
        }
    }

    fn note_progress(&mut self, now: Moment, progress: &Progress) {
        let Some(key) = self.find(&progress.ask.attempt) else {
            self.take_over(now, progress);
            return;
        };
        let Some(place) = self.places.get_mut(key) else { return };
        let before = place.clone();
        place.missed = 0;
        place.phase = place.phase.max(progress.phase);
        place.emitted = place.emitted.max(progress.emitted);
        place.heard = now;
        let after = place.clone();
        if before.phase == Phase::Decode && after.emitted > before.emitted {
            let span = now.since(before.heard);
            if let Some(decode) = self.decodes.get_mut(after.decode) {
                decode.learn(after.emitted - before.emitted, span);
            }
        }
        if before.phase == Phase::Prefill && after.phase > Phase::Prefill {
            self.note_prefilled(now, key, &before);
        }
        if before.phase < Phase::Decode && after.phase == Phase::Decode {
            self.reflow_link(now, after.decode);
            if let Some(decode) = self.decodes.get_mut(after.decode) {
                decode.rest.note_success();
            }
            if let Some(prefill) = after.prefill.and_then(|key| self.prefills.get_mut(key)) {
                prefill.note_result(now, true);
            }
        }
    }

    /// Corrects the prefill server's time line by a prefill that has ended.
    fn note_prefilled(&mut self, now: Moment, key: Key<Place>, place: &Place) {
        if let Some(place) = self.places.get_mut(key) {
            place.prefill_end = now;
            // It may still have to wait for its slot, as was planned.
            let transfer = self.settings.transfer_time(place.ask.tokens_in);
            place.transfer_end = place.transfer_end.max(now + transfer);
        }
        let Some(prefill) = place.prefill else { return };
        let Some(server) = self.prefills.get_mut(prefill) else { return };
        server.rest.note_success();
        server.learn(place.prefill_end.since(place.start), now.since(place.start));
        let late = now.since(place.prefill_end);
        let early = place.prefill_end.since(now);
        server.free_at = (server.free_at + late - early).max(now);
    }

    fn reflow_link(&mut self, now: Moment, decode: Key<Decode>) {
        let Some(server) = self.decodes.get(decode) else { return };
        let open = server.places.iter().filter_map(|key| self.places.get(*key));
        let open = open.filter(|place| place.phase < Phase::Decode);
        let end = open.map(|place| place.transfer_end).max().unwrap_or(now);
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
        let place = Place {
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
        self.add_place(now, place);
    }

    pub(super) fn expiry(&self, now: Moment, ask: &Ask) -> Moment {
        now + ask.patience + self.settings.token_time * ask.tokens_out * 4 + EXPIRY_MARGIN
    }

    pub(super) fn add_place(&mut self, now: Moment, mut place: Place) {
        let expected = f64::from(place.ask.tokens_out) * self.output_share;
        place.charged = f64::from(place.ask.tokens_in) + expected;
        let ask = &place.ask;
        self.fairness.charge(now, &ask.workspace, ask.weight, ask.rank, place.charged);
        let attempt = place.ask.attempt.clone();
        let (decode, pieces, transfer_end) = (place.decode, place.pieces, place.transfer_end);
        let key = self.places.insert(place);
        if let Some(server) = self.decodes.get_mut(decode) {
            server.places.push(key);
            server.pieces += pieces;
            server.link_free_at = server.link_free_at.max(transfer_end);
        }
        let at = self.index.partition_point(|entry| entry.attempt < attempt);
        self.index.insert(at, Entry { attempt, place: key });
    }

    /// Ends a place, exactly once; `released_at` is none if its server has vanished.
    pub(super) fn end_place(&mut self, key: Key<Place>, released_at: Option<Moment>) {
        let Some(place) = self.places.remove(key) else { return };
        self.index.retain(|entry| entry.place != key);
        if let Some(server) = self.decodes.get_mut(place.decode) {
            server.places.retain(|one| *one != key);
            server.pieces -= place.pieces;
            server.released.extend(released_at);
        }
        let now = released_at.unwrap_or(place.heard);
        let used = f64::from(place.ask.tokens_in) + f64::from(place.emitted);
        let ask = &place.ask;
        self.fairness.charge(now, &ask.workspace, ask.weight, ask.rank, used - place.charged);
        if place.emitted > 0 {
            let share = f64::from(place.emitted) / f64::from(ask.tokens_out.max(1));
            self.output_share += (share.min(1.0) - self.output_share) * OUTPUT_SAMPLE;
        }
        if place.phase == Phase::Prefill {
            self.reclaim_prefill(now, &place);
        }
    }

    /// Gives back the prefill time of an attempt that ended before its prefill did.
    fn reclaim_prefill(&mut self, now: Moment, place: &Place) {
        let unused = place.prefill_end.since(now.max(place.start));
        if let Some(server) = place.prefill.and_then(|key| self.prefills.get_mut(key)) {
            server.free_at = (server.free_at - unused).max(now);
        }
    }

    pub(super) fn expire(&mut self, now: Moment) {
        let is_late =
            |place: &Place| now >= place.expires && now.since(place.heard) > EXPIRY_MARGIN;
        let late = self.places.keys_where(is_late);
        late.into_iter().for_each(|key| self.cancel(key));
    }
}
