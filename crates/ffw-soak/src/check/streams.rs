//! Checks of streams: their events are complete, in order and of one software version, over all tries
//! of a caller too, and streams that are taken up go on.

use {
    crate::{caller::Outcome, worker::EVENT_COUNT},
    std::{collections::BTreeMap, time::Instant},
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
