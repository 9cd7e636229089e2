//! Simulation of one shard with deterministic engines in virtual time. A prefill server processes
//! one prompt at a time, and a decode server has a fixed number of slots. A prefill result that no
//! decode server has begun to fetch within its lifetime is wasted. Grants, and reports that a
//! prompt is prefilled, can be given a delay.

use {
    crate::build,
    ffw_decide::shard::{Effect, Settings, Shard},
    ffw_protocol::{
        admission::{Ask, Attempt, Grant, Phase, Progress, Refusal, Release, Renewal, Verdict},
        time::Moment,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Length of one step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Period of the entry's full renewals.
const RENEWAL_PERIOD: Duration = Duration::from_millis(200);

/// A granted request that has not ended.
#[derive(Clone, Debug)]
struct Run {
    ask: Ask,
    grant: Grant,
    output_tokens: u32,
    stage: Stage,
}

/// Stage of a run, with the time at which the stage ends or began.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Prefill {
        ends_at: Moment,
    },
    /// The prefill result waits for a decode slot.
    Ready {
        expires_at: Moment,
    },
    Transfer {
        ends_at: Moment,
    },
    Decode {
        began_at: Moment,
    },
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// All tokens were generated; holds the time from the admission request to the first token.
    Answered(Duration),
    /// The shard refused it.
    Refused(Refusal),
    /// Its prefill result expired before a decode slot was free.
    Wasted,
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The admission request.
    pub ask: Ask,
    /// How it ended.
    pub end: End,
}

/// A shard with simulated engines and one entry.
#[derive(Debug)]
pub struct Drive {
    /// The shard.
    pub shard: Shard,
    /// Current virtual time.
    pub now: Moment,
    /// Requests that have ended, in order of their ends.
    pub ended: Vec<Outcome>,
    /// Grants in the order in which they were made.
    pub grants: Vec<Grant>,
    /// Time from a grant to its prefill server, and from the end of a prefill to the shard.
    pub message_delay: Duration,
    settings: Settings,
    requests: BTreeMap<Attempt, Request>,
    runs: Vec<Run>,
    prefill_free_at: BTreeMap<Arc<str>, Moment>,
    renewed_at: Moment,
    /// Reports on their way to the shard, in order of their arrival.
    reports: VecDeque<(Moment, Renewal)>,
}

/// A request as it was sent to the shard.
#[derive(Clone, Debug)]
struct Request {
    ask: Ask,
    output_tokens: u32,
    enqueued_at: Moment,
}

impl Drive {
    /// A shard that is not in recovery, with the given numbers of live servers.
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
            message_delay: Duration::ZERO,
            settings,
            requests: BTreeMap::new(),
            runs: Vec::new(),
            prefill_free_at: BTreeMap::new(),
            renewed_at: now,
            reports: VecDeque::new(),
        }
    }

    /// Sends an admission request for an answer that will have `output_tokens` tokens.
    pub fn ask(&mut self, ask: Ask, output_tokens: u32) {
        let request = Request { ask: ask.clone(), output_tokens, enqueued_at: self.now };
        self.requests.insert(ask.attempt.clone(), request);
        self.shard.enqueue(self.now, ask);
    }

    /// Number of requests in the queue of the shard.
    pub fn waiting(&self) -> usize {
        self.shard.waiting().len()
    }

    /// Advances virtual time by `span`, in steps of 1 ms.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.advance_engines();
            self.deliver_reports();
            self.renew();
            self.decide();
        }
    }

    fn decide(&mut self) {
        for effect in self.shard.step(self.now) {
            match effect {
                Effect::Answer(attempt, Verdict::Grant(grant)) => self.start_run(&attempt, grant),
                Effect::Answer(attempt, Verdict::Refusal(refusal)) => {
                    if let Some(request) = self.requests.get(&attempt) {
                        let (ask, end) = (request.ask.clone(), End::Refused(refusal));
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

    fn start_run(&mut self, attempt: &Attempt, grant: Grant) {
        let Some(request) = self.requests.get(attempt).cloned() else { return };
        let free_at = self.prefill_free_at.entry(grant.prefill.name.clone()).or_insert(Moment(0));
        let start = (*free_at).max(self.now + grant.start_in + self.message_delay);
        let ends_at = start + self.settings.prefill_time(request.ask.tokens_in);
        *free_at = ends_at;
        self.grants.push(grant.clone());
        let (ask, output_tokens) = (request.ask, request.output_tokens);
        self.runs.push(Run { ask, grant, output_tokens, stage: Stage::Prefill { ends_at } });
    }

    fn advance_engines(&mut self) {
        let mut index = 0;
        while index < self.runs.len() {
            let (stage, end) = self.next_stage(&self.runs[index]);
            let changed = stage != self.runs[index].stage;
            self.runs[index].stage = stage;
            if let Some(end) = end {
                self.end(index, end);
                continue;
            }
            if changed && matches!(stage, Stage::Ready { .. }) {
                self.send_progress(index, false);
            }
            index += 1;
        }
    }

    fn next_stage(&self, run: &Run) -> (Stage, Option<End>) {
        let now = self.now;
        match run.stage {
            Stage::Prefill { ends_at } if now >= ends_at => {
                (Stage::Ready { expires_at: ends_at + self.settings.result_lifetime }, None)
            }
            Stage::Ready { expires_at } if now >= expires_at => (run.stage, Some(End::Wasted)),
            Stage::Ready { .. }
                if self.slots_used(&run.grant.decode.name) < self.settings.slots =>
            {
                let transfer_time = self.settings.transfer_time(run.ask.tokens_in);
                (Stage::Transfer { ends_at: now + transfer_time }, None)
            }
            Stage::Transfer { ends_at } if now >= ends_at => {
                (Stage::Decode { began_at: now }, None)
            }
            Stage::Decode { began_at } => {
                let generation_time = self.settings.token_time * run.output_tokens;
                let first_token_at = began_at + self.settings.token_time;
                let enqueued_at =
                    self.requests.get(&run.ask.attempt).map_or(now, |request| request.enqueued_at);
                let end = (now >= began_at + generation_time)
                    .then(|| End::Answered(first_token_at.since(enqueued_at)));
                (run.stage, end)
            }
            stage => (stage, None),
        }
    }

    fn slots_used(&self, decode: &str) -> u32 {
        let is_counted = |run: &&Run| {
            let holds_slot = matches!(run.stage, Stage::Transfer { .. } | Stage::Decode { .. });
            holds_slot && &*run.grant.decode.name == decode
        };
        self.runs.iter().filter(is_counted).count() as u32
    }

    fn end(&mut self, index: usize, end: End) {
        let run = self.runs.remove(index);
        let emitted = if matches!(end, End::Answered(_)) { run.output_tokens } else { 0 };
        let release =
            Release { attempt: run.ask.attempt.clone(), emitted, confirmed: true, failed: None };
        let renewal = Renewal { releases: vec![release], ..self.renewal(false) };
        self.shard.renew(self.now, &renewal);
        self.ended.push(Outcome { ask: run.ask, end });
    }

    fn renewal(&self, full: bool) -> Renewal {
        Renewal { entry: "entry-1".into(), incarnation: 1, full, ..Renewal::default() }
    }

    fn send_progress(&mut self, index: usize, full: bool) {
        let progress = vec![self.progress(&self.runs[index])];
        let renewal = Renewal { progress, ..self.renewal(full) };
        self.reports.push_back((self.now + self.message_delay, renewal));
    }

    fn deliver_reports(&mut self) {
        while self.reports.front().is_some_and(|(arrival, _)| *arrival <= self.now) {
            let Some((_, renewal)) = self.reports.pop_front() else { return };
            self.shard.renew(self.now, &renewal);
        }
    }

    fn progress(&self, run: &Run) -> Progress {
        let (phase, emitted) = match run.stage {
            Stage::Prefill { .. } => (Phase::Prefill, 0),
            Stage::Ready { .. } | Stage::Transfer { .. } => (Phase::Transfer, 0),
            Stage::Decode { began_at } => {
                let span = self.now.since(began_at).as_micros();
                (Phase::Decode, (span / self.settings.token_time.as_micros()) as u32)
            }
        };
        Progress {
            ask: run.ask.clone(),
            prefill: run.grant.prefill.name.clone(),
            decode: run.grant.decode.name.clone(),
            phase,
            emitted,
        }
    }

    /// Full renewal of the entry: the progress of all its runs.
    pub fn full_renewal(&self) -> Renewal {
        let progress = self.runs.iter().map(|run| self.progress(run)).collect();
        Renewal { progress, ..self.renewal(true) }
    }

    fn renew(&mut self) {
        if self.now.since(self.renewed_at) >= RENEWAL_PERIOD {
            self.renewed_at = self.now;
            let renewal = self.full_renewal();
            self.shard.renew(self.now, &renewal);
        }
    }

    /// Replaces the owner by one without any state. The entry sends it a full renewal and repeats
    /// the admission requests that were waiting.
    pub fn change_owner(&mut self, prefills: usize, decodes: usize) {
        let waiting: Vec<Ask> =
            self.shard.waiting().iter().map(|waiting| waiting.ask.clone()).collect();
        let mut shard = Shard::new(self.now, "next-owner".into(), 2, self.settings.clone());
        shard.set_members(&build::members(prefills, decodes));
        let renewal = self.full_renewal();
        shard.renew(self.now, &renewal);
        waiting.into_iter().for_each(|ask| shard.enqueue(self.now, ask));
        self.shard = shard;
    }
}
