//! Times after which something is tried again.

use {ffw_decide::retry, rstest::rstest, std::time::Duration};

const LEAST: Duration = Duration::from_millis(500);
const MOST: Duration = Duration::from_secs(4);

#[rstest]
#[case::just_begun(10, 500)]
#[case::lasts(1_800, 1_800)]
#[case::lasts_long(60_000, 4_000)]
fn who_meets_an_outage_comes_back_after_as_long_again(#[case] age: u64, #[case] expected: u64) {
    let after = retry::after_outage(Duration::from_millis(age), LEAST, MOST);
    assert_eq!(after, Duration::from_millis(expected));
}

/// Callers come at any moment of an outage of 2 s and come back once.
#[test]
fn few_come_back_within_the_outage() {
    let outage = Duration::from_secs(2);
    let still_within = |age: &Duration| *age + retry::after_outage(*age, LEAST, MOST) < outage;
    let ages: Vec<Duration> = (0..200).map(|step| Duration::from_millis(step * 10)).collect();
    let again = ages.iter().filter(|age| still_within(age)).count();
    assert!(again * 2 <= ages.len(), "{again} of {} come back too soon", ages.len());
}
