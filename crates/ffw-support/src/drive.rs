//! Runs one shard against exact engines in virtual time: prefill servers take one prompt at a time,
//! decode servers have so many slots, and a prefill result that is not taken in time is wasted.

use {
    crate::build,
    ffw_decide::shard::{Effect, Settings, Shard},
    ffw_protocol::{
        admission::{Ask, Attempt, Grant, Phase, Progress, Refusal, Release, Renewal, Verdict},
        time::Moment,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Length of one step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Period of the entry's renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(200);

/// A request on its way.
#[derive(Clone, Debug)]
struct Running {
    ask: Ask,
    grant: Grant,
    output: u32,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Prefill { ends: Moment },
    Ready { expires: Moment },
    Transfer { ends: Moment },
    Decode { began: Moment },
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// All tokens came; the span is from its ask to its first token.
    Answered(Duration),
    /// It was refused.
    Refused(Refusal),
    /// Its prefill result expired before a slot was free.
    Wasted,
}

/// One request with its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was asked.
    pub ask: Ask,
    /// How it ended.
    pub end: End,
}

/// A shard and its engines.
#[derive(Debug)]
pub struct Drive {
    /// The shard.
    pub shard: Shard,
    /// Virtual time.
    pub now: Moment,
    /// Requests that have ended, in order.
    pub ended: Vec<Outcome>,
    /// Grants in order.
    pub grants: Vec<Grant>,
    settings: Settings,
    asked: BTreeMap<Attempt, Asked>,
    running: Vec<Running>,
    prefill_free: BTreeMap<Arc<str>, Moment>,
    renewed_at: Moment,
}

#[derive(Clone, Debug)]
struct Asked {
    ask: Ask,
    output: u32,
    at: Moment,
}

impl Drive {
    /// A settled shard with so many live servers.
    pub fn new(settings: Settings, prefills: usize, decodes: usize) -> Drive {
        let now = Moment::from_millis(1_000);
        let mut shard = Shard::new(now, "owner".into(), 1, settings.clone());
        shard.skip_recovery(now);
        shard.set_members(&build::members(prefills, decodes));
        Drive {
            shard,
            now,
            ended: Vec::new(),
            grants: Vec::new(),
            settings,
            asked: BTreeMap::new(),
            running: Vec::new(),
            prefill_free: BTreeMap::new(),
            renewed_at: now,
        }
    }

    /// Asks for a place; `output` is the number of tokens that the answer will have.
    pub fn ask(&mut self, ask: Ask, output: u32) {
        let asked = Asked { ask: ask.clone(), output, at: self.now };
        self.asked.insert(ask.attempt.clone(), asked);
        self.shard.enqueue(self.now, ask);
    }

    /// Requests that neither ended nor hold a place.
    pub fn waiting(&self) -> usize {
        self.shard.waiting().len()
    }

    /// Lets virtual time pass.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.move_engines();
            self.renew();
            self.decide();
        }
    }

    fn decide(&mut self) {
        for effect in self.shard.step(self.now) {
            match effect {
                Effect::Answer(attempt, Verdict::Grant(grant)) => self.begin(&attempt, grant),
                Effect::Answer(attempt, Verdict::Refusal(refusal)) => {
                    if let Some(asked) = self.asked.get(&attempt) {
                        let (ask, end) = (asked.ask.clone(), End::Refused(refusal));
                        self.ended.push(Outcome { ask, end });
                    }
                }
                Effect::Cancel(attempt, _) => self.shard.confirm_cancel(self.now, &attempt),
            }
        }
        if let Err(rule) = self.shard.check() {
            panic!("at {:?}: {rule}", self.now);
        }
    }

    fn begin(&mut self, attempt: &Attempt, grant: Grant) {
        let Some(asked) = self.asked.get(attempt).cloned() else { return };
        let free = self.prefill_free.entry(grant.prefill.name.clone()).or_insert(Moment(0));
        let start = (*free).max(self.now + grant.start_in);
        let ends = start + self.settings.prefill_time(asked.ask.tokens_in);
        *free = ends;
        self.grants.push(grant.clone());
        let (ask, output) = (asked.ask, asked.output);
        self.running.push(Running { ask, grant, output, stage: Stage::Prefill { ends } });
    }

    fn move_engines(&mut self) {
        let mut index = 0;
        while index < self.running.len() {
            let (stage, end) = self.next_stage(&self.running[index]);
            let changed = stage != self.running[index].stage;
            self.running[index].stage = stage;
            if let Some(end) = end {
                self.end(index, end);
                continue;
            }
            if changed && matches!(stage, Stage::Ready { .. }) {
                self.send(index, false);
            }
            index += 1;
        }
    }

    fn next_stage(&self, one: &Running) -> (Stage, Option<End>) {
        let now = self.now;
        match one.stage {
            Stage::Prefill { ends } if now >= ends => {
                (Stage::Ready { expires: ends + self.settings.result_life }, None)
            }
            Stage::Ready { expires } if now >= expires => (one.stage, Some(End::Wasted)),
            Stage::Ready { .. }
                if self.slots_used(&one.grant.decode.name) < self.settings.slots =>
            {
                let span = self.settings.transfer_time(one.ask.tokens_in);
                (Stage::Transfer { ends: now + span }, None)
            }
            Stage::Transfer { ends } if now >= ends => (Stage::Decode { began: now }, None),
            Stage::Decode { began } => {
                let whole = self.settings.token_time * one.output;
                let first = began + self.settings.token_time;
                let asked_at = self.asked.get(&one.ask.attempt).map_or(now, |asked| asked.at);
                let end = (now >= began + whole).then(|| End::Answered(first.since(asked_at)));
                (one.stage, end)
            }
            stage => (stage, None),
        }
    }

    fn slots_used(&self, decode: &str) -> u32 {
        let holds = |one: &&Running| {
            let is_placed = matches!(one.stage, Stage::Transfer { .. } | Stage::Decode { .. });
            is_placed && &*one.grant.decode.name == decode
        };
        self.running.iter().filter(holds).count() as u32
    }

    fn end(&mut self, index: usize, end: End) {
        let one = self.running.remove(index);
        let emitted = if matches!(end, End::Answered(_)) { one.output } else { 0 };
        let release =
            Release { attempt: one.ask.attempt.clone(), emitted, confirmed: true, failed: None };
        let renewal = Renewal { releases: vec![release], ..self.renewal(false) };
        self.shard.renew(self.now, &renewal);
        self.ended.push(Outcome { ask: one.ask, end });
    }

    fn renewal(&self, full: bool) -> Renewal {
        Renewal { entry: "entry-1".into(), incarnation: 1, full, ..Renewal::default() }
    }

    fn send(&mut self, index: usize, full: bool) {
        let progress = vec![self.progress(&self.running[index])];
        let renewal = Renewal { progress, ..self.renewal(full) };
        self.shard.renew(self.now, &renewal);
    }

    fn progress(&self, one: &Running) -> Progress {
        let (phase, emitted) = match one.stage {
            Stage::Prefill { .. } => (Phase::Prefill, 0),
            Stage::Ready { .. } | Stage::Transfer { .. } => (Phase::Transfer, 0),
            Stage::Decode { began } => {
                let span = self.now.since(began).as_micros();
                (Phase::Decode, (span / self.settings.token_time.as_micros()) as u32)
            }
        };
        Progress {
            ask: one.ask.clone(),
            prefill: one.grant.prefill.name.clone(),
            decode: one.grant.decode.name.clone(),
            phase,
            emitted,
        }
    }

    /// What the entry declares to its owner, as a full renewal.
    pub fn declaration(&self) -> Renewal {
        let progress = self.running.iter().map(|one| self.progress(one)).collect();
        Renewal { progress, ..self.renewal(true) }
    }

    fn renew(&mut self) {
        if self.now.since(self.renewed_at) >= RENEW_PERIOD {
            self.renewed_at = self.now;
            let renewal = self.declaration();
            self.shard.renew(self.now, &renewal);
        }
    }

    /// Replaces the owner by a new one that knows nothing: the entries ask and declare again.
    pub fn change_owner(&mut self, prefills: usize, decodes: usize) {
        let waiting: Vec<Ask> = self.shard.waiting().iter().map(|one| one.ask.clone()).collect();
        let mut shard = Shard::new(self.now, "next-owner".into(), 2, self.settings.clone());
        shard.set_members(&build::members(prefills, decodes));
        let renewal = self.declaration();
        shard.renew(self.now, &renewal);
        waiting.into_iter().for_each(|ask| shard.enqueue(self.now, ask));
        self.shard = shard;
    }
}
