//! Checks of streams: their events are complete, in order and of one software version, over all tries
//! of a caller too, and streams that are taken up go on.

use {
    super::Kill,
    crate::{
        caller::{Kind, Outcome},
        worker::EVENT_COUNT,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Fewest take-ups after the faults of which a share is checked.
const TAKE_UPS_MIN: usize = 4;

/// Least share of them that must go on to the end of the stream.
const MIN_TAKEN_UP_SHARE: f64 = 0.5;

pub(super) fn check_stream(outcome: &Outcome, violations: &mut Vec<String>) {
    let data = outcome.body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut ids = data.map(|data| data.split_once(' ').map_or(data, |parts| parts.0));
    if ids.any(|id| id != outcome.id) {
        violations.push(format!("{} got events of another request", outcome.id));
    }
    let numbers = outcome.body.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers: Vec<u32> = numbers.filter_map(|number| number.parse().ok()).collect();
    let first = outcome.take_up.as_ref().map_or(0, |take_up| take_up.last_event + 1);
    if !numbers.iter().copied().eq((first..).take(numbers.len())) {
        violations.push(format!(
            "{} got events out of order, repeated or missing after {:?}: {numbers:?}",
            outcome.id, outcome.take_up
        ));
    }
    if let Some(foreign) = foreign_line(outcome) {
        violations.push(format!("{} got `{foreign}` in its stream", outcome.id));
    }
    let expected_count = EVENT_COUNT - first;
    if outcome.is_whole && numbers.len() as u32 != expected_count {
        violations.push(format!(
            "{} got a complete response with {} events of {expected_count}",
            outcome.id,
            numbers.len()
        ));
    }
}

/// A line of the body that belongs to no event.
fn foreign_line(outcome: &Outcome) -> Option<&str> {
    let mut lines: Vec<&str> = outcome.body.lines().collect();
    if !outcome.is_whole {
        // The last line may have been cut off.
        lines.pop();
    }
    let is_of_event =
        |line: &str| line.is_empty() || line.starts_with("id: ") || line.starts_with("data: ");
    lines.into_iter().find(|line| !is_of_event(line))
}

/// Checks that each stream holds events of one software version, in one answer and over all tries of
/// its caller.
pub(super) fn check_versions(outcomes: &[Outcome], violations: &mut Vec<String>) {
    let mut by_origin: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    for outcome in outcomes {
        let versions =
            outcome.events().map(|(_, data)| data.split_once(' ').unwrap_or((data, "")).1);
        let versions = versions.map(|version| (version, outcome.id.as_str()));
        by_origin.entry(outcome.origin()).or_default().extend(versions);
    }
    for (origin, mut versions) in by_origin {
        versions.sort_unstable();
        versions.dedup();
        if versions.first().map(|one| one.0) != versions.last().map(|one| one.0) {
            violations.push(format!("{origin} holds events of two versions: {versions:?}"));
        }
    }
}

/// Fewest streams cut by kills of which a share is checked.
const CUT_STREAMS_MIN: usize = 12;

/// Time after a kill in which the connections of its streams end.
const CUT_TIME: Duration = Duration::from_millis(200);

/// Checks that streams that were cut by kills of the daemons go on at a later try of their callers.
pub fn check_kills(outcomes: &[Outcome], kills: &[Kill], violations: &mut Vec<String>) {
    let is_cut = |outcome: &&Outcome| kills.iter().any(|kill| is_cut_by(outcome, kill));
    let cut: Vec<&Outcome> = outcomes.iter().filter(is_cut).collect();
    let goes_on = |cut: &&Outcome| {
        let is_later =
            |other: &&Outcome| other.origin() == cut.origin() && other.sent_at > cut.sent_at;
        outcomes.iter().filter(is_later).any(|other| other.events().next().is_some())
    };
    let going_on = cut.iter().filter(|cut| goes_on(cut)).count();
    let is_too_few = (going_on as f64) < cut.len() as f64 * MIN_TAKEN_UP_SHARE;
    if cut.len() >= CUT_STREAMS_MIN && is_too_few {
        violations.push(format!("{going_on} of {} streams cut by kills went on", cut.len()));
    }
}

/// Whether a kill has cut a stream that may be resumed, of a version that went on serving.
fn is_cut_by(outcome: &Outcome, kill: &Kill) -> bool {
    let ended_at = outcome.sent_at + outcome.took;
    let is_in_time = ended_at >= kill.at && ended_at < kill.at + CUT_TIME;
    let is_broken = !outcome.is_whole && !outcome.has_left && !outcome.is_poisonous;
    let last = outcome.events().last();
    let has_rest = last.is_some_and(|(number, _)| number + 1 < EVENT_COUNT);
    let version = last.and_then(|(_, data)| data.split_once(' ')).map(|parts| parts.1);
    let serves = version.is_some_and(|one| kill.versions.iter().any(|version| version == one));
    outcome.kind == Kind::Resumable && is_in_time && is_broken && has_rest && serves
}

/// Checks that streams that are taken up after the faults go on.
pub(super) fn check_take_ups(
    outcomes: &[Outcome],
    stable_since: Instant,
    violations: &mut Vec<String>,
) {
    let is_later = |outcome: &&Outcome| {
        let is_taken_up = outcome.take_up.is_some() && !outcome.is_poisonous;
        is_taken_up && outcome.sent_at > stable_since
    };
    let later: Vec<&Outcome> = outcomes.iter().filter(is_later).collect();
    let served = later.iter().filter(|outcome| super::is_served(outcome)).count();
    let is_too_few = (served as f64) < later.len() as f64 * MIN_TAKEN_UP_SHARE;
    if later.len() >= TAKE_UPS_MIN && is_too_few {
        violations.push(format!("{served} of {} take-ups went on after the faults", later.len()));
    }
}
