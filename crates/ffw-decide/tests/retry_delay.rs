//! Retry delays during an outage. Guards against delays so short that a caller that retries only
//! once retries while the outage still lasts.

use {ffw_decide::retry, rstest::rstest, std::time::Duration};

const DELAY_MIN: Duration = Duration::from_millis(500);
const DELAY_MAX: Duration = Duration::from_secs(4);

#[rstest]
#[case::has_just_begun(10, 500)]
#[case::has_lasted_a_while(1_800, 1_800)]
#[case::has_lasted_long(60_000, 4_000)]
fn the_delay_is_the_age_of_the_outage_within_limits(#[case] age_ms: u64, #[case] expected_ms: u64) {
    let after = retry::after_outage(Duration::from_millis(age_ms), DELAY_MIN, DELAY_MAX);
    assert_eq!(after, Duration::from_millis(expected_ms));
}

/// Callers arrive at any time in an outage of 2 s and retry once. At most half of them may retry
/// before the outage ends.
#[test]
fn at_most_half_of_the_callers_retry_within_the_outage() {
    let outage = Duration::from_secs(2);
    let is_too_early =
        |age: &Duration| *age + retry::after_outage(*age, DELAY_MIN, DELAY_MAX) < outage;
    let ages: Vec<Duration> = (0..200).map(|step| Duration::from_millis(step * 10)).collect();
    let too_early = ages.iter().filter(|age| is_too_early(age)).count();
    assert!(too_early * 2 <= ages.len(), "{too_early} of {} retry too early", ages.len());
}
