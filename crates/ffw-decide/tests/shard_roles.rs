//! The split of a pool into prefill servers and decode servers.

use {
    ffw_decide::shard::{
        Settings, Shard,
        roles::{Shift, Side, Split},
    },
    ffw_protocol::time::Moment,
    ffw_support::build,
    rstest::rstest,
    std::time::Duration,
};

fn split(prefills: usize, decodes: usize) -> Split {
    Split { prefills, decodes, prefill_s: 0.1, decode_s: 0.3 }
}

#[rstest]
#[case::too_many_prefills(4, 7, Some((Side::Decode, 1)))]
#[case::fits(3, 8, None)]
#[case::too_few_prefills(1, 10, Some((Side::Prefill, 2)))]
#[case::no_prefill_server(0, 11, Some((Side::Prefill, 3)))]
#[case::no_decode_server(11, 0, Some((Side::Decode, 7)))]
#[case::one_of_each(1, 1, None)]
#[case::a_single_server(0, 1, None)]
fn servers_change_only_for_a_clear_gain(
    #[case] prefills: usize,
    #[case] decodes: usize,
    #[case] expected: Option<(Side, usize)>,
) {
    let expected = expected.map(|(to, count)| Shift { to, count });
    assert_eq!(split(prefills, decodes).shift(), expected);
}

/// Guards against a large pool that never changes: one server of it gains only a few hundredths,
/// too little to change alone.
#[rstest]
#[case::of_38(13, 25)]
#[case::of_200(70, 130)]
#[case::of_600(210, 390)]
fn a_large_pool_changes_as_far_as_a_small_one(#[case] prefills: usize, #[case] decodes: usize) {
    let before = Split { prefills, decodes, prefill_s: 0.094, decode_s: 0.397 };
    let Shift { to, count } = before.shift().expect("a split that does not fit is changed");
    assert_eq!(to, Side::Decode);
    let after = Split { prefills: prefills - count, decodes: decodes + count, ..before };
    assert!(after.rate() > before.rate() * 1.1, "{} of {}", after.rate(), before.rate());
    let meanwhile = Split { prefills: prefills - count, ..before };
    assert!(meanwhile.rate() >= before.rate(), "the rate falls during the change");
    assert_eq!(after.shift(), None, "the split is changed again");
}

/// A shard of `prefills` and `decodes` servers with `requests` requests in its queue, each with
/// 5,000 prompt tokens and at most 8,000 output tokens.
fn shard(prefills: usize, decodes: usize, requests: u64) -> (Shard, Moment) {
    let now = Moment::from_millis(1_000);
    let settings = Settings {
        slots: 16,
        pieces: 72_680 / 16,
        piece_tokens: 16,
        memory_grows: true,
        decode_reads: true,
        prefill_rate: 50_000,
        link_rate: 20_000_000,
        token_time: Duration::from_millis(1),
        ..build::settings()
    };
    let mut shard = Shard::new(now, "owner".into(), 1, settings);
    shard.skip_recovery(now);
    shard.set_members(&build::members(prefills, decodes));
    (0..requests).for_each(|n| shard.enqueue(now, build::ask(n, "a", 1, 5_000, 8_000)));
    (shard, now)
}

#[test]
fn a_gain_must_last_before_a_server_changes() {
    let (mut shard, now) = shard(6, 4, 40);
    assert_eq!(shard.role_changes(now), []);
    assert_eq!(shard.role_changes(now + Duration::from_millis(1_900)), []);
    let changes = shard.role_changes(now + Duration::from_millis(2_100));
    assert!(!changes.is_empty(), "no change");
    for change in changes {
        assert_eq!(change.to, Side::Decode);
        assert!(change.server.name.starts_with("prefill"));
    }
}

#[test]
fn a_further_change_waits_for_the_previous_one() {
    let (mut shard, now) = shard(8, 2, 40);
    shard.role_changes(now);
    let now = now + Duration::from_millis(2_100);
    let changes = shard.role_changes(now);
    let mut names: Vec<_> = changes.iter().map(|change| change.server.name.clone()).collect();
    names.dedup();
    assert_eq!(names.len(), 5, "not five different servers: {names:?}");
    names.iter().for_each(|name| shard.record_role_change(now, name));
    assert_eq!(shard.role_changes(now + Duration::from_secs(5)), []);
    let later = shard.role_changes(now + Duration::from_secs(9));
    let is_changing = |name: &std::sync::Arc<str>| names.contains(name);
    assert!(
        !later.iter().any(|change| is_changing(&change.server.name)),
        "chosen again: {later:?}"
    );
}

#[test]
fn a_side_without_servers_is_filled_soon() {
    let (mut shard, now) = shard(0, 3, 40);
    shard.role_changes(now);
    let changes = shard.role_changes(now + Duration::from_millis(400));
    assert_eq!(changes.iter().map(|change| change.to).collect::<Vec<_>>(), [Side::Prefill]);
}

#[test]
fn too_few_requests_change_nothing() {
    let (mut shard, now) = shard(8, 2, 5);
    shard.role_changes(now);
    assert_eq!(shard.role_changes(now + Duration::from_secs(5)), []);
}
