//! How old a daemon's belief about one kind of objects of the store is.
//!
//! The load pattern is a fleet of daemons that wait for changes on connections any of which may have
//! gone silent, so that no news is no evidence. A belief therefore has an age: the time since a call
//! was sent whose response showed that there was nothing newer.

use {
    ffw_protocol::{belief::Span, time::Moment},
    std::time::Duration,
};

/// What a daemon believes about one kind of objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Belief {
    span: Span,
    /// Time at which the latest call was sent whose response showed nothing newer; `None` before
    /// the first one.
    confirmed_at: Option<Moment>,
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

    /// Records a list of all objects of the kind, read at a revision by a call sent at `asked_at`.
    pub fn record_list(&mut self, era: u64, revision: u64, asked_at: Moment) {
        self.span = Span { era, since: revision, until: revision };
        self.confirmed_at = Some(asked_at);
    }

    /// Records the response to a call for the changes after a revision, sent at `asked_at`: the
    /// revision of the last change, if there was any, and that up to which there are no others.
    /// The response may have come at any time since; a call that waited long confirms little.
    pub fn record_changes(&mut self, last_change: Option<u64>, until: u64, asked_at: Moment) {
        if let Some(since) = last_change.filter(|since| *since > self.span.until) {
            self.span.since = since;
        }
        self.span.until = self.span.until.max(until);
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }
}
