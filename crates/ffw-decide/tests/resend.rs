//! When a read of the store is sent again.
//!
//! Guards against a silent store that is asked without a pause, against one that is asked too late
//! once it answers again, and against a slow one that is given up.

use {
    ffw_decide::resend::Schedule,
    ffw_protocol::time::Moment,
    rstest::rstest,
    std::{iter, time::Duration},
};

const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Times, in milliseconds, at which further calls are sent to a store that never answers.
fn late_calls(wait: Duration, response_ms: u64) -> Vec<u64> {
    let start = Moment::from_millis(0);
    let mut schedule = Schedule::start(start, wait, Duration::from_millis(response_ms));
    let calls = iter::from_fn(|| {
        let now = schedule.late_at();
        let is_sent = !schedule.has_ended(now);
        schedule.record_late(now);
        is_sent.then(|| now.since(start).as_millis() as u64)
    });
    calls.take(5).collect()
}

#[rstest]
#[case::to_mend_a_silence(250, &[250, 750, 1_750, 3_250, 4_750])]
#[case::the_first_list(1_500, &[1_500, 3_000, 4_500, 6_000, 7_500])]
fn a_silent_store_is_asked_again_at_growing_intervals(
    #[case] response_ms: u64,
    #[case] expected: &[u64],
) {
    assert_eq!(late_calls(Duration::ZERO, response_ms), expected);
}

#[test]
fn a_watch_is_late_once_the_store_must_have_answered() {
    assert_eq!(late_calls(WATCH_WAIT, 1_500)[..2], [26_500, 53_000]);
}

/// Other reads of the store were lost, so this one is sent again at once, without growing slower.
#[test]
fn a_call_that_was_not_late_leaves_the_interval_as_it_is() {
    let mut schedule =
        Schedule::start(Moment::from_millis(0), Duration::ZERO, Duration::from_millis(250));
    schedule.record_sent(Moment::from_millis(100));
    assert_eq!(schedule.late_at(), Moment::from_millis(350));
}

#[rstest]
#[case::a_packet_that_was_sent_again(400, false)]
#[case::a_loss(500, true)]
fn only_a_long_silence_is_a_loss(#[case] answered_ms: u64, #[case] expected: bool) {
    let schedule =
        Schedule::start(Moment::from_millis(0), Duration::ZERO, Duration::from_millis(250));
    assert_eq!(schedule.shows_loss(Moment::from_millis(answered_ms)), expected);
}

/// A watch that is sent again may wait for as long as the first; another read ends after its limit.
#[test]
fn a_read_ends_after_its_limit() {
    let start = Moment::from_millis(0);
    let response = Duration::from_millis(1_500);
    let mut list = Schedule::start(start, Duration::ZERO, response);
    list.record_late(Moment::from_millis(9_000));
    assert!(list.has_ended(Moment::from_millis(10_000)));
    let mut watch = Schedule::start(start, WATCH_WAIT, response);
    watch.record_late(Moment::from_millis(30_000));
    assert!(!watch.has_ended(Moment::from_millis(66_000)));
    assert!(watch.has_ended(Moment::from_millis(66_500)));
}
