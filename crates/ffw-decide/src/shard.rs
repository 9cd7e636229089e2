//! A shard: the queue, the servers and the places of one slice of a pool, decided by one owner at a
//! time.
//!
//! A grant reserves a prefill server, a decode slot, memory pieces and time on the transfer link
//! together, and is given only when the slot is predicted to be free by the time the prefill ends.
//! Until then the request stays in the queue, so that the order is decided as late as possible.
//! Whoever can't be served before its deadline is refused as soon as that is known.

pub mod invariant;
pub mod place;
pub mod server;

use {
    crate::{
        arena::{Arena, Key},
        estimate,
        order::{Candidate, Fairness, Floor},
    },
    ffw_protocol::{
        admission::{
            self, Ask, Attempt, Basis, Cause, Grant, Phase, Progress, Reason, Refusal, Release,
            Renewal, Verdict,
        },
        time::Moment,
    },
    place::{Blocked, Place, Plan},
    server::{Decode, Prefill},
    std::{sync::Arc, time::Duration},
};

/// Most requests that may pass one that fits no server yet.
const BYPASS_MAX: u32 = 16;

/// Period between two looks at the whole queue for requests that can't be served any more.
const REVIEW_PERIOD: Duration = Duration::from_millis(25);

/// Full renewals in a row that must miss a place before it is taken for abandoned.
const MISSES_MAX: u8 = 3;

/// Age below which a place is not missed: its grant may still be on its way to the entry.
const MISS_AGE: Duration = Duration::from_secs(2);

/// Time for which a new owner waits for the entries to declare what runs.
pub const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Margin beyond a request's longest useful life after which a silent place is given up.
const EXPIRY_MARGIN: Duration = Duration::from_secs(30);

/// Time by which a first token must be predicted before its target to count on it.
const TARGET_MARGIN: Duration = Duration::from_millis(40);

/// Least time that a refused request is told to stay away.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// Most time that a refused request is told to stay away.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// Share of the asked output tokens that an answer is taken to have, before any was seen.
const OUTPUT_SHARE: f64 = 0.7;

/// Weight of one answer in the moving average of the share.
const OUTPUT_SAMPLE: f64 = 0.05;

/// Sizes and rates of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Slots of a decode server.
    pub slots: u32,
    /// Pieces of memory of a decode server.
    pub pieces: u32,
    /// Tokens in a piece.
    pub piece_tokens: u32,
    /// Prompt tokens a second of a prefill server.
    pub prefill_rate: u32,
    /// Prompt tokens a second of a decode server's link.
    pub link_rate: u32,
    /// First guess of the time between two tokens.
    pub token_time: Duration,
    /// Time for which a prefill result survives.
    pub result_life: Duration,
    /// Floors of the classes.
    pub floors: Vec<Floor>,
}

impl Settings {
    /// Pieces that an attempt needs at its decode server.
    pub fn pieces_of(&self, ask: &Ask) -> u32 {
        (ask.tokens_in + ask.tokens_out).div_ceil(self.piece_tokens.max(1)).max(1)
    }

    /// Time to prefill a number of tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_rate.max(1)))
    }

    /// Time to transfer the KV cache of a prompt.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.link_rate.max(1)))
    }

    /// Time that a plan may let a prefill result wait, well below the time that it survives.
    pub fn result_wait(&self) -> Duration {
        self.result_life / 4
    }
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What was asked.
    pub ask: Ask,
    /// Arrival, on this owner's clock.
    pub arrival: Moment,
    /// Moment of the first token's target.
    pub target: Moment,
    /// Latest useful moment for the first token.
    pub deadline: Moment,
    /// Requests that went first because this one fitted no server.
    pub bypassed: u32,
    /// No place was found that would meet its target.
    pub misses_target: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    attempt: Attempt,
    place: Key<Place>,
}

/// What the owner has to do after a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer an ask.
    Answer(Attempt, Verdict),
    /// Cancel an attempt at both engines, then confirm with [`Shard::confirm_cancel`].
    Cancel(Attempt, Vec<admission::Server>),
}

/// Servers that the shard is to use.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Prefill servers, live ones and leaving ones.
    pub prefills: Vec<Member>,
    /// Decode servers, live ones and leaving ones.
    pub decodes: Vec<Member>,
}

/// One backend server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and address.
    pub server: admission::Server,
    /// Takes no new work.
    pub leaving: bool,
}

/// The state of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    settings: Settings,
    owner: Arc<str>,
    epoch: u64,
    granted: u64,
    prefills: Arena<Prefill>,
    decodes: Arena<Decode>,
    waiting: Vec<Waiting>,
    places: Arena<Place>,
    index: Vec<Entry>,
    fairness: Fairness,
    inflow: estimate::Inflow,
    output_share: f64,
    settled_at: Moment,
    reviewed_at: Moment,
    wake_at: Moment,
    effects: Vec<Effect>,
}

impl Shard {
    /// An empty shard that grants nothing until the entries had time to declare what runs.
    pub fn new(now: Moment, owner: Arc<str>, epoch: u64, settings: Settings) -> Shard {
        let fairness = Fairness::new(settings.floors.clone());
        Shard {
            settings,
            owner,
            epoch,
            granted: 0,
            prefills: Arena::default(),
            decodes: Arena::default(),
            waiting: Vec::new(),
            places: Arena::default(),
            index: Vec::new(),
            fairness,
            inflow: estimate::Inflow::default(),
            output_share: OUTPUT_SHARE,
            settled_at: now + SETTLE_TIME,
            reviewed_at: now,
            wake_at: now,
            effects: Vec::new(),
        }
    }

    /// Starts granting at once, for a shard that nobody owned before.
    pub fn settle(&mut self, now: Moment) {
        self.settled_at = now;
    }

    /// Waits for the entries again, after a pause of this process.
    pub fn unsettle(&mut self, now: Moment) {
        self.settled_at = now + SETTLE_TIME;
    }

    /// Takes new settings over.
    pub fn configure(&mut self, settings: Settings) {
        self.fairness.set_floors(settings.floors.clone());
        self.settings = settings;
    }

    /// Takes the list of servers over. What a vanished server held is gone with it.
    pub fn set_members(&mut self, members: &Members) {
        self.set_prefills(&members.prefills);
        self.set_decodes(&members.decodes);
    }

    fn set_prefills(&mut self, members: &[Member]) {
        let is_listed = |name: &str| members.iter().any(|one| &*one.server.name == name);
        for key in self.prefills.keys_where(|one| !is_listed(&one.server.name)) {
            self.prefills.remove(key);
            let orphans = self.places.values_mut().filter(|place| place.prefill == Some(key));
            orphans.for_each(|place| place.prefill = None);
        }
        for member in members {
            let known = self.prefills.find(|one| one.server.name == member.server.name);
            let key =
                known.unwrap_or_else(|| self.prefills.insert(Prefill::new(member.server.clone())));
            if let Some(server) = self.prefills.get_mut(key) {
                server.leaving = member.leaving;
            }
        }
    }

    fn set_decodes(&mut self, members: &[Member]) {
        let is_listed = |name: &str| members.iter().any(|one| &*one.server.name == name);
        for key in self.decodes.keys_where(|one| !is_listed(&one.server.name)) {
            let places = self.decodes.get(key).map(|one| one.places.clone()).unwrap_or_default();
            places.into_iter().for_each(|place| self.end_place(place, None));
            self.decodes.remove(key);
        }
        for member in members {
            let known = self.decodes.find(|one| one.server.name == member.server.name);
            let token_time = self.settings.token_time;
            let key = known.unwrap_or_else(|| {
                self.decodes.insert(Decode::new(member.server.clone(), token_time))
            });
            if let Some(server) = self.decodes.get_mut(key) {
                server.leaving = member.leaving;
            }
        }
    }

    /// Takes a server's load report over.
    pub fn note_load(&mut self, now: Moment, server: &str, running: u32) {
        if let Some(decode) = self.decodes.values_mut().find(|one| &*one.server.name == server) {
            decode.note_load(now, running);
        }
        if let Some(key) = self.prefills.find(|one| &*one.server.name == server) {
            let known = self.places.keys_where(|place| place.prefill == Some(key)).len() as u32;
            if let Some(prefill) = self.prefills.get_mut(key) {
                prefill.foreign = running.saturating_sub(known);
            }
        }
    }

    /// Servers whose load reports show more than the places known here.
    pub fn overloaded(&self) -> Vec<Arc<str>> {
        let prefills = self.prefills.iter().filter(|(_, one)| one.foreign > 0);
        let decodes = self.decodes.iter().filter(|(_, one)| one.foreign > 0);
        let prefills = prefills.map(|(_, one)| one.server.name.clone());
        prefills.chain(decodes.map(|(_, one)| one.server.name.clone())).collect()
    }

    /// Takes a prefill server's cache event over.
    pub fn note_cached(&mut self, server: &str, prefix: u64, stored: bool) {
        if let Some(prefill) = self.prefills.values_mut().find(|one| &*one.server.name == server) {
            prefill.hints.note(prefix, stored);
        }
    }

    /// Puts a request into the queue. Idempotent for one attempt.
    pub fn ask(&mut self, now: Moment, ask: Ask) {
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
        self.activate(&ask.customer);
        let arrival = now - ask.waited;
        let (target, deadline) = (now + ask.target, now + ask.patience);
        self.inflow.add(now, &self.load_of(&ask, false));
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

    fn activate(&mut self, customer: &Arc<str>) {
        let placed = self.places.iter().map(|(_, place)| &place.ask.customer);
        let waiting = self.waiting.iter().map(|one| &one.ask.customer);
        let mut active: Vec<Arc<str>> = placed.chain(waiting).cloned().collect();
        active.sort();
        active.dedup();
        if active.binary_search(customer).is_err() {
            self.fairness.activate(customer, &active);
        }
    }

    /// Takes a request out of the queue whose caller is gone.
    pub fn withdraw(&mut self, attempt: &Attempt) {
        self.waiting.retain(|one| one.ask.attempt != *attempt);
    }

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

    /// Cancels what belongs to entries that the instance list does not name any more.
    pub fn retain_entries(&mut self, names: &[Arc<str>]) {
        self.cancel_where(|attempt| !names.contains(&attempt.request.instance));
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
        if let Some(place) = self.places.get_mut(key) {
            place.emitted = place.emitted.max(release.emitted);
        }
        if release.confirmed { self.end_place(key, Some(now)) } else { self.cancel(key) }
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
            phase: progress.phase,
            emitted: progress.emitted,
            start: now,
            prefill_end: plan_end,
            transfer_end: plan_end + self.settings.transfer_time(ask.tokens_in),
            heard: now,
            expires: self.expiry(now, &ask),
            since: now,
            missed: 0,
            charged: 0.0,
            cancelling: false,
            ask,
        };
        self.add_place(now, place);
    }

    fn expiry(&self, now: Moment, ask: &Ask) -> Moment {
        now + ask.patience + self.settings.token_time * ask.tokens_out * 4 + EXPIRY_MARGIN
    }

    fn add_place(&mut self, now: Moment, mut place: Place) {
        let expected = f64::from(place.ask.tokens_out) * self.output_share;
        place.charged = f64::from(place.ask.tokens_in) + expected;
        let ask = &place.ask;
        self.fairness.charge(now, &ask.customer, ask.weight, ask.rank, place.charged);
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
    fn end_place(&mut self, key: Key<Place>, released_at: Option<Moment>) {
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
        self.fairness.charge(now, &ask.customer, ask.weight, ask.rank, used - place.charged);
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

    /// Decides all that can be decided now and gives what is to be done.
    pub fn step(&mut self, now: Moment) -> Vec<Effect> {
        self.expire(now);
        if now >= self.settled_at {
            self.refuse_hopeless(now);
            self.grant_all(now);
        } else {
            self.wake_at = self.settled_at;
        }
        std::mem::take(&mut self.effects)
    }

    /// When the next step is due if nothing happens before.
    pub fn wake_at(&self) -> Moment {
        let review = self.reviewed_at + REVIEW_PERIOD;
        if self.waiting.is_empty() { Moment::NEVER } else { self.wake_at.min(review) }
    }

    fn expire(&mut self, now: Moment) {
        let is_late =
            |place: &Place| now >= place.expires && now.since(place.heard) > EXPIRY_MARGIN;
        let late = self.places.keys_where(is_late);
        late.into_iter().for_each(|key| self.cancel(key));
    }

    fn grant_all(&mut self, now: Moment) {
        self.wake_at = Moment::NEVER;
        let mut passed: Vec<usize> = Vec::new();
        let mut candidates = self.candidates(now);
        while let Some(pick) = self.pick(&candidates, &passed) {
            let found = self.search(now, pick.index);
            if !candidates[pick.index].is_late && self.misses_target(pick.index, &found) {
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
        place::search(now, ask, &self.settings, prefills, decodes, &self.places)
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
                customer: one.ask.customer.clone(),
                is_late,
                due: if is_late { one.deadline } else { one.target },
                arrival: one.arrival,
            }
        };
        self.waiting.iter().map(to_candidate).collect()
    }

    /// Whether the first token would miss its target even if the request started now.
    fn is_late(&self, now: Moment, one: &Waiting) -> bool {
        one.misses_target || now + self.own_time(&one.ask) + TARGET_MARGIN > one.target
    }

    /// Time from the start of a request to its first token.
    fn own_time(&self, ask: &Ask) -> Duration {
        self.settings.prefill_time(ask.tokens_in)
            + self.settings.transfer_time(ask.tokens_in)
            + self.settings.token_time
    }

    fn pick(&self, candidates: &[Candidate], passed: &[usize]) -> Option<crate::order::Pick> {
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
        let (Some(prefill), Some(decode)) =
            (self.prefills.get_mut(plan.prefill), self.decodes.get(plan.decode))
        else {
            return;
        };
        prefill.free_at = plan.prefill_end;
        let grant = Grant {
            owner: self.owner.clone(),
            epoch: self.epoch,
            number: self.granted,
            prefill: prefill.server.clone(),
            decode: decode.server.clone(),
            pieces: plan.pieces,
            start_in: plan.start.since(now),
            reason,
            basis,
        };
        let place = Place {
            prefill: Some(plan.prefill),
            decode: plan.decode,
            pieces: plan.pieces,
            phase: Phase::Prefill,
            emitted: 0,
            start: plan.start,
            prefill_end: plan.prefill_end,
            transfer_end: plan.transfer_end,
            heard: now,
            expires: self.expiry(now, &waiting.ask),
            since: now,
            missed: 0,
            charged: 0.0,
            cancelling: false,
            ask: waiting.ask,
        };
        let attempt = place.ask.attempt.clone();
        self.add_place(now, place);
        self.effects.push(Effect::Answer(attempt, Verdict::Grant(grant)));
    }

    fn basis(&self, now: Moment, index: usize, plan: &Plan) -> Basis {
        let picked = &self.waiting[index];
        let is_rival = |one: &&Waiting| {
            one.ask.rank == picked.ask.rank && one.ask.customer != picked.ask.customer
        };
        let rivals = self.waiting.iter().filter(is_rival);
        let least = rivals.map(|one| self.fairness.served(&one.ask.customer)).reduce(f64::min);
        Basis {
            waiting: self.waiting.len() as u32,
            rank: picked.ask.rank,
            served: self.fairness.served(&picked.ask.customer) as u64,
            served_least: least.unwrap_or(0.0) as u64,
            waited_ms: now.since(picked.arrival).as_millis() as u64,
            patience_ms: picked.deadline.since(now).as_millis() as u64,
            predicted_ms: plan.transfer_end.since(now).as_millis() as u64,
            cached: plan.cached,
            slots_free: plan.slots_free,
        }
    }

    /// Refuses at once whoever can't have its first token before its deadline.
    fn refuse_hopeless(&mut self, now: Moment) {
        if now.since(self.reviewed_at) < REVIEW_PERIOD || self.waiting.is_empty() {
            return;
        }
        self.reviewed_at = now;
        let capacity = self.capacity(now);
        if capacity.slots == 0 || capacity.prefills == 0 {
            self.refuse_all(Cause::NoBackend);
            return;
        }
        let mut queue: Vec<estimate::Load> =
            self.waiting.iter().map(|one| self.load_of(&one.ask, self.is_late(now, one))).collect();
        let utilisation = self.inflow.utilisation(now, &capacity);
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
            let retry_after = first_token.since(deadline).clamp(RETRY_MIN, RETRY_MAX);
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
            served: self.fairness.served(&one.ask.customer) as u64,
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
        let live = || self.decodes.iter().filter(|(_, one)| !one.leaving);
        let free: u32 = live().map(|(_, one)| one.slots_free(self.settings.slots)).sum();
        let ends = live().flat_map(|(_, server)| {
            let places = server.places.iter().filter_map(|key| self.places.get(*key));
            places.map(|place| place.predicted_end(server.pace * self.output_share))
        });
        let next_slot =
            if free > 0 { Duration::ZERO } else { ends.min().unwrap_or(now).since(now) };
        estimate::Capacity {
            slots: live().count() as u32 * self.settings.slots,
            prefills: self.prefills.iter().filter(|(_, one)| !one.leaving).count() as u32,
            next_slot,
        }
    }

    fn load_of(&self, ask: &Ask, is_late: bool) -> estimate::Load {
        let prefill = self.settings.prefill_time(ask.tokens_in);
        let tokens = f64::from(ask.tokens_out) * self.output_share;
        let decode = self.settings.token_time.mul_f64(tokens);
        estimate::Load {
            rank: ask.rank,
            customer: ask.customer.clone(),
            weight: ask.weight,
            hold: prefill + self.settings.transfer_time(ask.tokens_in) + decode,
            prefill,
            is_late,
        }
    }

    fn find(&self, attempt: &Attempt) -> Option<Key<Place>> {
        let found = self.index.binary_search_by(|entry| entry.attempt.cmp(attempt));
        found.ok().map(|at| self.index[at].place)
    }

    /// Whether the attempt holds a place.
    pub fn holds(&self, attempt: &Attempt) -> bool {
        self.find(attempt).is_some()
    }

    /// Requests in the queue, in order of arrival.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    /// Places held.
    pub fn held(&self) -> usize {
        self.places.len()
    }

    /// Places and pieces reserved at each decode server.
    pub fn reserved(&self) -> impl Iterator<Item = Reserved> {
        self.decodes.iter().map(|(_, one)| Reserved {
            server: one.server.name.clone(),
            places: one.places.len() as u32,
            pieces: one.pieces,
        })
    }

    /// What customers and classes have been served.
    pub fn fairness(&self) -> &Fairness {
        &self.fairness
    }

    /// Checks that nothing is counted twice or lost.
    ///
    /// # Errors
    /// The rule that is broken.
    pub fn check(&self) -> Result<(), String> {
        invariant::check(self)
    }
}

/// What is reserved at one decode server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// Name of the server.
    pub server: Arc<str>,
    /// Places.
    pub places: u32,
    /// Pieces.
    pub pieces: u32,
}

fn shift_down(indices: &mut [usize], removed: usize) {
    indices.iter_mut().filter(|at| **at > removed).for_each(|at| *at -= 1);
}
