//! Servers of two software versions side by side in one service, with daemons as processes.
//!
//! Guards against a stream that holds events of two versions, in one answer or over a caller's
//! tries, and against streams that don't go on although servers of their version take work.

#[path = "support/streams.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod streams;

use {
    ffw_runtime::timer,
    ffw_soak::worker::{EVENT_COUNT, Worker},
    ffw_support::permit,
    rstest::rstest,
    smol::Task,
    std::{num::NonZero, sync::atomic::Ordering, time::Duration},
    streams::{EVENTS_SEEN, Fleet, LIST_TIME, Part, RESUMABLE, all, begin_streams, busiest},
};

/// Processor cores for each run.
const CORES: NonZero<usize> = NonZero::new(2).expect("not zero");

/// Versions of the servers that serve first, and of those that come later.
const OLD: &str = "v1";
const NEW: &str = "v2";

/// Streams of one test.
const STREAMS: usize = 6;

/// Servers of the new version, which have more room than those of the old one.
const NEW_SERVERS: usize = 4;

/// Time from the start of a stream in which its first events arrive.
const BEGIN_TIME: Duration = Duration::from_millis(300);

/// Time for which the daemons know the server list before they are killed.
const KNOWN_TIME: Duration = Duration::from_secs(3);

fn assert_one_version(parts: &[Part], version: &str) {
    let joined = parts.iter().filter(|part| part.versions().iter().any(|one| one != version));
    let joined: Vec<&Part> = joined.collect();
    assert!(joined.is_empty(), "{} of {} were joined: {joined:?}", joined.len(), parts.len());
}

fn assert_rest(parts: &[Part], last_event: Option<u32>) {
    let unserved: Vec<&Part> =
        parts.iter().filter(|part| !part.is_rest_after(last_event)).collect();
    let (unserved_count, count) = (unserved.len(), parts.len());
    assert!(unserved.is_empty(), "{unserved_count} of {count} did not go on: {unserved:?}");
}

/// Streams begin at servers of the old version, and servers of the new one come, with more room.
async fn begin_before_release(fleet: &mut Fleet) -> Vec<Task<Part>> {
    let streams = begin_streams(fleet.address(0), RESUMABLE, "stream", STREAMS);
    timer::sleep(BEGIN_TIME).await;
    fleet.add_servers(Some(NEW), NEW_SERVERS).await;
    timer::sleep(LIST_TIME).await;
    streams
}

/// The server of some streams breaks off in their middle. The rest comes in the same answer, from
/// the other server of the version.
#[test]
fn a_broken_stream_goes_on_at_its_version_in_one_answer() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("one-answer", Some(OLD)).await;
        let streams = begin_before_release(&mut fleet).await;
        let old = fleet.decode_servers(OLD);
        let broken = busiest(&old);
        broken.aborts_responses.store(true, Ordering::SeqCst);
        let parts = all(streams).await;
        assert_one_version(&parts, OLD);
        assert_rest(&parts, None);
    });
}

/// Callers return to another daemon, which knows of the streams only what their callers name.
#[test]
fn a_stream_that_is_taken_up_elsewhere_goes_on_at_its_version() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("taken-up", Some(OLD)).await;
        fleet.first_parts(0, STREAMS).await;
        fleet.add_servers(Some(NEW), NEW_SERVERS).await;
        timer::sleep(LIST_TIME).await;
        let parts = fleet.take_up(1, STREAMS).await;
        assert_one_version(&parts, OLD);
        assert_rest(&parts, Some(EVENTS_SEEN - 1));
    });
}

/// Callers return to another daemon after the one that served them was killed, and so can't be
/// asked.
#[test]
fn a_stream_whose_daemon_was_killed_goes_on_at_its_version() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("daemon-killed", Some(OLD)).await;
        fleet.first_parts(0, STREAMS).await;
        fleet.kill(0);
        fleet.add_servers(Some(NEW), NEW_SERVERS).await;
        timer::sleep(LIST_TIME).await;
        let parts = fleet.take_up(2, STREAMS).await;
        assert_one_version(&parts, OLD);
        assert_rest(&parts, Some(EVENTS_SEEN - 1));
    });
}

/// Both versions serve when the streams begin, and callers return at once: to a daemon beside the one
/// that served them, or after that one was killed. In the second case some may be refused, as the
/// killed daemon may have been the owner that reserves servers.
#[rstest]
#[case::beside("at-once-beside", false)]
#[case::killed("at-once-killed", true)]
fn a_stream_that_is_taken_up_at_once_goes_on_at_its_version(
    #[case] name: &str,
    #[case] is_killed: bool,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start(name, Some(OLD)).await;
        fleet.add_servers(Some(NEW), 2).await;
        timer::sleep(LIST_TIME).await;
        let first = fleet.first_parts(0, STREAMS).await;
        if is_killed {
            fleet.kill(0);
        }
        let rest = fleet.take_up(1, STREAMS).await;
        for (first, rest) in first.iter().zip(&rest) {
            let served = rest.versions();
            assert!(served.is_empty() || first.versions() == served, "{first:?} {rest:?}");
        }
        let is_whole = |part: &&Part| part.is_rest_after(Some(EVENTS_SEEN - 1));
        let (whole_count, least) =
            (rest.iter().filter(is_whole).count(), if is_killed { STREAMS / 2 } else { STREAMS });
        assert!(whole_count >= least, "{whole_count} of {STREAMS} went on: {rest:?}");
    });
}

/// Drains the busiest server of the old version, or all of them. Returns the streams, and whether a
/// move went to the new version.
async fn drain(fleet: &mut Fleet, drains_all: bool) -> (Vec<Part>, bool) {
    let streams = begin_before_release(fleet).await;
    let old = fleet.decode_servers(OLD);
    let leaving = busiest(&old);
    let draining = old.iter().filter(|server| drains_all || server.name == leaving.name);
    draining.for_each(|server| fleet.drain(server));
    let parts = all(streams).await;
    let targets: Vec<_> = old.iter().flat_map(Worker::move_targets).collect();
    assert!(drains_all || !targets.is_empty(), "nothing was moved");
    let new = fleet.decode_servers(NEW);
    let is_new = |target| new.iter().any(|server| server.address == target);
    (parts, targets.into_iter().any(is_new))
}

/// A server with streams drains while another one of its version takes work.
#[test]
fn a_run_is_moved_to_its_version() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("moved", Some(OLD)).await;
        let (parts, has_moved_to_new) = drain(&mut fleet, false).await;
        assert_one_version(&parts, OLD);
        assert!(!has_moved_to_new, "a run was moved to a server of the other version");
        assert_rest(&parts, None);
    });
}

/// A server with streams drains, and no other one of its version takes work. It goes on until the
/// streams have ended.
#[test]
fn a_run_is_not_moved_if_its_version_takes_no_work() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start("not-moved", Some(OLD)).await;
        let (parts, has_moved_to_new) = drain(&mut fleet, true).await;
        assert_one_version(&parts, OLD);
        assert!(!has_moved_to_new, "a run was moved to a server of the other version");
        assert_rest(&parts, None);
    });
}

/// When the servers of the new version come, and those of the old one leave.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Release {
    /// The new ones come before the daemons are killed, and the old ones leave before they are
    /// back.
    Begun,
    /// Both happen while there is no daemon.
    Unseen,
    /// The new ones come before the daemons are killed, and the old ones stay.
    Unfinished,
}

/// All daemons are killed during a release. A stream may be refused then; it may go on at its own
/// version only.
#[rstest]
#[case::begun("release-begun", Release::Begun)]
#[case::unseen("release-unseen", Release::Unseen)]
#[case::unfinished("release-unfinished", Release::Unfinished)]
fn a_stream_is_not_joined_after_all_daemons_were_killed(
    #[case] name: &str,
    #[case] release: Release,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start(name, Some(OLD)).await;
        fleet.first_parts(0, STREAMS).await;
        if release != Release::Unseen {
            fleet.add_servers(Some(NEW), NEW_SERVERS).await;
        }
        timer::sleep(LIST_TIME).await;
        fleet.kill_all().await;
        if release == Release::Unseen {
            fleet.add_servers(Some(NEW), NEW_SERVERS).await;
        }
        if release != Release::Unfinished {
            fleet.remove_version(OLD);
        }
        fleet.start_again().await;
        for daemon in 0..fleet.daemons.len() {
            let parts = fleet.take_up(daemon, STREAMS).await;
            assert_one_version(&parts, OLD);
            let is_refused = |part: &Part| part.status != Some(200);
            assert!(release == Release::Unfinished || parts.iter().all(is_refused), "{parts:?}");
        }
    });
}

/// There is one version only, stated or not, and all daemons were killed after they had known the
/// list for some seconds. Streams go on at any server.
#[rstest]
#[case::stated("one-stated", Some(OLD))]
#[case::unstated("one-unstated", None)]
fn streams_of_the_only_version_go_on_after_all_daemons_were_killed(
    #[case] name: &str,
    #[case] version: Option<&str>,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fleet = Fleet::start(name, version).await;
        fleet.first_parts(0, STREAMS).await;
        timer::sleep(KNOWN_TIME).await;
        fleet.kill_all().await;
        fleet.start_again().await;
        let parts = fleet.take_up(1, STREAMS).await;
        assert_one_version(&parts, version.unwrap_or_default());
        assert_rest(&parts, Some(EVENTS_SEEN - 1));
        assert!(parts.iter().all(|part| part.ids().last() == Some(&(EVENT_COUNT - 1))));
    });
}
