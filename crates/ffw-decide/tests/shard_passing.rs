//! Requests that let others pass them in the queue because some servers are closed to them.
//!
//! Guards against a large request that is passed for ever because its entry avoids a server, and
//! against a search of the whole queue at each step.

use {
    ffw_decide::shard::{Settings, Shard},
    ffw_protocol::{admission::Ask, time::Moment},
    ffw_support::{build, drive::Drive},
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Small requests that a large one lets pass at most, and as many as are granted with it.
const PASSING_MAX: usize = 16 + 4;

/// Time for which requests wait at most.
const PATIENCE: Duration = Duration::from_secs(600);

/// A large request needs all the memory of the only decode server that takes requests, which small
/// ones share.
#[rstest]
#[case::no_server(&[], 1)]
#[case::a_server_of_another_pool(&["elsewhere"], 1)]
#[case::a_server_that_wants_no_requests(&["decode-1"], 2)]
fn a_large_request_is_passed_a_limited_number_of_times(
    #[case] avoid: &[&str],
    #[case] decodes: usize,
) {
    let settings = Settings { slots: 8, ..build::settings() };
    let mut drive = Drive::new(settings, 8, decodes);
    let ask = |number, tokens_in| Ask {
        avoid: avoid.iter().map(|name| (*name).into()).collect(),
        patience: PATIENCE,
        target: PATIENCE,
        ..build::ask(number, "a", 0, tokens_in, 200)
    };
    for number in 0..4 {
        drive.ask(ask(number, 9_000), 200);
        drive.advance(Duration::from_millis(1_000));
    }
    let granted_before = drive.grants.len();
    drive.ask(ask(4, 39_000), 200);
    for number in 5..85 {
        drive.ask(ask(number, 9_000), 200);
        drive.advance(Duration::from_millis(1_000));
    }
    let is_large = |pieces: u32| pieces > 20;
    let passed = drive.grants[granted_before..].iter().position(|grant| is_large(grant.pieces));
    assert!(passed.is_some_and(|passed| passed <= PASSING_MAX), "passed {passed:?}");
}

/// The time of a step with 1,000 requests in the queue, while the slots of the pool are taken.
fn step_time(avoid: &[&str]) -> Duration {
    let now = Moment::from_millis(1_000);
    let mut shard = Shard::new(now, "owner".into(), 1, build::settings());
    shard.skip_recovery(now);
    shard.set_members(&build::members(4, 20));
    for number in 0..1_000 {
        let avoid = avoid.iter().map(|name| (*name).into()).collect();
        let ask = build::ask(number, "a", 0, 100, 40);
        shard.enqueue(now, Ask { avoid, patience: PATIENCE, target: PATIENCE, ..ask });
    }
    shard.step(now);
    let started_at = Instant::now();
    shard.step(now + Duration::from_millis(1));
    started_at.elapsed()
}

/// The owner runs a step for each message of each entry.
#[test]
fn a_step_costs_about_the_same_if_entries_avoid_a_server_of_another_pool() {
    let (usual, avoiding) = (step_time(&[]), step_time(&["elsewhere"]));
    assert!(avoiding < usual * 10, "{avoiding:?} instead of {usual:?}");
}
