//! Notices of servers that leave or want no requests for a time.

use {
    ffw_decide::notice::Notices,
    ffw_protocol::time::Moment,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

fn at(seconds: u64) -> Moment {
    Moment::from_millis(1_000 * seconds)
}

fn name(server: &str) -> Arc<str> {
    server.into()
}

/// A rolling replacement: each server says that it leaves, and its successor has its id and another
/// start time in its name.
#[test]
fn a_successor_under_the_same_id_is_not_leaving() {
    let mut notices = Notices::default();
    for start in 0..5 {
        let server = name(&format!("i-1@{start}"));
        assert!(!notices.is_leaving(&server));
        assert!(notices.record_leaving(at(start), &server), "the notice is new");
        assert!(!notices.record_leaving(at(start), &server), "the notice is known");
        assert!(notices.is_leaving(&server));
    }
}

/// Guards against a server that is used again because an older list still shows it.
#[test]
fn a_listed_server_stays_leaving_however_long_ago_it_said_so() {
    let mut notices = Notices::default();
    notices.record_leaving(at(1), &name("a"));
    notices.clean_up(at(10_000), |_| true);
    assert!(notices.is_leaving("a"));
    notices.clean_up(at(10_000), |_| false);
    assert!(!notices.is_leaving("a"), "notices are kept for ever");
}

/// Guards against a list that lacks the server for a moment and shows it again.
#[test]
fn a_recent_notice_outlives_the_entry_of_its_server() {
    let mut notices = Notices::default();
    notices.record_leaving(at(1), &name("a"));
    notices.clean_up(at(50), |_| false);
    assert!(notices.is_leaving("a"));
}

#[test]
fn a_wish_for_no_requests_ends_at_its_time() {
    let mut notices = Notices::default();
    notices.record_pushback(at(1), &name("a"), Duration::from_secs(3));
    assert_eq!(notices.pushback_left(at(2), "a"), Some(Duration::from_secs(2)));
    assert_eq!(notices.pushing_back(at(2)), [name("a")]);
    assert_eq!(notices.pushback_left(at(4), "a"), None);
    assert_eq!(notices.pushing_back(at(4)), []);
    assert_eq!(notices.pushback_left(at(2), "b"), None);
}

/// Requests that were under way are refused too, some with a shorter time.
#[test]
fn a_shorter_wish_does_not_end_a_longer_one() {
    let mut notices = Notices::default();
    notices.record_pushback(at(1), &name("a"), Duration::from_secs(10));
    notices.record_pushback(at(2), &name("a"), Duration::from_millis(200));
    assert_eq!(notices.pushback_left(at(5), "a"), Some(Duration::from_secs(6)));
}

/// Guards against a server that is lost for good because of one absurd value.
#[rstest]
#[case::an_hour(3_600)]
#[case::the_longest(u64::MAX)]
fn a_huge_wish_is_bounded(#[case] seconds: u64) {
    let mut notices = Notices::default();
    notices.record_pushback(at(1), &name("a"), Duration::from_secs(seconds));
    assert!(notices.pushback_left(at(30), "a").is_some());
    assert_eq!(notices.pushback_left(at(32), "a"), None);
}
