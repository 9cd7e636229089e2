//! Requests that name something unknown, while the store answers, is slow, or is away.
//!
//! Guards against a refusal by a configuration that is not known to be the newest, and against a
//! call to the store for each such request.

use {
    ffw_decide::confirm::{
        Action, BEHIND_MAX, CONFIRMATION_LIFETIME, Knowledge, action, fetches_from_peer,
    },
    ffw_protocol::time::Moment,
    rstest::rstest,
    std::time::Duration,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

/// A daemon that the store last confirmed at `confirmed_ms`.
fn confirmed(confirmed_ms: u64) -> Knowledge {
    Knowledge { confirmed_at: Some(at(confirmed_ms)), ..Knowledge::default() }
}

#[rstest]
#[case::never_asked(Knowledge::default(), Action::Wait)]
#[case::just_confirmed(confirmed(4_100), Action::Refuse)]
#[case::confirmed_long_ago(confirmed(3_900), Action::Wait)]
#[case::store_lost(Knowledge { is_store_lost: true, ..confirmed(3_900) }, Action::Postpone)]
#[case::lost_after_the_confirmation(
    Knowledge { is_store_lost: true, ..confirmed(4_500) },
    Action::Refuse
)]
#[case::newer_version_on_its_way(
    Knowledge { behind_since: Some(at(4_500)), ..confirmed(4_900) },
    Action::Wait
)]
#[case::newer_version_unusable(
    Knowledge { behind_since: Some(at(3_000)), ..confirmed(4_900) },
    Action::Postpone
)]
fn a_name_is_refused_by_a_confirmed_configuration_only(
    #[case] knowledge: Knowledge,
    #[case] expected: Action,
) {
    assert_eq!(action(at(5_000), at(5_000), &knowledge), expected);
}

/// A confirmation that was asked for after the request arrived counts, however slow the store is.
#[test]
fn a_slow_confirmation_counts_for_the_request_that_asked() {
    let knowledge = confirmed(10);
    let late = at(10) + CONFIRMATION_LIFETIME * 3;
    assert_eq!(action(late, at(5), &knowledge), Action::Refuse);
    assert_eq!(action(late, at(20), &knowledge), Action::Wait);
}

/// 1,000 requests a second for 60 s, each confirmation takes 5 ms: one call a second.
#[test]
fn a_flood_of_unknown_names_costs_a_call_a_second() {
    let mut knowledge = Knowledge::default();
    let mut calls = 0;
    let mut answer_at: Option<Moment> = None;
    for millis in 0..60_000 {
        if answer_at == Some(at(millis)) {
            knowledge.confirmed_at = Some(at(millis) - Duration::from_millis(5));
            answer_at = None;
        }
        let is_waiting = action(at(millis), at(millis), &knowledge) == Action::Wait;
        if is_waiting && answer_at.is_none() {
            answer_at = Some(at(millis + 5));
            calls += 1;
        }
    }
    assert!((59..=61).contains(&calls), "{calls} calls");
}

/// Guards against a second copy of a large version on a link that is still bringing the first one,
/// and against a daemon that waits for a store that brings nothing.
#[rstest]
#[case::small_and_new(0, 4_000, false)]
#[case::small_and_late(600, 4_000, true)]
#[case::large_and_on_its_way(1_000, 800_000, false)]
#[case::large_and_late(1_600, 800_000, true)]
fn a_version_is_fetched_from_a_peer_when_the_store_is_late(
    #[case] behind_ms: u64,
    #[case] bytes: usize,
    #[case] expected: bool,
) {
    let now = at(10_000 + behind_ms);
    let behind = Knowledge { behind_since: Some(at(10_000)), ..confirmed(9_000) };
    assert_eq!(fetches_from_peer(now, &behind, bytes), expected);
    let lost = Knowledge { is_store_lost: true, ..behind };
    assert!(fetches_from_peer(now, &lost, bytes), "the store is lost");
    let starting = Knowledge { confirmed_at: None, ..behind };
    assert!(fetches_from_peer(now, &starting, bytes), "the store has not answered yet");
}

/// Whatever the order of events, a refusal rests on an answer that is younger than the lifetime, or
/// was asked for by the request itself, and on the newest known version.
#[test]
fn no_refusal_without_a_recent_answer() {
    for confirmed_ms in (0..6_000).step_by(250) {
        for behind_ms in (0..6_000).step_by(250).map(Some).chain([None]) {
            for is_store_lost in [false, true] {
                let knowledge = Knowledge {
                    behind_since: behind_ms.map(at),
                    is_store_lost,
                    ..confirmed(confirmed_ms)
                };
                let age = at(6_000).since(at(confirmed_ms));
                let may_refuse = behind_ms.is_none() && age < CONFIRMATION_LIFETIME;
                let refuses = action(at(6_000), at(6_000), &knowledge) == Action::Refuse;
                assert_eq!(refuses, may_refuse, "{knowledge:?}");
            }
        }
    }
    assert!(BEHIND_MAX <= Duration::from_secs(2), "callers wait for longer than a change may take");
}
