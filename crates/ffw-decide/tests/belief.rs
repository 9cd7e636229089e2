//! How old beliefs are, and what confirms them.
//!
//! Guards against a silent connection, an older state or another era that counts as a confirmation.

use {
    ffw_decide::belief::{self, Belief, Found, Step, Timeouts},
    ffw_protocol::{belief::Span, time::Moment},
    rstest::rstest,
    std::time::Duration,
};

const BOUND: Duration = Duration::from_millis(2_000);

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn age(belief: &Belief, seconds: u64) -> u64 {
    belief.age(at(seconds)).expect("confirmed").as_secs()
}

/// A list at revision 10 of era 1, asked for at 1 s.
fn listed() -> Belief {
    let mut belief = Belief::default();
    belief.record_list(1, 10, at(1));
    belief
}

#[rstest]
#[case::young(700, true, Step::Wait(Duration::from_millis(50)))]
#[case::of_a_checker(750, true, Step::AskStore)]
#[case::with_a_checker(750, false, Step::AskChecker)]
#[case::without_news_of_the_checker(1_250, false, Step::AskStore)]
fn the_store_is_asked_before_the_bound(
    #[case] age_ms: u64,
    #[case] is_checker: bool,
    #[case] expected: Step,
) {
    assert_eq!(belief::step(Duration::from_millis(age_ms), BOUND, is_checker), expected);
}

/// The change may have come at any time since the call, or wait on the way.
#[test]
fn the_answer_to_a_call_that_waited_confirms_what_was_known_when_it_was_sent() {
    let mut belief = listed();
    belief.record_changes(Some(12), 12, at(2));
    assert_eq!(age(&belief, 20), 18);
    assert_eq!(belief.span(), Span { era: 1, since: 12, until: 12 });
}

#[test]
fn an_earlier_confirmation_does_not_replace_a_later_one() {
    let mut belief = listed();
    belief.record_unchanged(1, 10, 14, at(5));
    belief.record_unchanged(1, 10, 12, at(3));
    assert_eq!(age(&belief, 6), 1);
    assert_eq!(belief.span().until, 14);
}

#[rstest]
#[case::up_to_the_revision(1, 10, true)]
#[case::of_an_earlier_revision(1, 9, true)]
#[case::of_a_later_revision(1, 11, false)]
#[case::of_another_era(2, 10, false)]
fn the_store_s_revision_confirms_what_was_read_up_to_it(
    #[case] era: u64,
    #[case] revision: u64,
    #[case] expected: bool,
) {
    let mut belief = listed();
    assert_eq!(belief.record_revision(era, revision, at(4)), expected);
    assert_eq!(age(&belief, 5), if expected { 1 } else { 4 });
}

/// What another daemon believes confirms this one's belief only if it is the same state.
#[rstest]
#[case::the_same_state(1, 8, 20, true)]
#[case::the_same_state_known_for_less(1, 10, 10, true)]
#[case::an_older_state(1, 5, 9, false)]
#[case::a_newer_state(1, 11, 20, false)]
#[case::an_earlier_era(0, 8, 20, false)]
#[case::a_later_era(2, 8, 20, false)]
fn only_the_same_state_is_confirmed_by_another_daemon(
    #[case] era: u64,
    #[case] since: u64,
    #[case] until: u64,
    #[case] expected: bool,
) {
    let mut belief = listed();
    assert_eq!(belief.merge(Span { era, since, until }, at(4)), expected);
    assert_eq!(age(&belief, 5), if expected { 1 } else { 4 });
    let merged = Span { era, since: since.min(10), until: until.max(10) };
    let kept = Span { era: 1, since: 10, until: 10 };
    assert_eq!(belief.span(), if expected { merged } else { kept });
}

/// Revision 13 with the last change at 12, as the answer to a call at 4 s shows.
const FOUND: Found =
    Found { era: 1, last_change: 12, until: 13, asked_at: Moment::from_millis(4_000) };

/// Guards against a belief that is as old as the watch that brought a change, although a later call
/// has found nothing newer: beside a slow store, its age exceeds the bound.
#[rstest]
#[case::found_first(true, 12, 4)]
#[case::read_first(false, 12, 4)]
#[case::only_a_part_is_read(true, 11, 2)]
#[case::only_a_part_was_read(false, 11, 2)]
fn reading_what_a_call_has_found_confirms_as_of_that_call(
    #[case] is_found_first: bool,
    #[case] read_until: u64,
    #[case] confirmed_at: u64,
) {
    let mut belief = listed();
    if is_found_first {
        belief.record_found(FOUND);
        assert_eq!(age(&belief, 6), 5);
    }
    belief.record_changes(Some(read_until), read_until, at(2));
    if !is_found_first {
        belief.record_found(FOUND);
    }
    assert_eq!(age(&belief, 6), 6 - confirmed_at);
    belief.record_changes(Some(12), 12, at(3));
    assert_eq!(age(&belief, 6), 2);
    assert_eq!(belief.span(), Span { era: 1, since: 12, until: 13 });
}

/// What was found in another era, or before the latest list, confirms nothing.
#[test]
fn changes_of_another_era_are_not_waited_for() {
    let mut belief = listed();
    belief.record_found(Found { era: 2, ..FOUND });
    belief.record_changes(Some(12), 12, at(2));
    assert_eq!(age(&belief, 6), 4);
    let mut belief = listed();
    belief.record_found(FOUND);
    belief.record_list(2, 11, at(2));
    belief.record_changes(Some(12), 12, at(3));
    assert_eq!(age(&belief, 6), 3);
}

/// A reader that is always behind the newest change is confirmed as of the call that found the
/// changes which it has read.
#[test]
fn changes_that_are_found_later_do_not_replace_those_to_be_read() {
    let mut belief = listed();
    belief.record_found(FOUND);
    belief.record_found(Found { last_change: 15, until: 15, asked_at: at(5), ..FOUND });
    belief.record_changes(Some(12), 12, at(2));
    assert_eq!(age(&belief, 6), 2);
}

/// Guards against a belief that exceeds its bound as the checker is gone and the store is slow.
/// Beside a fast store, a checker that is gone costs no further calls.
#[rstest]
#[case::fast_too_early(1_200, 10, false)]
#[case::fast(1_250, 10, true)]
#[case::slow(850, 400, true)]
#[case::slow_too_early(849, 400, false)]
#[case::very_slow(750, 3_000, true)]
#[case::young(749, 3_000, false)]
fn a_slow_store_is_asked_early_if_the_checker_is_gone(
    #[case] age_ms: u64,
    #[case] latency_ms: u64,
    #[case] expected: bool,
) {
    let (age, latency) = (Duration::from_millis(age_ms), Duration::from_millis(latency_ms));
    assert_eq!(belief::is_asked_alone(age, BOUND, latency), expected);
}

/// One answer confirms all kinds in a calm, so further questions are only asked where it won't, or
/// not in time.
#[rstest]
#[case::young(700, 600, true, false)]
#[case::not_confirmed_by_others(750, 10, true, true)]
#[case::time_for_a_later_question(1_270, 600, false, false)]
#[case::no_time_for_a_later_question(1_275, 600, false, true)]
#[case::less_slow(1_400, 400, false, false)]
#[case::very_slow(750, 2_500, false, true)]
#[case::very_slow_and_young(700, 2_500, false, false)]
fn the_store_is_asked_beside_a_late_answer(
    #[case] age_ms: u64,
    #[case] latency_ms: u64,
    #[case] is_before: bool,
    #[case] expected: bool,
) {
    let (age, latency) = (Duration::from_millis(age_ms), Duration::from_millis(latency_ms));
    assert_eq!(belief::is_asked_beside(age, BOUND, latency, is_before), expected);
}

#[rstest]
#[case::earlier(1, 11, true)]
#[case::the_same(1, 10, false)]
#[case::another_era(2, 11, false)]
fn a_belief_is_before_a_later_revision_of_its_era(
    #[case] era: u64,
    #[case] until: u64,
    #[case] expected: bool,
) {
    assert_eq!(listed().is_before(Span { era, since: until, until }), expected);
}

/// A daemon that has read nothing yet has nothing to be confirmed.
#[test]
fn nothing_is_confirmed_before_the_first_list() {
    let mut belief = Belief::default();
    assert!(!belief.merge(Span { era: 0, since: 0, until: 9 }, at(1)));
    assert!(!belief.record_revision(0, 0, at(1)));
    assert_eq!(belief.age(at(2)), None);
}

/// A response that stops in its middle, and two lists that stop as well, leave time for a third list.
/// A silent watch is noticed later, by a question at three eighths of the bound.
#[rstest]
#[case::small(2_000)]
#[case::large(4_000)]
fn two_lists_that_fall_silent_leave_time_for_a_third(#[case] bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    let idle = |silences| Timeouts::of_reader(bound, silences).idle;
    assert!(idle(0) + idle(1) + idle(2) <= bound / 8 * 7);
    assert!(bound / 8 * 3 + idle(1) + idle(2) <= bound / 8 * 7);
}

/// Guards against a removed server that still gets requests after the bound: a silent watch, and
/// three lists that stop in their middle, leave time for a fourth list.
#[rstest]
#[case::small(2_000)]
#[case::large(4_000)]
fn three_lists_that_fall_silent_leave_time_for_a_fourth(#[case] bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    let idle = |silences| Timeouts::of_reader(bound, silences).idle;
    assert!(bound / 8 * 3 + idle(1) + idle(2) + idle(3) <= bound / 8 * 7);
}

/// A store that pauses within its responses is read in the end.
#[test]
fn the_timeouts_of_a_reader_grow_with_each_silence() {
    let of_reader = |silences| Timeouts::of_reader(BOUND, silences);
    assert!((1..40).all(|silences| of_reader(silences).idle <= of_reader(silences + 1).idle));
    assert_eq!(of_reader(40), Timeouts::LONGEST);
}

/// Only a change that another daemon has read, and that is newer than what is believed, shows that
/// the open watch is silent.
#[rstest]
#[case::a_newer_change(1, 11, 20, true)]
#[case::the_same_state(1, 10, 20, false)]
#[case::an_older_state(1, 5, 9, false)]
#[case::another_era(2, 11, 20, false)]
fn a_newer_change_of_another_daemon_shows_that_a_belief_is_behind(
    #[case] era: u64,
    #[case] since: u64,
    #[case] until: u64,
    #[case] expected: bool,
) {
    assert_eq!(listed().is_behind(Span { era, since, until }), expected);
    assert!(!Belief::default().is_behind(Span { era: 0, since, until }));
}

#[rstest]
#[case::fast(5, 250)]
#[case::slow(400, 800)]
#[case::very_slow(4_000, 1_500)]
fn a_slow_store_has_time_for_its_response(#[case] latency_ms: u64, #[case] response_ms: u64) {
    let timeouts = Timeouts::of_question(BOUND).at_latency(Duration::from_millis(latency_ms));
    assert_eq!(timeouts.response, Duration::from_millis(response_ms));
    assert_eq!(timeouts.idle, Timeouts::of_question(BOUND).idle);
}
