//! How old beliefs are, and what confirms them.
//!
//! Guards against a silent connection, an older state or another era that counts as a confirmation.

use {
    ffw_decide::belief::{self, Belief, Step, Timeouts},
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
