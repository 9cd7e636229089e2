//! Crashes as they are put down to parts of prompts: which runs each ended, and what they say of a
//! part.

use {
    super::has_all,
    ffw_protocol::{
        quarantine::{Progress, Prompt},
        time::Moment,
    },
    std::{cmp::Reverse, sync::Arc, time::Duration},
};

/// Crashes within this time of each other count once.
const SIMULTANEOUS: Duration = Duration::from_millis(50);

/// Time within which the runs that one crash ended are reported. A run that ends later was sent to
/// a server that had crashed already.
pub(super) const REPORT_TIME: Duration = Duration::from_millis(200);

/// A run that ended with its server.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) server: Arc<str>,
    pub(super) prompt: Prompt,
    pub(super) progress: Progress,
    pub(super) at: Moment,
}

/// Crashes at one moment, with the runs that they ended.
#[derive(Clone, Debug)]
pub(super) struct Event<'a> {
    at: Moment,
    records: Vec<&'a Record>,
}

impl<'a> Event<'a> {
    /// Whether it is that of a server.
    pub(super) fn is_of(&self, server: &str) -> bool {
        self.records.iter().any(|record| *record.server == *server)
    }

    /// When the first of its runs ended.
    pub(super) fn at(&self) -> Moment {
        self.at
    }

    /// Adds a run, unless its server had crashed long before.
    fn add(&mut self, record: &'a Record) {
        let is_same = |other: &&&Record| other.server == record.server;
        let first = self.records.iter().filter(is_same).map(|other| other.at).min();
        if first.is_none_or(|first| record.at.since(first) <= REPORT_TIME) {
            self.records.push(record);
        }
    }

    fn put_down(&self, is_put_down: impl Fn(&Record) -> bool) -> Vec<&'a Record> {
        self.records.iter().copied().filter(|record| is_put_down(record)).collect()
    }

    /// Whether it ended a run whose prompt has all these parts.
    pub(super) fn has(&self, parts: &[u64]) -> bool {
        self.records.iter().any(|record| has_all(&record.prompt, parts))
    }
}

/// Groups crashed runs by the moment of the crash, in order.
pub(super) fn events(crashes: &[Record]) -> Vec<Event<'_>> {
    let mut records: Vec<&Record> = crashes.iter().collect();
    records.sort_unstable_by_key(|record| record.at);
    let mut events: Vec<Event> = Vec::new();
    for record in records {
        let same = events.iter().position(|event| event.is_of(&record.server));
        let last = events.len().checked_sub(1);
        let near = last.filter(|last| record.at.since(events[*last].at) <= SIMULTANEOUS);
        match same.or(near) {
            Some(index) => events[index].add(record),
            None => events.push(Event { at: record.at, records: vec![record] }),
        }
    }
    events
}

/// What crashes say of a part and those that can't be told apart from it.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Sorted.
    pub(super) parts: Vec<u64>,
    /// Moments of crashes.
    pub(super) crashes: usize,
    /// Those in which all runs with the part were at their beginning.
    pub(super) early_crashes: usize,
    pub(super) weight: usize,
    /// Runs in the midst of their answers.
    pub(super) midway: usize,
    pub(super) prompts: usize,
    pub(super) servers: Vec<Arc<str>>,
    pub(super) first_at: Moment,
    pub(super) last_at: Moment,
}

impl Suspect {
    /// What the events say of a part; `None` if no run of them is put down to it.
    pub(super) fn new(
        part: u64,
        events: &[Event<'_>],
        is_put_down: impl Fn(&Record, u64) -> bool,
    ) -> Option<Suspect> {
        let by_event = events.iter().map(|event| event.put_down(|run| is_put_down(run, part)));
        let by_event: Vec<Vec<&Record>> = by_event.filter(|runs| !runs.is_empty()).collect();
        let runs: Vec<&Record> = by_event.iter().flatten().copied().collect();
        let (first, last) =
            (runs.iter().map(|run| run.at).min()?, runs.iter().map(|run| run.at).max()?);
        let mut servers: Vec<Arc<str>> = runs.iter().map(|run| run.server.clone()).collect();
        servers.sort();
        servers.dedup();
        Some(Suspect {
            parts: with_companions(&runs, is_put_down),
            crashes: by_event.len(),
            early_crashes: by_event.iter().filter(|runs| !any_midway(runs)).count(),
            weight: by_event.iter().map(|runs| weight(runs)).sum(),
            midway: runs.iter().filter(|run| run.progress == Progress::Midway).count(),
            prompts: distinct(runs.iter().map(|run| run.prompt.own)),
            servers,
            first_at: first,
            last_at: last,
        })
    }

    /// The suspect with the highest rank is the most likely cause: the one that is in the most
    /// crashes with only runs that were at their beginning. Victims are in all phases of their runs,
    /// and the evidence of some crashes may be lost.
    pub(super) fn rank(&self) -> (usize, usize, Reverse<usize>) {
        (self.early_crashes, self.crashes, Reverse(self.midway))
    }

    /// Whether a run with the part was in the midst of its answer when its server crashed: victims
    /// are in all phases, but a run that crashes its server is mostly at its beginning.
    pub(super) fn may_be_victim(&self) -> bool {
        self.midway > 0
    }

    /// Whether another suspect explains crashes of the same servers as well as this one.
    pub(super) fn is_like(&self, other: &Suspect) -> bool {
        let shares = other.servers.iter().any(|server| self.servers.contains(server));
        other.parts != self.parts && other.rank() == self.rank() && shares
    }
}

/// The parts that all these runs have in common, and to which all of them are put down.
fn with_companions(runs: &[&Record], is_put_down: impl Fn(&Record, u64) -> bool) -> Vec<u64> {
    let Some(first) = runs.first() else { return Vec::new() };
    let is_common = |part: &u64| runs.iter().all(|run| is_put_down(run, *part));
    let mut parts: Vec<u64> = first.prompt.shared.iter().copied().filter(is_common).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

fn distinct<T: Ord>(values: impl Iterator<Item = T>) -> usize {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.dedup();
    values.len()
}

fn any_midway(runs: &[&Record]) -> bool {
    runs.iter().any(|run| run.progress == Progress::Midway)
}

/// Weight of a run that ended with its server. Few runs are at their beginning at any time, so that
/// tells most; but a daemon may see the events of a run late, so that one seems to have just begun.
fn weight_of(progress: Progress) -> usize {
    match progress {
        Progress::Unanswered => 10,
        Progress::Begun => 6,
        Progress::Midway => 5,
    }
}

/// Weight of the crashes at one moment under a part, by the runs with the part that they ended. If
/// all of these had just begun, each server counts: requests with a part come together, and victims
/// are in all phases of their runs.
fn weight(runs: &[&Record]) -> usize {
    let largest = runs.iter().map(|run| weight_of(run.progress)).max().unwrap_or_default();
    let has_just_begun = runs.iter().all(|run| run.progress == Progress::Begun);
    let servers = distinct(runs.iter().map(|run| run.server.clone()));
    if has_just_begun { largest * servers } else { largest }
}
