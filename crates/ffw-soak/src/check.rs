//! The promises, checked on what callers got and servers ran.

use {
    crate::{
        caller::{Got, Kind},
        worker::{EVENTS, Ran},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after its removal for which a server may still get requests.
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Time within which a configuration is in force.
pub const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

/// Share of the requests after the last fault that must be answered well.
const RECOVERED_SHARE: f64 = 0.9;

/// A server that was said to leave while nothing hid it from the daemons.
#[derive(Clone, Debug)]
pub struct Left {
    /// Its name.
    pub server: String,
    /// When the store had it.
    pub at: Instant,
}

/// A configuration that was written while nothing hid it from the daemons.
#[derive(Clone, Debug)]
pub struct Moved {
    /// The only service of the plain routes from then on.
    pub service: String,
    /// When the store had it.
    pub at: Instant,
    /// Until when it was the newest, and nothing harmed the daemons.
    pub until: Instant,
}

/// What broke a promise, a line each.
pub fn all(got: &[Got], ran: &[Ran], left: &[Left], moved: &[Moved], calm: Instant) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
    ran.iter().for_each(|one| runs.entry(&one.id).or_default().push(one));
    let mut broken = Vec::new();
    for one in got {
        let of_request = runs.get(one.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_answer(one, &mut broken);
        check_runs(one, of_request, &mut broken);
    }
    check_left(ran, left, &mut broken);
    check_moved(got, &runs, moved, &mut broken);
    check_recovery(got, calm, &mut broken);
    broken
}

fn check_answer(got: &Got, broken: &mut Vec<String>) {
    if got.status != Some(200) {
        return;
    }
    let is_stream = matches!(got.kind, Kind::Stream | Kind::Resumable);
    if !is_stream {
        let is_own = got.body.starts_with(&format!("{} by ", got.id));
        if got.is_whole && !is_own {
            broken.push(format!("{} got the answer `{}`", got.id, got.body));
        }
        return;
    }
    let data = got.body.lines().filter_map(|line| line.strip_prefix("data: "));
    if data.into_iter().any(|id| id != got.id) {
        broken.push(format!("{} got events of another request", got.id));
    }
    let ids = got.body.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u32> = ids.filter_map(|id| id.parse().ok()).collect();
    let in_order = ids.iter().enumerate().all(|(at, id)| at as u32 == *id);
    if !in_order {
        broken.push(format!("{} got the events {ids:?}", got.id));
    }
    if got.is_whole && ids.len() as u32 != EVENTS {
        broken.push(format!("{} looks whole after {} events", got.id, ids.len()));
    }
}

fn check_runs(got: &Got, runs: &[&Ran], broken: &mut Vec<String>) {
    let may_repeat = matches!(got.kind, Kind::Again | Kind::Resumable);
    if runs.len() > 1 && !may_repeat {
        let servers: Vec<&str> = runs.iter().map(|one| one.server.as_str()).collect();
        broken.push(format!("{} ({:?}) ran {} times: {servers:?}", got.id, got.kind, runs.len()));
    }
    if matches!(got.status, Some(503 | 429)) && !runs.is_empty() && !may_repeat {
        broken.push(format!("{} was said not to have run, and ran", got.id));
    }
}

fn check_left(ran: &[Ran], left: &[Left], broken: &mut Vec<String>) {
    for one in left {
        let late = ran.iter().find(|run| {
            run.server == one.server && run.at.saturating_duration_since(one.at) > DRAIN_BOUND
        });
        if let Some(run) = late {
            let after = run.at.saturating_duration_since(one.at).as_millis();
            broken.push(format!("{} reached {} {after} ms after it left", run.id, one.server));
        }
    }
}

fn check_moved(
    got: &[Got],
    runs: &BTreeMap<&str, Vec<&Ran>>,
    moved: &[Moved],
    broken: &mut Vec<String>,
) {
    for one in moved {
        let is_bound = |got: &&Got| {
            matches!(got.kind, Kind::Once | Kind::Again)
                && got.at > one.at + CONFIG_BOUND
                && got.at < one.until
        };
        for request in got.iter().filter(is_bound) {
            let of_request = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            if let Some(run) = of_request.iter().find(|run| run.service != one.service) {
                let service = &run.service;
                broken.push(format!("{} ran at {service} after the route had moved", request.id));
            }
        }
    }
}

fn check_recovery(got: &[Got], calm: Instant, broken: &mut Vec<String>) {
    let after: Vec<&Got> = got.iter().filter(|one| one.at > calm).collect();
    let good = after.iter().filter(|one| one.status == Some(200) && one.is_whole).count();
    if (good as f64) < after.len() as f64 * RECOVERED_SHARE || after.is_empty() {
        broken.push(format!("{good} of {} requests were served after the faults", after.len()));
    }
}
