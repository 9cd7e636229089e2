//! Streams that callers take up while servers of two software versions serve, or have just come, and
//! daemons as processes have lost what they know in memory, or are out of step.
//!
//! Guards against streams that are refused although their version takes work, and against a daemon
//! that takes an outdated list of servers for evidence of where a stream began.

#[path = "support/streams.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod streams;

use {
    ffw_runtime::timer,
    ffw_support::permit,
    rstest::rstest,
    rustix::process::Signal,
    std::{
        num::NonZero,
        time::{Duration, Instant},
    },
    streams::{EVENTS_SEEN, Fleet, LIST_TIME, Part},
};

/// Processor cores for each run.
const CORES: NonZero<usize> = NonZero::new(2).expect("not zero");

/// Versions of the servers that serve first, and of those that come later.
const OLD: &str = "v1";
const NEW: &str = "v2";

/// Streams of one test.
const STREAMS: usize = 12;

/// Time after their first events in which the daemons have recorded where streams began.
const RECORD_TIME: Duration = Duration::from_secs(1);

/// Time in which a connected daemon learns of a server. It is short beside the age up to which a
/// list of servers is used.
const NEWS_TIME: Duration = Duration::from_millis(500);

/// Time for which a daemon is stopped: longer than the age up to which a list is used.
const STOP_TIME: Duration = Duration::from_millis(2_500);

/// Asserts that the rest of each stream came from the version that began it.
fn assert_go_on(first: &[Part], rest: &[Part]) {
    assert_not_joined(first, rest);
    let is_whole = |part: &&Part| part.is_rest_after(Some(EVENTS_SEEN - 1));
    let whole_count = rest.iter().filter(is_whole).count();
    assert_eq!(whole_count, first.len(), "streams that went on: {rest:?}");
}

fn assert_not_joined(first: &[Part], rest: &[Part]) {
    for (first, rest) in first.iter().zip(rest) {
        let served = rest.versions();
        assert!(served.is_empty() || first.versions() == served, "{first:?} {rest:?}");
    }
}

/// Both versions serve, streams begin at either, and all daemons are killed once, or again after the
/// streams were taken up. Without a record that outlives the daemons, each take-up is refused.
#[rstest]
#[case::once("two-versions-killed", 1)]
#[case::twice("two-versions-killed-twice", 2)]
fn streams_of_two_versions_go_on_after_all_daemons_were_killed(
    #[case] name: &str,
    #[case] kills: usize,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start(name, Some(OLD)).await;
        fleet.add_servers(Some(NEW), 2).await;
        timer::sleep(LIST_TIME).await;
        let first = fleet.first_parts(0, STREAMS).await;
        timer::sleep(RECORD_TIME).await;
        for _ in 0..kills {
            fleet.kill_all().await;
            fleet.start_again().await;
            assert_go_on(&first, &fleet.take_up(1, STREAMS).await);
        }
    });
}

/// Streams begin while one version serves, and all daemons are killed soon after servers of another
/// one have come. Without a record of the streams that ran before, each take-up is refused.
#[test]
fn streams_from_before_a_release_go_on_after_all_daemons_were_killed() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("before-release", Some(OLD)).await;
        let first = fleet.first_parts(0, STREAMS).await;
        fleet.add_servers(Some(NEW), 2).await;
        timer::sleep(LIST_TIME + RECORD_TIME).await;
        fleet.kill_all().await;
        fleet.start_again().await;
        assert_go_on(&first, &fleet.take_up(2, STREAMS).await);
    });
}

/// One daemon is stopped during a release, and goes on as the others, which served all streams, are
/// killed. Without a record that outlives them, each take-up is refused.
#[test]
fn streams_go_on_at_a_daemon_that_was_stopped_while_the_others_served() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("stopped-and-killed", Some(OLD)).await;
        fleet.daemons[2].signal(Signal::STOP);
        let stopped_at = Instant::now();
        fleet.add_servers(Some(NEW), 2).await;
        timer::sleep(NEWS_TIME).await;
        let first = fleet.first_parts(0, STREAMS).await;
        timer::sleep(STOP_TIME.saturating_sub(stopped_at.elapsed())).await;
        fleet.kill(0);
        fleet.kill(1);
        fleet.daemons[2].signal(Signal::CONT);
        // Until then, the ones that were killed are taken for owners.
        timer::sleep(LIST_TIME).await;
        assert_go_on(&first, &fleet.take_up(2, STREAMS).await);
    });
}

/// The servers come after the daemons, of a first start, have listed none. All daemons are killed
/// within a minute. Without a record of the only version, each take-up is refused. The copies of where
/// streams began would do as well; `software_record` shows the record alone.
#[test]
fn streams_go_on_after_a_kill_in_the_first_minute_of_servers_that_came_late() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start_before_servers("late-servers", Some(OLD)).await;
        let first = fleet.first_parts(0, STREAMS).await;
        fleet.kill_all().await;
        fleet.start_again().await;
        assert_go_on(&first, &fleet.take_up(1, STREAMS).await);
    });
}
