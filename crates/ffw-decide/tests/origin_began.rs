//! Streams that a daemon copies to the store.
//!
//! Guards against a copy that lacks a stream that may still be taken up, and against writes that
//! bring nothing new.

use {
    ffw_decide::origin::began::{self, Began, STREAMS_MAX},
    ffw_protocol::{
        origin::{Key, Record},
        software::Version,
        time::Moment,
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const LIFETIME: Duration = Duration::from_secs(100);

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn record(key: u64, version: &str) -> Record {
    Record { key: Key(key), software: Version::Stated(version.into()) }
}

fn keys(began: &mut Began, now: Moment, pool: &str) -> Vec<u64> {
    let records = began.records(now, |kept| kept == pool);
    records.iter().map(|record| record.key.0).collect()
}

#[test]
fn streams_that_run_or_broke_off_lately_are_kept() {
    let (llm, other): (Arc<str>, Arc<str>) = ("llm".into(), "other".into());
    let mut began = Began::new(LIFETIME);
    began.record(at(0), &llm, &record(7, "v1"));
    began.record(at(50), &llm, &record(3, "v2"));
    began.record(at(50), &llm, &record(5, "v2"));
    began.record(at(50), &other, &record(4, "v1"));
    began.remove(Key(5));
    assert_eq!(keys(&mut began, at(99), "llm"), [3, 7]);
    assert_eq!(keys(&mut began, at(99), "other"), [4]);
    assert_eq!(keys(&mut began, at(100), "llm"), [3]);
    began.record(at(120), &llm, &record(3, "v2"));
    assert_eq!(keys(&mut began, at(160), "llm"), [3], "taken up again");
    assert!(keys(&mut began, at(220), "llm").is_empty() && began.is_empty());
}

#[test]
fn the_oldest_streams_yield() {
    let llm: Arc<str> = "llm".into();
    let mut began = Began::new(LIFETIME);
    let count = STREAMS_MAX as u64 + 10;
    // Later streams have smaller keys.
    (0..count).for_each(|key| {
        began.record(Moment::from_millis(key), &llm, &record(count - key, "v1"));
    });
    let kept = keys(&mut began, at(10), "llm");
    assert_eq!((kept.len(), kept.last()), (STREAMS_MAX, Some(&(count - 10))));
}

#[rstest]
#[case::nothing(&[], &[], false)]
#[case::a_new_stream(&[(1, "v1")], &[(1, "v1"), (2, "v1")], true)]
#[case::a_stream_less(&[(1, "v1"), (2, "v1")], &[(2, "v1")], false)]
#[case::another_version(&[(1, "v1")], &[(1, "v2")], true)]
fn only_what_the_copy_lacks_is_written(
    #[case] copy: &[(u64, &str)],
    #[case] records: &[(u64, &str)],
    #[case] expected: bool,
) {
    let of = |list: &[(u64, &str)]| -> Vec<Record> {
        list.iter().map(|(key, version)| record(*key, version)).collect()
    };
    assert_eq!(began::lacks(&of(copy), &of(records)), expected);
}

/// All daemons together must leave the store's writes to others, however many they are.
#[rstest]
#[case::few(8, 400.0, 250)]
#[case::many(400, 1_200.0, 1_333)]
#[case::no_rate(3, 0.0, 3_000)]
fn all_daemons_together_use_a_share_of_the_writes(
    #[case] daemons: usize,
    #[case] writes_per_s: f64,
    #[case] expected_ms: u128,
) {
    assert_eq!(began::interval(daemons, writes_per_s).as_millis(), expected_ms);
}
