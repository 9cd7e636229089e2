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
    ffw_soak::proxy::Fault,
    ffw_support::permit,
    rstest::rstest,
    rustix::process::Signal,
    std::{
        num::NonZero,
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    streams::{Call, EVENTS_SEEN, Fleet, LIST_TIME, Part},
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

/// Longest time in which a stream whose version can't be known is refused.
const REFUSAL_LIMIT: Duration = Duration::from_secs(3);

/// Asserts that the rest of each stream came from the version that began it.
fn assert_go_on(first: &[Part], rest: &[Part]) {
    assert_not_joined(first, rest);
    let is_whole = |part: &&Part| part.is_rest_after(Some(EVENTS_SEEN - 1));
    let whole_count = rest.iter().filter(is_whole).count();
    assert_eq!(whole_count, first.len(), "streams that went on: {rest:?}");
}

fn assert_not_joined(first: &[Part], rest: &[Part]) {
    let is_joined = |(first, rest): &(&Part, &Part)| {
        !rest.versions().is_empty() && first.versions() != rest.versions()
    };
    let joined: Vec<_> = first.iter().zip(rest).filter(is_joined).collect();
    assert!(
        joined.is_empty(),
        "{} of {} streams were joined: {joined:?}",
        joined.len(),
        first.len()
    );
}

/// Adds servers of the new version, and begins streams there at the first daemon.
async fn begin_at_new_servers(fleet: &mut Fleet) -> Vec<Part> {
    let old = fleet.decode_servers(OLD);
    let set_full = |is_full| {
        old.iter().for_each(|server| server.is_full.store(is_full, Ordering::SeqCst));
    };
    set_full(true);
    fleet.add_servers(Some(NEW), 2).await;
    let listed_at = Instant::now();
    let mut number = 0;
    while Call::new(&format!("probe-{number}")).begin(fleet.address(0), 1).await.versions() != [NEW]
    {
        assert!(listed_at.elapsed() < STOP_TIME, "no stream begins at the new servers");
        timer::sleep(Duration::from_millis(20)).await;
        number += 1;
    }
    let first = fleet.first_parts(0, STREAMS).await;
    assert!(first.iter().all(|part| part.versions() == [NEW]), "{first:?}");
    set_full(false);
    first
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

/// A daemon that the others can't reach is cut off from the store as servers of another version
/// come. Streams begin there at the other daemon and are taken up at the one that is cut off, whose
/// list is not overdue yet and knows the old version only. They are refused at once, and go on once
/// the daemon reaches the store.
#[rstest]
#[case::silent("cut-silent", Fault::Silence)]
#[case::reset("cut-reset", Fault::Reset)]
#[case::answers_lost("cut-answers-lost", Fault::LossOfAnswers)]
fn a_stream_is_not_joined_at_a_daemon_that_is_cut_off_during_a_release(
    #[case] name: &str,
    #[case] fault: Fault,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start_apart(name, Some(OLD)).await;
        fleet.store_links[1].set_fault(fault);
        let first = begin_at_new_servers(&mut fleet).await;
        let asked_at = Instant::now();
        let rest = fleet.take_up(1, STREAMS).await;
        assert_not_joined(&first, &rest);
        let is_refused = |part: &Part| part.status == Some(503);
        assert!(rest.iter().all(is_refused), "{rest:?}");
        assert!(asked_at.elapsed() < REFUSAL_LIMIT, "{:?}", asked_at.elapsed());
        fleet.store_links[1].set_fault(Fault::None);
        timer::sleep(STOP_TIME).await;
        assert_go_on(&first, &fleet.take_up(1, STREAMS).await);
    });
}

/// A daemon that the others can't reach is stopped as servers of another version come, and goes on
/// when streams that began there are taken up at it. Neither its clock nor its list has moved.
#[rstest]
#[case::shortly("stopped-shortly", Duration::ZERO)]
#[case::long("stopped-long", STOP_TIME)]
fn a_stream_is_not_joined_at_a_daemon_that_was_stopped_during_a_release(
    #[case] name: &str,
    #[case] stopped_longer: Duration,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start_apart(name, Some(OLD)).await;
        fleet.daemons[1].signal(Signal::STOP);
        let first = begin_at_new_servers(&mut fleet).await;
        timer::sleep(stopped_longer).await;
        fleet.daemons[1].signal(Signal::CONT);
        let rest = fleet.take_up(1, STREAMS).await;
        assert_not_joined(&first, &rest);
        timer::sleep(LIST_TIME).await;
        assert_go_on(&first, &fleet.take_up(1, STREAMS).await);
    });
}
