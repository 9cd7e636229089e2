//! A change of configuration as a machine that says what to do next, and the rule by which a daemon
//! takes a version over.
//!
//! The history object of the version in force is written before the version is replaced, and the
//! new version carries the account of its change: one conditional write makes the change and its
//! account together.

use {
    ffw_protocol::config::Version,
    std::{sync::Arc, time::Duration},
};

/// Pause before the object API is tried again.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// Whether an offered version replaces the known one: only a higher number does.
pub fn supersedes(known: Option<&Version>, offered: &Version) -> bool {
    known.is_none_or(|known| offered.number > known.number)
}

/// A version as the platform returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The version.
    pub version: Version,
    /// Its resource version.
    pub resource: Arc<str>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Unique id, chosen by the client.
    pub id: Arc<str>,
    /// Who makes it.
    pub author: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
    /// Version that the change was made against.
    pub expected: u64,
    /// When it is made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it replaces.
    pub edit: Edit,
}

/// What a change replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// The declaration.
    Declare(Arc<str>),
    /// The list of backend servers that are told to leave.
    Drain(Vec<Arc<str>>),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The version in force was read; none if there is none yet.
    Read(Option<Stored>),
    /// A history object was read.
    Kept(Option<Version>),
    /// The write took effect.
    Written,
    /// The write was refused: the object exists, or is at another version.
    Refused,
    /// Nobody knows whether the write took effect.
    Lost,
    /// The API refused; nothing was written.
    Down,
    /// The pause is over.
    Waited,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the version in force.
    Read,
    /// Read the history object of this version.
    ReadKept(u64),
    /// Write the history object of this version; an existing one is as good.
    Keep(Version),
    /// Create the first version.
    Create(Version),
    /// Replace the version at this resource version.
    Replace(Arc<str>, Version),
    /// Pause, then report [`Event::Waited`].
    Pause(Duration),
    /// The change is in force as this version.
    Accepted(Version),
    /// Another change came first; this is the version in force.
    Conflict(Option<Version>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Reading,
    Checking,
    Keeping,
    Writing,
}

/// One change's way into the platform.
#[derive(Clone, Debug)]
pub struct Machine {
    change: Change,
    stage: Stage,
    current: Option<Stored>,
    unsure: bool,
}

impl Machine {
    /// A machine for one change, and its first step.
    pub fn start(change: Change) -> (Machine, Step) {
        let machine = Machine { change, stage: Stage::Reading, current: None, unsure: false };
        (machine, Step::Read)
    }

    /// Whether a write of the change may have taken effect.
    pub fn is_unsure(&self) -> bool {
        self.unsure
    }

    /// Takes an event and gives the next step.
    pub fn next(&mut self, event: Event) -> Step {
        match (self.stage, event) {
            (Stage::Reading, Event::Read(stored)) => self.on_read(stored),
            (Stage::Reading, Event::Waited) => Step::Read,
            (Stage::Checking, Event::Kept(kept)) => self.on_kept(kept),
            (Stage::Checking, Event::Waited) => Step::ReadKept(self.change.expected + 1),
            (Stage::Keeping, Event::Written | Event::Refused) => self.write(),
            (Stage::Keeping, Event::Waited) => self.keep(),
            (Stage::Writing, Event::Written) => Step::Accepted(self.proposed()),
            (Stage::Writing, Event::Refused) => self.read_again(),
            (Stage::Writing, Event::Lost) => {
                self.unsure = true;
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
            // The change may be in force under a later one: its own write answered nothing.
            self.stage = Stage::Checking;
            return Step::ReadKept(self.change.expected + 1);
        }
        if number != self.change.expected {
            return Step::Conflict(self.current.clone().map(|stored| stored.version));
        }
        self.keep()
    }

    fn on_kept(&mut self, kept: Option<Version>) -> Step {
        match kept {
            Some(version) if version.change == self.change.id => Step::Accepted(version),
            _ => Step::Conflict(self.current.clone().map(|stored| stored.version)),
        }
    }

    fn keep(&mut self) -> Step {
        match &self.current {
            None => self.write(),
            Some(stored) => {
                self.stage = Stage::Keeping;
                Step::Keep(stored.version.clone())
            }
        }
    }

    fn write(&mut self) -> Step {
        self.stage = Stage::Writing;
        match &self.current {
            None => Step::Create(self.proposed()),
            Some(stored) => Step::Replace(stored.resource.clone(), self.proposed()),
        }
    }

    fn proposed(&self) -> Version {
        let current = self.current.as_ref().map(|stored| &stored.version);
        let change = &self.change;
        let (declaration, drained) = match &change.edit {
            Edit::Declare(text) => {
                (text.clone(), current.map(|one| one.drained.clone()).unwrap_or_default())
            }
            Edit::Drain(names) => {
                (current.map_or("".into(), |one| one.declaration.clone()), names.clone())
            }
        };
        Version {
            number: current.map_or(0, |one| one.number) + 1,
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
