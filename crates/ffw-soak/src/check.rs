//! Checks the guarantees to callers against the outcomes that the callers recorded and the runs
//! that the servers recorded: no response of another request, streams with all events in order and
//! of one software version, at most one run of a request that may not run again, none if it was
//! rejected with 503 or 429, removals and route changes in force within their bounds, and service
//! again after the faults.

mod streams;

pub use streams::check_kills;

use {
    crate::{
        caller::{Kind, Outcome, RESPONSE_TIMEOUT, ROUTE_TIMEOUT},
        worker::{Crashing, Run},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Longest time after the removal or draining of a server for which it may still receive requests.
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Longest time until a new configuration is in force.
pub const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

/// Number of crashes after which requests with the part that caused them may be sent no longer.
const CRASHES_ALLOWED: usize = 5;

/// Time after the last of these crashes from which such requests are counted.
const QUARANTINE_BOUND: Duration = Duration::from_millis(3_000);

/// Time after the last of these crashes from which sound streams are counted.
const SOUND_BOUND: Duration = Duration::from_millis(6_000);

/// Fewest sound streams of which a share is checked.
const SOUND_STREAMS_MIN: usize = 20;

/// Largest number of such requests that may still reach a server.
const LATE_SENDS_MAX: usize = 3;

/// A time in which a fault affects the daemons.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Its start.
    pub from: Instant,
    /// When the daemons have recovered from it.
    pub until: Instant,
}

/// A kill of all daemons that served.
#[derive(Clone, Debug)]
pub struct Kill {
    /// When they were killed.
    pub at: Instant,
    /// Software versions of which several decode servers took work then.
    pub versions: Vec<String>,
}

/// Share of the requests sent in the stable phase after the faults that must get a complete
/// response with status 200.
const MIN_SERVED_SHARE: f64 = 0.9;

/// The removal or draining of a server, written while no fault kept the daemons from seeing it.
#[derive(Clone, Debug)]
pub struct Removal {
    /// Name of the server.
    pub server: String,
    /// When the store had applied the write.
    pub written_at: Instant,
    /// Time after the write from which the server must get no requests.
    pub bound: Duration,
}

/// A change of the service of the plain routes, written while no fault kept the daemons from seeing
/// it.
#[derive(Clone, Debug)]
pub struct Reroute {
    /// The only service of the plain routes since the change.
    pub service: String,
    /// When the store had applied the write.
    pub written_at: Instant,
    /// Time after the write from which the change must be in force.
    pub bound: Duration,
    /// Time until which the change is checked: the next route change or disturbance of the daemons;
    /// an hour after the change before either has happened.
    pub until: Instant,
}

/// Returns one line for each violation. `stable_since` is the start of the stable phase after the
/// last fault.
pub fn find_violations(
    outcomes: &[Outcome],
    runs: &[Run],
    removals: &[Removal],
    reroutes: &[Reroute],
    stable_since: Instant,
) -> Vec<String> {
    let mut runs_by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    runs.iter().for_each(|run| runs_by_id.entry(&run.id).or_default().push(run));
    let mut violations = Vec::new();
    for outcome in outcomes {
        let request_runs = runs_by_id.get(outcome.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_response(outcome, &mut violations);
        check_runs(outcome, request_runs, &mut violations);
    }
    check_removals(runs, removals, &mut violations);
    check_reroutes(outcomes, &runs_by_id, reroutes, &mut violations);
    check_stable_phase(outcomes, stable_since, &mut violations);
    streams::check_versions(outcomes, &mut violations);
    streams::check_take_ups(outcomes, stable_since, &mut violations);
    violations
}

fn check_response(outcome: &Outcome, violations: &mut Vec<String>) {
    if outcome.status != Some(200) {
        return;
    }
    let is_stream = matches!(outcome.kind, Kind::Stream | Kind::Resumable);
    if !is_stream {
        let is_own_response = outcome.body.starts_with(&format!("{} by ", outcome.id));
        if outcome.is_whole && !is_own_response {
            violations.push(format!(
                "{} got `{}`, which is not its own response",
                outcome.id, outcome.body
            ));
        }
        return;
    }
    streams::check_stream(outcome, violations);
}

fn check_runs(outcome: &Outcome, runs: &[&Run], violations: &mut Vec<String>) {
    let may_run_again = matches!(outcome.kind, Kind::Again | Kind::Resumable);
    if runs.len() > 1 && !may_run_again {
        let servers: Vec<&str> = runs.iter().map(|run| run.server.as_str()).collect();
        violations.push(format!(
            "{} ({:?}) ran {} times: {servers:?}",
            outcome.id,
            outcome.kind,
            runs.len()
        ));
    }
    if matches!(outcome.status, Some(503 | 429)) && !runs.is_empty() && !may_run_again {
        violations.push(format!("{} was rejected as not run, but a server ran it", outcome.id));
    }
}

/// Checks that each request that was sent to a daemon without a disturbance has ended in time, with
/// a response or the end of its connection, whatever the servers do.
pub fn check_timeouts(
    outcomes: &[Outcome],
    disturbances: &[Disturbance],
    violations: &mut Vec<String>,
) {
    let is_disturbed = |outcome: &Outcome| {
        let end = outcome.sent_at + RESPONSE_TIMEOUT;
        disturbances.iter().any(|one| one.from < end && outcome.sent_at < one.until)
    };
    let has_timed_out =
        |outcome: &&Outcome| outcome.status.is_none() && outcome.took >= RESPONSE_TIMEOUT;
    for outcome in outcomes.iter().filter(has_timed_out) {
        if !is_disturbed(outcome) {
            violations.push(format!("{} ({:?}) got no end in time", outcome.id, outcome.kind));
        }
    }
}

/// Checks that each request that ran has its answer; only true if no server and no daemon fails.
pub fn check_answers(outcomes: &[Outcome], runs: &[Run], violations: &mut Vec<String>) {
    let mut ran: Vec<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    ran.sort_unstable();
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_whole) {
        if ran.binary_search(&outcome.id.as_str()).is_ok() {
            violations.push(format!("{} ({:?}) ran without an answer", outcome.id, outcome.kind));
        }
    }
}

fn check_removals(runs: &[Run], removals: &[Removal], violations: &mut Vec<String>) {
    for removal in removals {
        let late = runs.iter().find(|run| {
            run.server == removal.server
                && run.received_at.saturating_duration_since(removal.written_at) > removal.bound
        });
        if let Some(run) = late {
            let delay_ms =
                run.received_at.saturating_duration_since(removal.written_at).as_millis();
            violations.push(format!(
                "{} reached {} {delay_ms} ms after the server was removed or drained",
                run.id, removal.server
            ));
        }
    }
}

fn check_reroutes(
    outcomes: &[Outcome],
    runs_by_id: &BTreeMap<&str, Vec<&Run>>,
    reroutes: &[Reroute],
    violations: &mut Vec<String>,
) {
    for reroute in reroutes {
        let is_affected = |outcome: &&Outcome| {
            matches!(outcome.kind, Kind::Once | Kind::Again)
                && outcome.sent_at > reroute.written_at + reroute.bound
                && outcome.sent_at < reroute.until
        };
        for outcome in outcomes.iter().filter(is_affected) {
            let request_runs = runs_by_id.get(outcome.id.as_str()).map_or(&[][..], Vec::as_slice);
            if let Some(run) = request_runs.iter().find(|run| run.service != reroute.service) {
                let service = &run.service;
                violations
                    .push(format!("{} ran at {service} after its route had moved", outcome.id));
            }
        }
    }
}

/// Checks that few requests with the crashing part reach a server once enough servers have crashed
/// under it, and that other streams go on. Requests that are sent while the daemons are disturbed are
/// not counted, but what daemons knew before counts for all that start later.
pub fn check_crashing(
    crashing: &Crashing,
    outcomes: &[Outcome],
    disturbances: &[Disturbance],
    violations: &mut Vec<String>,
) {
    let is_disturbed =
        |at: Instant| disturbances.iter().any(|one| (one.from..one.until).contains(&at));
    let Some(last_allowed) = crashing.crashed_at.iter().take(CRASHES_ALLOWED).next_back() else {
        return;
    };
    let is_late = |at: &&Instant| **at > *last_allowed + QUARANTINE_BOUND && !is_disturbed(**at);
    let late = crashing.received_at.iter().filter(is_late).count();
    if crashing.crashed_at.len() >= CRASHES_ALLOWED && late > LATE_SENDS_MAX {
        violations.push(format!(
            "{late} requests with the crashing part reached servers after the quarantine was due; \
             {} servers crashed",
            crashing.crashed_at.len()
        ));
    }
    let is_sound = |outcome: &&Outcome| {
        let is_stream = matches!(outcome.kind, Kind::Stream | Kind::Resumable);
        let is_later = outcome.sent_at > *last_allowed + SOUND_BOUND;
        let is_first = !outcome.is_poisonous && outcome.take_up.is_none();
        is_stream && is_first && is_later && !is_disturbed(outcome.sent_at)
    };
    let sound: Vec<&Outcome> = outcomes.iter().filter(is_sound).collect();
    let begun = sound.iter().filter(|outcome| outcome.events().next().is_some()).count();
    if sound.len() >= SOUND_STREAMS_MIN && begun * 2 < sound.len() {
        let unserved: Vec<&Outcome> =
            sound.iter().copied().filter(|outcome| outcome.events().next().is_none()).collect();
        violations.push(format!(
            "{begun} of {} sound streams began beside the crashing part; the others: {}",
            sound.len(),
            counts_by_end(&unserved)
        ));
    }
}

fn is_served(outcome: &&Outcome) -> bool {
    outcome.status == Some(200) && outcome.is_whole && outcome.took <= ROUTE_TIMEOUT
}

fn check_stable_phase(outcomes: &[Outcome], stable_since: Instant, violations: &mut Vec<String>) {
    // Streams that their callers left have no end that could be late or missing.
    let is_later = |outcome: &&Outcome| {
        outcome.sent_at > stable_since && !outcome.is_poisonous && !outcome.has_left
    };
    let later: Vec<&Outcome> = outcomes.iter().filter(is_later).collect();
    let (served, unserved): (Vec<&Outcome>, Vec<&Outcome>) =
        later.iter().partition(|outcome| is_served(outcome));
    if (served.len() as f64) < later.len() as f64 * MIN_SERVED_SHARE || later.is_empty() {
        violations.push(format!(
            "{} of {} requests were served after the faults; the others: {}",
            served.len(),
            later.len(),
            counts_by_end(&unserved)
        ));
    }
}

/// How requests ended, with the number of requests for each kind and end.
fn counts_by_end(outcomes: &[&Outcome]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes {
        let Outcome { kind, status, is_whole, body, .. } = outcome;
        let end = match status {
            None => "no response".to_owned(),
            Some(200) if *is_whole => "200, late".to_owned(),
            Some(200) => format!("200, broken off after {} bytes", body.len()),
            Some(status) => format!("{status} {}", body.trim()),
        };
        *counts.entry(format!("{kind:?} {end}")).or_default() += 1;
    }
    let lines: Vec<String> = counts.iter().map(|(end, count)| format!("{count} {end}")).collect();
    lines.join("; ")
}
