//! One daemon's part of the retry budget. Guards against more repeated calls within any window than
//! the ratio and the slack allow, which would add load while servers fail.

use {
    ffw_decide::budget::Budget,
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

const WINDOW: Duration = Duration::from_secs(10);

fn pool() -> Arc<str> {
    "p".into()
}

#[test]
fn repeats_stay_within_ratio_and_slack_in_every_window() {
    let mut budget = Budget::new(0.2, WINDOW);
    let mut taken: Vec<Moment> = Vec::new();
    let mut requests: Vec<Moment> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Moment::from_millis(step * 10);
        if step % 4 == 0 {
            budget.record_request(now, &pool());
            requests.push(now);
        }
        if budget.take(now, &pool(), 2, 7.0) {
            taken.extend([now, now]);
        }
        let within =
            |times: &[Moment]| times.iter().filter(|time| now.since(**time) < WINDOW).count();
        let allowed = 0.2 * within(&requests) as f64 + 7.0;
        assert!(within(&taken) as f64 <= allowed + 1.0, "at {now:?}");
    }
    assert!(taken.len() > 100, "the budget was hardly used: {}", taken.len());
}

#[test]
fn a_new_ratio_applies_at_once_and_counts_stay() {
    let mut budget = Budget::new(1.0, WINDOW);
    let now = Moment::from_millis(1);
    (0..10).for_each(|_| budget.record_request(now, &pool()));
    assert!(budget.take(now, &pool(), 4, 0.0));
    budget.configure(0.5, WINDOW);
    assert_eq!(budget.remaining(now, 0.0)[0].calls, 1);
    assert!(!budget.take(now, &pool(), 2, 0.0));
}

#[test]
fn two_calls_are_taken_together_or_not_at_all() {
    let mut budget = Budget::new(0.2, WINDOW);
    let now = Moment::from_millis(1);
    assert!(budget.take(now, &pool(), 2, 3.0));
    assert!(!budget.take(now, &pool(), 2, 3.0));
    assert!(budget.take(now, &pool(), 1, 3.0));
}
