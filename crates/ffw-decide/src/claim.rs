//! The claim of a call that may run at most once, as a machine that says what to do next.
//!
//! A claim is an object of the platform, created before the call is sent. Whoever can't prove that
//! it holds the claim does not send; an outcome that nobody knows stays unknown, and the call is
//! never sent again under its key. A claim that proves *not run* may be taken over.

use {
    ffw_protocol::{
        error::{Kind, Run},
        id,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Pause between two reads of a claim that another call holds.
const WAIT_PERIOD: Duration = Duration::from_millis(100);

/// Pause before the object API is tried again.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// The recorded answer of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: Arc<str>,
    /// Body.
    pub body: Arc<str>,
}

/// What is known of the call behind a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may be under way.
    Started,
    /// It ran; this is its answer.
    Done(Answer),
    /// It was proved not to have run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Content of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Random name of the attempt that holds it.
    pub nonce: Arc<str>,
    /// Digest of the call's path and body.
    pub digest: Arc<str>,
    /// Request that holds it.
    pub holder: id::Request,
    /// What is known.
    pub state: State,
    /// Creation, in milliseconds since the Unix epoch.
    pub created_ms: u64,
}

/// A claim as the platform returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The claim.
    pub claim: Claim,
    /// Its resource version.
    pub version: Arc<str>,
    /// Whether the process that holds it still runs.
    pub holder_lives: bool,
}

/// What became of the call after it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered.
    Answered(Answer),
    /// It is proved that the service did not take the call.
    NotRun(Kind),
    /// Nobody knows.
    Unknown(Kind),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect; the object has this version.
    Written(Arc<str>),
    /// The write was refused: the name is taken, or the version is another one.
    Refused,
    /// Nobody knows whether the write took effect.
    Lost,
    /// The API refused the call; nothing was written.
    Down,
    /// The object was read.
    Read(Option<Found>),
    /// The call ended.
    Sent(Outcome),
    /// The pause is over.
    Waited,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Create the object.
    Create(Claim),
    /// Replace the object if it is at this version.
    Replace(Arc<str>, Claim),
    /// Read the object.
    Read,
    /// Send the call, once.
    Send,
    /// Pause, then report [`Event::Waited`].
    Pause(Duration),
    /// Answer the caller; the machine may go on to record the outcome.
    Finish(Finish),
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The service's answer, from this call or recorded by an earlier one.
    Answer(Answer),
    /// An error of this kind.
    Error(Kind, Run),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Acquiring,
    Checking,
    Replacing,
    ReplaceCheck,
    Waiting,
    Sending,
    Recording,
    RecordCheck,
    Finished,
}

/// One call's way through its claim.
#[derive(Clone, Debug)]
pub struct Machine {
    mine: Claim,
    stage: Stage,
    version: Arc<str>,
    outcome: Option<Outcome>,
    given_up: bool,
}

impl Machine {
    /// A machine for one call, and its first step.
    pub fn start(mine: Claim) -> (Machine, Step) {
        let step = Step::Create(mine.clone());
        let stage = Stage::Acquiring;
        (Machine { mine, stage, version: "".into(), outcome: None, given_up: false }, step)
    }

    /// Whether the call was sent.
    pub fn was_sent(&self) -> bool {
        matches!(self.stage, Stage::Sending | Stage::Recording | Stage::RecordCheck)
            || self.outcome.is_some()
    }

    /// The answer for a caller that can't wait any longer. Nothing is sent afterwards.
    pub fn give_up(&mut self) -> Finish {
        self.given_up = true;
        match (&self.outcome, &self.stage) {
            (Some(outcome), _) => finish_of(outcome),
            (None, Stage::Sending) => Finish::Error(Kind::Timeout, Run::Unknown),
            (None, Stage::Waiting) => Finish::Error(Kind::OutcomeUnknown, Run::Unknown),
            (None, _) => Finish::Error(Kind::StoreUnavailable, Run::Not),
        }
    }

    /// The claim as it should stand once the machine has given up without sending, for the caller
    /// to write over a claim of the same nonce.
    pub fn abandoned(&self) -> Claim {
        Claim { state: State::NotRun, ..self.mine.clone() }
    }

    /// Takes an event and gives the next step.
    pub fn next(&mut self, event: Event) -> Step {
        if self.given_up {
            return Step::Finish(self.give_up());
        }
        match self.stage {
            Stage::Acquiring => self.on_create(event),
            Stage::Checking | Stage::Waiting => self.on_read(event),
            Stage::Replacing => self.on_replace(event),
            Stage::ReplaceCheck => self.on_read(event),
            Stage::Sending => self.on_sent(event),
            Stage::Recording => self.on_recorded(event),
            Stage::RecordCheck => self.on_record_check(event),
            Stage::Finished => Step::Finish(Finish::Error(Kind::Internal, Run::Unknown)),
        }
    }

    fn on_create(&mut self, event: Event) -> Step {
        match event {
            Event::Written(version) => self.send(version),
            Event::Refused | Event::Lost => {
                self.stage = Stage::Checking;
                Step::Read
            }
            // Creating again is safe: a second one finds this nonce.
            Event::Waited => Step::Create(self.mine.clone()),
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn on_read(&mut self, event: Event) -> Step {
        match event {
            Event::Read(Some(found)) => self.on_found(found),
            Event::Read(None) => {
                self.stage = Stage::Acquiring;
                Step::Create(self.mine.clone())
            }
            Event::Waited => Step::Read,
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn on_found(&mut self, found: Found) -> Step {
        if found.claim.digest != self.mine.digest {
            return self.finish(Finish::Error(Kind::KeyReused, Run::Not));
        }
        let is_mine = found.claim.nonce == self.mine.nonce;
        match found.claim.state {
            State::Started if is_mine => self.send(found.version),
            State::Done(answer) => self.finish(Finish::Answer(answer)),
            State::Unknown => self.finish(Finish::Error(Kind::OutcomeUnknown, Run::Unknown)),
            State::NotRun => {
                self.stage = Stage::Replacing;
                Step::Replace(found.version, self.mine.clone())
            }
            State::Started if found.holder_lives => {
                self.stage = Stage::Waiting;
                Step::Pause(WAIT_PERIOD)
            }
            State::Started => self.finish(Finish::Error(Kind::OutcomeUnknown, Run::Unknown)),
        }
    }

    fn on_replace(&mut self, event: Event) -> Step {
        match event {
            Event::Written(version) => self.send(version),
            _ => {
                self.stage = Stage::ReplaceCheck;
                Step::Read
            }
        }
    }

    fn send(&mut self, version: Arc<str>) -> Step {
        self.stage = Stage::Sending;
        self.version = version;
        Step::Send
    }

    fn on_sent(&mut self, event: Event) -> Step {
        let Event::Sent(outcome) = event else {
            return Step::Pause(RETRY_PERIOD);
        };
        self.outcome = Some(outcome);
        self.stage = Stage::Recording;
        self.record()
    }

    fn record(&self) -> Step {
        let state = match &self.outcome {
            Some(Outcome::Answered(answer)) => State::Done(answer.clone()),
            Some(Outcome::NotRun(_)) => State::NotRun,
            Some(Outcome::Unknown(_)) | None => State::Unknown,
        };
        Step::Replace(self.version.clone(), Claim { state, ..self.mine.clone() })
    }

    fn on_recorded(&mut self, event: Event) -> Step {
        match event {
            Event::Written(_) => self.finish_outcome(),
            Event::Waited => self.record(),
            Event::Refused | Event::Lost => {
                self.stage = Stage::RecordCheck;
                Step::Read
            }
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn on_record_check(&mut self, event: Event) -> Step {
        match event {
            Event::Read(Some(found)) if found.claim.nonce == self.mine.nonce => {
                if found.claim.state != State::Started {
                    return self.finish_outcome();
                }
                self.version = found.version;
                self.stage = Stage::Recording;
                self.record()
            }
            // Deleted after its time, or taken over after it was recorded as not run.
            Event::Read(_) => self.finish_outcome(),
            Event::Waited => Step::Read,
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn finish_outcome(&mut self) -> Step {
        let finish = self.outcome.as_ref().map(finish_of);
        self.finish(finish.unwrap_or(Finish::Error(Kind::Internal, Run::Unknown)))
    }

    fn finish(&mut self, finish: Finish) -> Step {
        self.stage = Stage::Finished;
        Step::Finish(finish)
    }
}

fn finish_of(outcome: &Outcome) -> Finish {
    match outcome {
        Outcome::Answered(answer) => Finish::Answer(answer.clone()),
        Outcome::NotRun(kind) => Finish::Error(*kind, Run::Not),
        Outcome::Unknown(kind) => Finish::Error(*kind, Run::Unknown),
    }
}
