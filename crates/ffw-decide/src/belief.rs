//! How old a daemon's belief about one kind of objects of the store is.
//!
//! The load pattern is a fleet of daemons that wait for changes on connections any of which may have
//! gone silent, so that no news is no evidence. A belief therefore has an age: the time since a call
//! was sent whose response showed that there was nothing newer. Before the age reaches its bound, the
//! daemon asks: one daemon of each data centre, the checker, asks the store on behalf of the others,
//! and those that get no news of it in time ask the store themselves.

use {
    ffw_protocol::{belief::Span, time::Moment},
    std::time::Duration,
};

/// Age from which a checker asks the store, and the other daemons ask their checker, in eighths of
/// the bound.
const ASK_EIGHTHS: u32 = 3;

/// Age from which a daemon that gets nothing newer from its checker asks the store, in eighths of
/// the bound. What is left is for a call that is lost, a second one, and a list of the objects.
const ASK_ALONE_EIGHTHS: u32 = 5;

/// Parts of the bound: both timeouts of a question, and of the two lists that follow a silence.
const QUESTIONS_PER_BOUND: u32 = 8;

/// Parts of the bound: the time that a slow answer leaves at least.
const MARGINS_PER_BOUND: u32 = 16;

/// Parts of the bound: the time for further bytes of a response to a reader that has met no silence.
const IDLE_TIMES_PER_BOUND: u32 = 4;

/// Largest number of times that the timeouts of a reader double.
const DOUBLINGS_MAX: u32 = 8;

/// What a daemon does to keep its beliefs younger than a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for this time.
    Wait(Duration),
    /// Ask the checker of its data centre how old its beliefs are.
    AskChecker,
    /// Ask the store whether there is anything newer.
    AskStore,
}

/// Decides on a belief of an age. `is_checker` states whether the daemon has no other one to ask.
pub fn step(age: Duration, bound: Duration, is_checker: bool) -> Step {
    let (ask_at, ask_alone_at) = (bound / 8 * ASK_EIGHTHS, bound / 8 * ASK_ALONE_EIGHTHS);
    if age < ask_at {
        Step::Wait(ask_at - age)
    } else if is_checker || age >= ask_alone_at {
        Step::AskStore
    } else {
        Step::AskChecker
    }
}

/// Decides whether the store is asked about a belief of an age as its checker gives no answer.
/// `latency` is the time that the store's latest answer took: beside a slow one, the time that is
/// otherwise left would be too short for a second question.
pub fn is_asked_alone(age: Duration, bound: Duration, latency: Duration) -> bool {
    let (ask_at, ask_alone_at) = (bound / 8 * ASK_EIGHTHS, bound / 8 * ASK_ALONE_EIGHTHS);
    age >= ask_alone_at.saturating_sub(latency).max(ask_at)
}

/// Decides whether the store is asked about a belief of an age while the answer about another kind,
/// which may confirm this one as well, is late. `is_before` tells that it won't, see
/// [`Belief::is_before`]. Otherwise the store is asked once the belief would exceed the bound by a
/// question of its own after that answer; `latency` is the time that an answer takes.
pub fn is_asked_beside(age: Duration, bound: Duration, latency: Duration, is_before: bool) -> bool {
    let ask_at = bound / 8 * ASK_EIGHTHS;
    let last_at = (bound - bound / MARGINS_PER_BOUND).saturating_sub(latency);
    age >= ask_at && (is_before || age >= last_at)
}

/// How long a read of the store waits before it takes its connection for silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time without a response after which the read is sent again on another connection, while the
    /// first one stays open.
    pub response: Duration,
    /// Time without further bytes of a response after which its connection is given up.
    pub idle: Duration,
}

impl Timeouts {
    /// Those for a store of which nothing is known.
    pub const LONGEST: Timeouts =
        Timeouts { response: Duration::from_millis(1_500), idle: Duration::from_secs(2) };

    /// Those of a question to the store whether there is anything newer; the answer is short.
    pub fn of_question(bound: Duration) -> Timeouts {
        let limit = bound / QUESTIONS_PER_BOUND;
        Timeouts { response: limit, idle: limit }
    }

    /// Those of a reader of which the last `silences` reads fell silent. After the first silence
    /// they are short, to read again before the bound. They double with each one in a row from the
    /// third on, as a store may be as slow; had they doubled with the second, three lists that fall
    /// silent would take seven eighths of the bound, and their changes would be known too late.
    pub fn of_reader(bound: Duration, silences: u32) -> Timeouts {
        let Timeouts { response, idle } = Timeouts::LONGEST;
        let Some(further) = silences.checked_sub(1) else {
            return Timeouts { response, idle: idle.min(bound / IDLE_TIMES_PER_BOUND) };
        };
        let doublings = further.saturating_sub(1).min(DOUBLINGS_MAX);
        let limit = bound / QUESTIONS_PER_BOUND * (1 << doublings);
        Timeouts { response: response.min(limit), idle: idle.min(limit) }
    }

    /// The same for a store whose latest response took `latency`. One that is slow gets no slower by
    /// calls that are sent again too early.
    pub fn at_latency(self, latency: Duration) -> Timeouts {
        let response = self.response.max(latency * 2).min(Timeouts::LONGEST.response);
        Timeouts { response, ..self }
    }
}

/// Changes of one kind that a call has found, and that its reader may not have read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    /// Era of the store that answered.
    pub era: u64,
    /// Revision of the last change.
    pub last_change: u64,
    /// Revision up to which there are no others.
    pub until: u64,
    /// When the call was sent.
    pub asked_at: Moment,
}

/// What a daemon believes about one kind of objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Belief {
    span: Span,
    /// Time at which the latest call was sent whose response showed nothing newer; `None` before
    /// the first one.
    confirmed_at: Option<Moment>,
    /// Changes that are to be read; reading them confirms the belief as of their call.
    found: Option<Found>,
}

impl Belief {
    /// The revisions at which the objects were as they are believed to be.
    pub fn span(&self) -> Span {
        self.span
    }

    /// Time since the latest confirmation; `None` if there was none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether the latest confirmation is by a call that was sent at `since` or later.
    pub fn is_confirmed_since(&self, since: Moment) -> bool {
        self.confirmed_at.is_some_and(|at| at >= since)
    }

    /// Records a list of all objects of the kind, read at a revision by a call sent at `asked_at`.
    pub fn record_list(&mut self, era: u64, revision: u64, asked_at: Moment) {
        self.span = Span { era, since: revision, until: revision };
        self.confirmed_at = Some(asked_at);
        self.found = None;
    }

    /// Records the response to a call for the changes after a revision, sent at `asked_at`: the
    /// revision of the last change, if there was any, and that up to which there are no others.
    /// The response may have come at any time since; a call that waited long confirms little.
    pub fn record_changes(&mut self, last_change: Option<u64>, until: u64, asked_at: Moment) {
        if let Some(since) = last_change.filter(|since| *since > self.span.until) {
            self.span.since = since;
        }
        self.span.until = self.span.until.max(until);
        self.confirm(asked_at);
        if let Some(found) = self.found.take() {
            self.record_found(found);
        }
    }

    /// Records changes that a call has found. The belief is confirmed as of that call once they have
    /// been read, which may have happened already: the watch that brings them was sent earlier and
    /// confirms less. Those found first are kept until they are read, so that a reader that is
    /// always behind the newest ones is confirmed too.
    pub fn record_found(&mut self, found: Found) {
        if found.era != self.span.era {
            return;
        }
        if self.span.until >= found.last_change {
            self.span.until = self.span.until.max(found.until);
            self.confirm(found.asked_at);
        } else {
            self.found = self.found.or(Some(found));
        }
    }

    /// Records the response to a call sent at `asked_at`: nothing changed after the revision `since`
    /// up to `until`. A response of another era says nothing about this belief.
    pub fn record_unchanged(&mut self, era: u64, since: u64, until: u64, asked_at: Moment) {
        if era != self.span.era {
            return;
        }
        // Otherwise objects have been read meanwhile that are newer than the question.
        if self.span.since <= since {
            self.span.until = self.span.until.max(until);
        }
        self.confirm(asked_at);
    }

    /// Records that the store was at `revision` when it answered a call sent at `asked_at`, for
    /// whatever kind; returns whether that confirms this belief.
    pub fn record_revision(&mut self, era: u64, revision: u64, asked_at: Moment) -> bool {
        let is_newest = self.span.until > 0 && self.span.era == era && revision <= self.span.until;
        if is_newest {
            self.confirm(asked_at);
        }
        is_newest
    }

    /// Takes over another daemon's confirmation; returns whether it is of the same state. One of an
    /// older state confirms nothing, nor does one of a newer state, which is still to be read.
    pub fn merge(&mut self, other: Span, confirmed_at: Moment) -> bool {
        let overlaps = other.since <= self.span.until && self.span.since <= other.until;
        if self.span.until == 0 || other.era != self.span.era || !overlaps {
            return false;
        }
        self.span.since = self.span.since.min(other.since);
        self.span.until = self.span.until.max(other.until);
        self.confirm(confirmed_at);
        true
    }

    /// Whether objects of any kind have been read up to a later revision of the same era: an answer
    /// of the store then names a revision that does not confirm this belief.
    pub fn is_before(&self, newest: Span) -> bool {
        self.span.era == newest.era && self.span.until < newest.until
    }

    /// Whether another daemon has read a change that is newer than this belief. In another era, it
    /// can't be told.
    pub fn is_behind(&self, other: Span) -> bool {
        self.span.until > 0 && other.era == self.span.era && other.since > self.span.until
    }

    fn confirm(&mut self, asked_at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }
}
