//! State machine for a change of the configuration, and the rule by which a daemon adopts a
//! version. The machine takes the result of each step as an event and returns the next step; the
//! code that runs the machine does the I/O.
//!
//! The version in force is copied to a history object before it is replaced. The new version
//! contains the author, reason and id of its change, so that one conditional write stores the
//! change together with its record. Operators that race each other therefore never lose a change
//! that was accepted.

use {
    ffw_protocol::config::Version,
    std::{sync::Arc, time::Duration},
};

/// Pause before a failed call to the store is retried.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// Whether a daemon adopts the offered version in place of its current one: only if the offered
/// number is higher, or if there is no current one.
pub fn supersedes(current: Option<&Version>, offered: &Version) -> bool {
    current.is_none_or(|current| offered.number > current.number)
}

/// A version as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Content of the object.
    pub version: Version,
    /// Resource version of the object.
    pub resource_version: Arc<str>,
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Unique id, chosen by the client. If a change is applied again under its id, it is not made
    /// twice.
    pub id: Arc<str>,
    /// Operator who makes the change.
    pub author: Arc<str>,
    /// Reason that the operator gave.
    pub reason: Arc<str>,
    /// Number of the version that the change is based on; 0 for the first version.
    pub expected: u64,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// New content.
    pub edit: Edit,
}

/// New content of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Replaces the declaration.
    Declare(Arc<str>),
    /// Replaces the list of backend servers that are to drain.
    Drain(Vec<Arc<str>>),
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The version in force was read; `None` if there is none yet.
    Read(Option<Stored>),
    /// A history object was read; `None` if it does not exist.
    HistoryRead(Option<Version>),
    /// The write took effect.
    Written,
    /// The store refused the write: the object already exists, or has another resource version.
    Refused,
    /// It isn't known whether the write took effect.
    ResultUnknown,
    /// The call to the store failed and nothing was written.
    Failed,
    /// The pause has ended.
    PauseEnded,
}

/// Next step to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the version in force.
    Read,
    /// Read the history object of the version with this number.
    ReadHistory(u64),
    /// Create the history object of this version. [`Event::Refused`] counts as success, because an
    /// existing object has the same content.
    WriteHistory(Version),
    /// Create the first version.
    Create(Version),
    /// Replace the version in force if it has this resource version.
    Replace(Arc<str>, Version),
    /// Pause, then report [`Event::PauseEnded`].
    Pause(Duration),
    /// The change is in force as this version.
    Accepted(Version),
    /// The version in force, which is contained here, is not the one that the change is based on;
    /// `None` if there is no version yet.
    Conflict(Option<Version>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Reading,
    ReadingHistory,
    WritingHistory,
    Writing,
}

/// State machine of one change.
#[derive(Clone, Debug)]
pub struct Machine {
    change: Change,
    stage: Stage,
    current: Option<Stored>,
    may_be_written: bool,
}

impl Machine {
    /// Creates the machine for a change; returns it with the first step.
    pub fn start(change: Change) -> (Machine, Step) {
        let machine =
            Machine { change, stage: Stage::Reading, current: None, may_be_written: false };
        (machine, Step::Read)
    }

    /// Whether a write of the change may have taken effect without an answer.
    pub fn may_be_written(&self) -> bool {
        self.may_be_written
    }

    /// Handles the result of the last step and returns the next step.
    pub fn next(&mut self, event: Event) -> Step {
        match (self.stage, event) {
            (Stage::Reading, Event::Read(stored)) => self.on_read(stored),
            (Stage::Reading, Event::PauseEnded) => Step::Read,
            (Stage::ReadingHistory, Event::HistoryRead(version)) => self.on_history(version),
            (Stage::ReadingHistory, Event::PauseEnded) => {
                Step::ReadHistory(self.change.expected + 1)
            }
            (Stage::WritingHistory, Event::Written | Event::Refused) => self.write(),
            (Stage::WritingHistory, Event::PauseEnded) => self.write_history(),
            (Stage::Writing, Event::Written) => Step::Accepted(self.proposed()),
            (Stage::Writing, Event::Refused) => self.read_again(),
            (Stage::Writing, Event::ResultUnknown) => {
                self.may_be_written = true;
                self.read_again()
            }
            (Stage::Writing, _) => {
                self.stage = Stage::Reading;
                Step::Pause(RETRY_PERIOD)
            }
            _ => Step::Pause(RETRY_PERIOD),
        }
    }

    fn read_again(&mut self) -> Step {
        self.stage = Stage::Reading;
        Step::Read
    }

    fn on_read(&mut self, stored: Option<Stored>) -> Step {
        self.current = stored;
        if let Some(stored) = &self.current
            && stored.version.change == self.change.id
        {
            return Step::Accepted(stored.version.clone());
        }
        let number = self.current.as_ref().map_or(0, |stored| stored.version.number);
        if number > self.change.expected + 1 {
            // This change may have become version `expected + 1` in a write whose result isn't
            // known, and been replaced by a later change. The history object of that number
            // contains the id of the change that became that version.
            self.stage = Stage::ReadingHistory;
            return Step::ReadHistory(self.change.expected + 1);
        }
        if number != self.change.expected {
            return Step::Conflict(self.current.clone().map(|stored| stored.version));
        }
        self.write_history()
    }

    fn on_history(&mut self, version: Option<Version>) -> Step {
        match version {
            Some(version) if version.change == self.change.id => Step::Accepted(version),
            _ => Step::Conflict(self.current.clone().map(|stored| stored.version)),
        }
    }

    fn write_history(&mut self) -> Step {
        match &self.current {
            None => self.write(),
            Some(stored) => {
                self.stage = Stage::WritingHistory;
                Step::WriteHistory(stored.version.clone())
            }
        }
    }

    fn write(&mut self) -> Step {
        self.stage = Stage::Writing;
        match &self.current {
            None => Step::Create(self.proposed()),
            Some(stored) => Step::Replace(stored.resource_version.clone(), self.proposed()),
        }
    }

    fn proposed(&self) -> Version {
        let current = self.current.as_ref().map(|stored| &stored.version);
        let change = &self.change;
        let (declaration, drained) = match &change.edit {
            Edit::Declare(text) => {
                (text.clone(), current.map(|version| version.drained.clone()).unwrap_or_default())
            }
            Edit::Drain(names) => {
                (current.map_or("".into(), |version| version.declaration.clone()), names.clone())
            }
        };
        Version {
            number: current.map_or(0, |version| version.number) + 1,
            change: change.id.clone(),
            author: change.author.clone(),
            reason: change.reason.clone(),
            at_ms: change.at_ms,
            previous: current.map_or("".into(), Version::hash),
            declaration,
            drained,
        }
    }
}
