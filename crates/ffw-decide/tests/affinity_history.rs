//! The versions of servers' software that a pool had lately.
//!
//! Guards against a stream that goes on at servers of another version than the one that began it,
//! because a daemon takes the version that is listed now for the only one.

use {
    ffw_decide::affinity::history::{self, Change, History, Listed},
    ffw_protocol::{declaration::Deployment, software::Version, time::Moment},
    proptest::prelude::*,
    rstest::rstest,
    std::time::Duration,
};

/// The lifetime in these tests, in seconds.
const LIFETIME_S: u64 = 100;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn version(name: &str) -> Version {
    Version::Stated(name.into())
}

/// A server whose name begins with that of its version; `?` if that is not known.
fn server(name: &str) -> Listed {
    let version = match name.split('-').next() {
        Some("?") | None => None,
        Some("unstated") => Some(Version::Unstated),
        Some(text) => Some(version(text)),
    };
    Listed { server: name.into(), pool: "llm".into(), version }
}

fn list(names: &[&str]) -> Vec<Listed> {
    names.iter().map(|name| server(name)).collect()
}

/// A daemon whose first list, at 0 s, has these servers.
fn started(names: &[&str]) -> History {
    let mut history = History::default();
    history.set_lifetime(Duration::from_secs(LIFETIME_S));
    history.record_gap(at(0));
    history.record_list(at(0), &list(names));
    history
}

/// The same, with what the store held for the pool.
fn started_with(names: &[&str], stored: Option<&[Version]>, is_first_start: bool) -> History {
    let mut history = started(names);
    if is_first_start {
        history.record_first_start(at(0));
    }
    history.record_stored(at(0), Some(at(0)), &"llm".into(), stored);
    history
}

#[test]
fn during_a_release_and_for_a_lifetime_after_it_no_version_is_the_only_one() {
    let mut history = started_with(&["v1-a", "v1-b"], None, true);
    assert_eq!(history.sole(at(1), "llm"), Some(version("v1")));
    let change = |name, is_listed| Change { pool: "llm".into(), version: version(name), is_listed };
    assert_eq!(history.record_list(at(200), &list(&["v1-a", "v2-a"])), [change("v2", true)]);
    assert_eq!(history.sole(at(200), "llm"), None);
    assert_eq!(history.record_list(at(300), &list(&["v2-a", "v2-b"])), [change("v1", false)]);
    assert_eq!(history.sole(at(300), "llm"), None, "the old version's servers have just gone");
    assert_eq!(history.sole(at(300 + LIFETIME_S - 1), "llm"), None);
    assert_eq!(history.sole(at(300 + LIFETIME_S), "llm"), Some(version("v2")));
}

/// A version whose servers come and go between two lists counts as well.
#[test]
fn a_version_that_was_listed_for_a_moment_counts() {
    let mut history = started_with(&["v1-a"], None, true);
    history.record_server(at(10), &server("v2-a"));
    assert!(history.record_list(at(10), &list(&["v1-a"])).is_empty());
    assert_eq!(history.sole(at(11), "llm"), None);
    assert_eq!(history.sole(at(10 + LIFETIME_S), "llm"), Some(version("v1")));
}

#[rstest]
#[case::old_version_recorded(&["v2-a"], Some(vec!["v1", "v2"]), false, None)]
#[case::only_old_version_recorded(&["v2-a"], Some(vec!["v1"]), false, None)]
#[case::same_version_recorded(&["v2-a"], Some(vec!["v2"]), false, Some("v2"))]
#[case::no_record(&["v2-a"], None, false, None)]
#[case::no_record_at_the_first_start(&["v2-a"], None, true, Some("v2"))]
#[case::record_at_the_first_start(&["v2-a"], Some(vec!["v1"]), true, None)]
#[case::version_not_known(&["v2-a", "?-b"], Some(vec!["v2"]), false, None)]
fn a_daemon_that_has_just_started_relies_on_the_record(
    #[case] listed: &[&str],
    #[case] stored: Option<Vec<&str>>,
    #[case] is_first_start: bool,
    #[case] expected: Option<&str>,
) {
    let stored: Option<Vec<Version>> =
        stored.map(|names| names.iter().map(|name| version(name)).collect());
    let history = started_with(listed, stored.as_deref(), is_first_start);
    assert_eq!(history.sole(at(1), "llm"), expected.map(version));
}

/// Guards against a first minute in which no daemon creates the record of a pool that was empty at the
/// first start, and none that starts meanwhile knows its only version.
#[test]
fn the_past_of_a_pool_that_gets_servers_later_is_known_from_the_first_start() {
    let mut history = started_with(&[], None, true);
    history.record_list(at(10), &list(&["v1-a"]));
    assert_eq!(history.sole(at(10), "llm"), Some(version("v1")));
    assert_eq!(history.plan(at(10), "llm", None), Some(vec![version("v1")]));
    history.record_list(at(20), &[]);
    history.record_list(at(30), &list(&["v2-a"]));
    assert_eq!(history.sole(at(30), "llm"), None, "v1 was listed within the lifetime");
    history.record_gap(at(40));
    history.record_list(at(40), &list(&["v2-a"]));
    assert_eq!(history.sole(at(20 + LIFETIME_S), "llm"), None, "something may have been missed");
}

/// A version may have come and gone before a list that was read late.
#[rstest]
#[case::in_time(2, Some("v1"))]
#[case::late(3, None)]
fn a_first_list_that_comes_late_tells_nothing_of_before(
    #[case] list_at_s: u64,
    #[case] expected: Option<&str>,
) {
    let mut history = History::default();
    history.set_lifetime(Duration::from_secs(LIFETIME_S));
    history.record_gap(at(list_at_s));
    history.record_list(at(list_at_s), &list(&["v1-a"]));
    history.record_first_start(at(0));
    assert_eq!(history.sole(at(list_at_s), "llm"), expected.map(version));
}

/// A restored store lacks the servers that came after its copy, until they have registered again.
#[test]
fn shortly_after_a_restore_no_version_is_the_only_one() {
    let mut history = started_with(&["v1-a"], None, true);
    history.record_restore(at(200));
    history.record_list(at(200), &list(&["v1-a"]));
    assert_eq!(history.sole(at(202), "llm"), None);
    assert_eq!(history.plan(at(202), "llm", None), None);
    assert_eq!(history.sole(at(203), "llm"), Some(version("v1")));
    assert_eq!(history.plan(at(203), "llm", None), Some(vec![version("v1")]));
}

#[test]
fn without_a_record_the_list_is_observed_for_a_lifetime() {
    let history = started(&["v2-a"]);
    assert_eq!(history.sole(at(LIFETIME_S - 1), "llm"), None);
    assert_eq!(history.sole(at(LIFETIME_S), "llm"), Some(version("v2")));
    assert_eq!(history.sole(at(LIFETIME_S), "other"), None);
}

/// A pool whose servers state no version has no record.
#[test]
fn a_missing_record_means_that_no_version_was_stated() {
    let mut history = started_with(&["unstated-a"], None, false);
    assert_eq!(history.sole(at(1), "llm"), Some(Version::Unstated));
    assert_eq!(history.plan(at(1), "llm", None), None);
    history.record_list(at(2), &list(&["unstated-a", "v1-a"]));
    assert_eq!(history.sole(at(2), "llm"), None);
    assert_eq!(history.plan(at(2), "llm", None), Some(vec![Version::Unstated, version("v1")]));
}

#[test]
fn after_a_gap_the_record_is_needed_again() {
    let mut history = started_with(&["v1-a"], None, true);
    history.record_gap(at(500));
    history.record_list(at(500), &list(&["v1-a"]));
    assert_eq!(history.sole(at(501), "llm"), None, "another version may have come and gone");
    // The answer to a read of before the gap tells nothing about the gap.
    history.record_stored(at(501), Some(at(0)), &"llm".into(), Some(&[version("v1")]));
    assert_eq!(history.sole(at(501), "llm"), None);
    history.record_stored(at(502), Some(at(500)), &"llm".into(), Some(&[version("v1")]));
    assert_eq!(history.sole(at(502), "llm"), Some(version("v1")));
}

#[test]
fn a_server_counts_as_unknown_until_its_version_is_known() {
    let mut history = started_with(&["v1-a"], None, true);
    let mut unknown = server("v1-b");
    unknown.version = None;
    history.record_list(at(10), &[server("v1-a"), unknown]);
    assert_eq!(history.sole(at(10), "llm"), None);
    assert_eq!(history.plan(at(10), "llm", Some(&[version("v0"), version("v1")])), None);
    history.record_list(at(11), &list(&["v1-a", "v1-b"]));
    assert_eq!(history.sole(at(11), "llm"), Some(version("v1")));
}

#[test]
fn the_record_gets_a_version_at_once_and_loses_it_after_a_lifetime() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut history = started_with(&["v1-a"], None, true);
    assert_eq!(history.plan(at(1), "llm", None), Some(vec![v1.clone()]));
    assert_eq!(history.plan(at(1), "llm", Some(std::slice::from_ref(&v1))), None);
    history.record_list(at(200), &list(&["v2-a"]));
    let both = [v1.clone(), v2.clone()];
    assert_eq!(history.plan(at(200), "llm", Some(&[v1])), Some(both.to_vec()));
    assert_eq!(history.plan(at(200 + LIFETIME_S - 1), "llm", Some(&both)), None);
    assert_eq!(history.plan(at(200 + LIFETIME_S), "llm", Some(&both)), Some(vec![v2]));
}

/// Whoever reads a record takes it for complete, so a daemon that does not know the past must
/// neither create one, nor take a version out.
#[test]
fn a_daemon_that_does_not_know_the_past_only_adds_versions() {
    let history = started(&["v2-a"]);
    assert_eq!(history.plan(at(1), "llm", None), None);
    let both = [version("v1"), version("v2")];
    assert_eq!(history.plan(at(1), "llm", Some(&[version("v1")])), Some(both.to_vec()));
    assert_eq!(history.plan(at(LIFETIME_S - 1), "llm", Some(&both)), None);
    assert_eq!(history.plan(at(LIFETIME_S), "llm", Some(&both)), Some(vec![version("v2")]));
}

/// Routes of other requests do not count.
#[rstest]
#[case::short(14_000, true, 60)]
#[case::long(40_000, true, 80)]
#[case::no_stream(40_000, false, 60)]
fn the_lifetime_is_that_of_two_attempts(
    #[case] timeout_ms: u64,
    #[case] is_stream: bool,
    #[case] expected_s: u64,
) {
    let text = format!(
        "deployment = \"platform\"\n\n[[pool]]\nname = \"app\"\nkind = \"plain\"\n\n\
         [[route]]\nname = \"r\"\nhost = \"caller.example\"\nprefix = \"/p/\"\n\
         timeout_ms = {timeout_ms}\ntarget_ms = 100\nis_stream = {is_stream}\n\n\
         [[route.pools]]\npool = \"app\"\nweight = 1\n"
    );
    let deployment = Deployment::parse(&text).expect("a declaration");
    assert_eq!(deployment.routes[0].is_stream, is_stream);
    assert_eq!(history::lifetime(&deployment), Duration::from_secs(expected_s));
}

/// One step of a random order: servers that are listed from then on, or a restart of the daemon.
#[derive(Clone, Debug)]
enum Step {
    List(Vec<u8>),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        4 => prop::collection::vec(0..4_u8, 0..3).prop_map(Step::List),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec((0..LIFETIME_S * 2, step), 1..40)
}

proptest! {
    /// Whatever the order of releases and restarts, and though only the record outlives a restart,
    /// no version is called the only one while another was listed within the lifetime.
    #[test]
    fn the_only_version_is_the_only_one_of_the_lifetime(steps in steps()) {
        let (mut now_s, mut stored): (u64, Option<Vec<Version>>) = (0, None);
        let mut history = started_with(&[], None, true);
        // Each version with when it was last listed.
        let mut truth: Vec<(u8, u64)> = Vec::new();
        let mut listed: Vec<u8> = Vec::new();
        for (pause_s, step) in steps {
            now_s += pause_s;
            listed.iter().for_each(|version| truth.push((*version, now_s)));
            let servers = |versions: &[u8]| -> Vec<Listed> {
                versions.iter().map(|version| server(&format!("v{version}-a"))).collect()
            };
            match step {
                Step::List(versions) => {
                    listed = versions;
                    listed.iter().for_each(|version| truth.push((*version, now_s)));
                    history.record_list(at(now_s), &servers(&listed));
                }
                Step::Restart => {
                    history = History::default();
                    history.set_lifetime(Duration::from_secs(LIFETIME_S));
                    history.record_gap(at(now_s));
                    history.record_list(at(now_s), &servers(&listed));
                    let (since, pool) = (Some(at(now_s)), "llm".into());
                    history.record_stored(at(now_s), since, &pool, stored.as_deref());
                }
            }
            if let Some(versions) = history.plan(at(now_s), "llm", stored.as_deref()) {
                stored = Some(versions);
            }
            prop_assert_eq!(history.plan(at(now_s), "llm", stored.as_deref()), None);
            let recent = truth.iter().filter(|(_, last_s)| now_s - last_s < LIFETIME_S);
            if let Some(sole) = history.sole(at(now_s), "llm") {
                for (number, last_s) in recent {
                    let other = version(&format!("v{number}"));
                    prop_assert_eq!(&other, &sole, "listed at {} s, now {} s", last_s, now_s);
                }
            }
        }
    }
}
