//! State machine for a call that may run at most once. It takes the result of each step as an event
//! and returns the next step; the code that runs the machine does the I/O.
//!
//! A claim is an object in the platform's store, created under the call's key before the call is
//! sent. A daemon sends the call only if it has proved that it holds the claim, so that two
//! requests with the same key don't both run. An outcome that isn't known is recorded as unknown.
//! If the holder's process ends before it has recorded the outcome, the claim stays *started*, and
//! other requests with the key treat the outcome as unknown too. In both cases the call is not sent
//! again while the claim exists; claims are deleted when they reach a certain age. A claim that is
//! recorded as *not run* can be replaced by another request's claim.

use {
    ffw_protocol::{
        error::{Kind, Run},
        id,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Pause between two reads of a claim that another request holds.
const WAIT_PERIOD: Duration = Duration::from_millis(100);

/// Pause before a failed call to the store is retried.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// The recorded answer of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: Arc<str>,
    /// Response body.
    pub body: Arc<str>,
}

/// What is recorded about the call of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The call may be running.
    Started,
    /// The call ran and got this answer.
    Done(Answer),
    /// It is proved that the call did not run.
    NotRun,
    /// The call may have run; its outcome isn't known.
    Unknown,
}

/// Content of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Random number of the attempt that holds the claim. A daemon recognises its own claim by it
    /// after a write whose result it did not get.
    pub nonce: Arc<str>,
    /// Digest of the call's path and body, to detect a key that is reused for another call.
    pub digest: Arc<str>,
    /// Request that holds the claim.
    pub holder: id::Request,
    /// State of the call.
    pub state: State,
    /// Time of creation, in milliseconds since the Unix epoch.
    pub created_ms: u64,
}

/// A claim as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Content of the object.
    pub claim: Claim,
    /// Resource version of the object.
    pub resource_version: Arc<str>,
    /// Whether the process of the request that holds the claim is still running.
    pub is_holder_running: bool,
}

/// Outcome of the call after it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered.
    Answered(Answer),
    /// It is proved that the service did not accept the call.
    NotRun(Kind),
    /// It isn't known whether the call ran.
    Unknown(Kind),
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect; the object now has this resource version.
    Written(Arc<str>),
    /// The store refused the write: the object already exists, or has another resource version.
    Refused,
    /// It isn't known whether the write took effect.
    ResultUnknown,
    /// The call to the store failed and nothing was written.
    Failed,
    /// The object was read; `None` if it does not exist.
    Read(Option<Stored>),
    /// The call was sent and ended with this outcome.
    CallEnded(Outcome),
    /// The pause has ended.
    PauseEnded,
}

/// Next step to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Create the claim object.
    Create(Claim),
    /// Replace the claim object if it has this resource version.
    Replace(Arc<str>, Claim),
    /// Read the claim object.
    Read,
    /// Send the call; returned at most once.
    Send,
    /// Pause, then report [`Event::PauseEnded`].
    Pause(Duration),
    /// Answer the caller; there are no further steps.
    Finish(Finish),
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The service's answer, from this call or recorded by an earlier call with the same key.
    Answer(Answer),
    /// An error, and whether the call ran.
    Error(Kind, Run),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Creating,
    CreateCheck,
    Replacing,
    ReplaceCheck,
    Waiting,
    Sending,
    Recording,
    RecordCheck,
    Finished,
}

/// State machine of one call.
#[derive(Clone, Debug)]
pub struct Machine {
    claim: Claim,
    stage: Stage,
    /// Resource version of this request's claim, as last known from a write or a read of it. The
    /// write that records the outcome expects it. Empty until the claim is known to be held.
    resource_version: Arc<str>,
    outcome: Option<Outcome>,
    has_given_up: bool,
}

impl Machine {
    /// Creates the machine for a call, with the claim to create; returns it with the first step.
    pub fn start(claim: Claim) -> (Machine, Step) {
        let step = Step::Create(claim.clone());
        let stage = Stage::Creating;
        (
            Machine {
                claim,
                stage,
                resource_version: "".into(),
                outcome: None,
                has_given_up: false,
            },
            step,
        )
    }

    /// Whether the call was sent, or [`Step::Send`] was returned.
    pub fn was_sent(&self) -> bool {
        matches!(self.stage, Stage::Sending | Stage::Recording | Stage::RecordCheck)
            || self.outcome.is_some()
    }

    /// Ends the machine because the caller's time limit has passed, and returns the answer for the
    /// caller. Afterwards [`Machine::next`] only returns [`Step::Finish`], so that the call is not
    /// sent any more, and an outcome that arrives later is not recorded.
    pub fn give_up(&mut self) -> Finish {
        self.has_given_up = true;
        match (&self.outcome, &self.stage) {
            (Some(outcome), _) => finish_for(outcome),
            (None, Stage::Sending) => Finish::Error(Kind::Timeout, Run::Unknown),
            (None, Stage::Waiting) => Finish::Error(Kind::OutcomeUnknown, Run::Unknown),
            (None, _) => Finish::Error(Kind::StoreUnavailable, Run::Not),
        }
    }

    /// The claim in state [`State::NotRun`], to replace a stored claim with the same nonce after
    /// the machine has given up without sending the call.
    pub fn not_run_claim(&self) -> Claim {
        Claim { state: State::NotRun, ..self.claim.clone() }
    }

    /// Handles the result of the last step and returns the next step.
    pub fn next(&mut self, event: Event) -> Step {
        if self.has_given_up {
            return Step::Finish(self.give_up());
        }
        match self.stage {
            Stage::Creating => self.on_create(event),
            Stage::CreateCheck | Stage::Waiting => self.on_read(event),
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
            Event::Refused | Event::ResultUnknown => {
                self.stage = Stage::CreateCheck;
                Step::Read
            }
            // Retrying the creation is safe: if an earlier one took effect, this one is rejected
            // and the following read finds the same nonce.
            Event::PauseEnded => Step::Create(self.claim.clone()),
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn on_read(&mut self, event: Event) -> Step {
        match event {
            Event::Read(Some(found)) => self.on_found(found),
            Event::Read(None) => {
                self.stage = Stage::Creating;
                Step::Create(self.claim.clone())
            }
            Event::PauseEnded => Step::Read,
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn on_found(&mut self, found: Stored) -> Step {
        if found.claim.digest != self.claim.digest {
            return self.finish(Finish::Error(Kind::KeyReused, Run::Not));
        }
        let is_same_attempt = found.claim.nonce == self.claim.nonce;
        match found.claim.state {
            State::Started if is_same_attempt => self.send(found.resource_version),
            State::Done(answer) => self.finish(Finish::Answer(answer)),
            State::Unknown => self.finish(Finish::Error(Kind::OutcomeUnknown, Run::Unknown)),
            State::NotRun => {
                self.stage = Stage::Replacing;
                Step::Replace(found.resource_version, self.claim.clone())
            }
            State::Started if found.is_holder_running => {
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
        self.resource_version = version;
        Step::Send
    }

    fn on_sent(&mut self, event: Event) -> Step {
        let Event::CallEnded(outcome) = event else {
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
        Step::Replace(self.resource_version.clone(), Claim { state, ..self.claim.clone() })
    }

    fn on_recorded(&mut self, event: Event) -> Step {
        match event {
            Event::Written(_) => self.finish_outcome(),
            Event::PauseEnded => self.record(),
            Event::Refused | Event::ResultUnknown => {
                self.stage = Stage::RecordCheck;
                Step::Read
            }
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn on_record_check(&mut self, event: Event) -> Step {
        match event {
            Event::Read(Some(found)) if found.claim.nonce == self.claim.nonce => {
                if found.claim.state != State::Started {
                    return self.finish_outcome();
                }
                self.resource_version = found.resource_version;
                self.stage = Stage::Recording;
                self.record()
            }
            // The claim was deleted because of its age, or replaced by another request after it had
            // been recorded as not run.
            Event::Read(_) => self.finish_outcome(),
            Event::PauseEnded => Step::Read,
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn finish_outcome(&mut self) -> Step {
        let finish = self.outcome.as_ref().map(finish_for);
        self.finish(finish.unwrap_or(Finish::Error(Kind::Internal, Run::Unknown)))
    }

    fn finish(&mut self, finish: Finish) -> Step {
        self.stage = Stage::Finished;
        Step::Finish(finish)
    }
}

fn finish_for(outcome: &Outcome) -> Finish {
    match outcome {
        Outcome::Answered(answer) => Finish::Answer(answer.clone()),
        Outcome::NotRun(kind) => Finish::Error(*kind, Run::Not),
        Outcome::Unknown(kind) => Finish::Error(*kind, Run::Unknown),
    }
}
