//! Burn rates and the counts of missed targets over the reported windows. Guards against a request
//! that is counted under the wrong target, and against counts that stay in a window too long.

use {
    ffw_decide::burn::{Counters, Counts, Sample, Target, WINDOWS},
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

const TARGET: Target =
    Target { first_token: Duration::from_millis(710), between_tokens: Duration::from_millis(63) };

fn sample(first_ms: u64, between_ms: u64, is_whole: bool) -> Sample {
    let first_token = Some(Duration::from_millis(first_ms));
    let between_tokens = Some(Duration::from_millis(between_ms));
    Sample { first_token, between_tokens, is_whole }
}

#[test]
fn each_missed_target_is_counted_separately() {
    let late = Counts::of(&sample(711, 63, true), &TARGET);
    assert_eq!((late.missed, late.first_token, late.between_tokens), (1, 1, 0));
    let slow = Counts::of(&sample(710, 64, true), &TARGET);
    assert_eq!((slow.missed, slow.first_token, slow.between_tokens), (1, 0, 1));
    let incomplete = Counts::of(&sample(1, 1, false), &TARGET);
    assert_eq!((incomplete.missed, incomplete.unavailable), (1, 1));
    assert_eq!(Counts::of(&sample(710, 63, true), &TARGET).missed, 0);
}

#[test]
fn a_burn_rate_of_one_uses_the_budget_up_exactly() {
    let counts = Counts { total: 100, missed: 5, ..Counts::default() };
    assert!((counts.burn_rate(0.95) - 1.0).abs() < 1e-9);
    assert!(counts.budget_left(0.95).abs() < 1e-9);
    assert!((counts.burn_rate(0.99) - 5.0).abs() < 1e-9);
}

#[test]
fn old_minutes_leave_the_short_window_first() {
    let mut counters = Counters::default();
    let (service, workspace): (Arc<str>, Arc<str>) = ("notes".into(), "a".into());
    let begin = Moment::from_millis(60_000);
    counters.add(begin, &service, &workspace, &sample(900, 10, true), &TARGET);
    let later = begin + Duration::from_secs(1_200);
    counters.add(later, &service, &workspace, &sample(100, 10, true), &TARGET);
    let series = &counters.series()[0];
    let [short, middle, long] = WINDOWS;
    assert_eq!(series.over(later, short).missed, 0);
    assert_eq!(series.over(later, middle).missed, 1);
    assert_eq!(series.over(later, long).total, 2);
    let much_later = later + long + Duration::from_secs(120);
    assert_eq!(series.over(much_later, long).total, 0);
}
