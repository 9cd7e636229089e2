//! The split of a pool between reading prompts and making tokens.

use {
    ffw_decide::shard::{
        Settings, Shard,
        roles::{Side, Split},
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
#[case::too_many_read(4, 7, Some(Side::Decode))]
#[case::fits(3, 8, None)]
#[case::too_few_read(1, 10, Some(Side::Prefill))]
#[case::nobody_reads(0, 11, Some(Side::Prefill))]
#[case::nobody_makes_tokens(11, 0, Some(Side::Decode))]
#[case::one_of_each(1, 1, None)]
#[case::a_single_server(0, 1, None)]
fn a_server_changes_only_for_a_clear_gain(
    #[case] prefills: usize,
    #[case] decodes: usize,
    #[case] expected: Option<Side>,
) {
    assert_eq!(split(prefills, decodes).change(), expected);
}

/// A shard of engines that has seen requests of a long prompt and a short answer.
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
    shard.settle(now);
    shard.set_members(&build::members(prefills, decodes));
    (0..requests).for_each(|n| shard.ask(now, build::ask(n, "a", 1, 5_000, 8_000)));
    (shard, now)
}

#[test]
fn a_gain_must_last_before_a_server_changes() {
    let (mut shard, now) = shard(6, 4, 40);
    assert_eq!(shard.role_change(now), None);
    assert_eq!(shard.role_change(now + Duration::from_millis(1_900)), None);
    let change = shard.role_change(now + Duration::from_millis(2_100)).expect("a change");
    assert_eq!(change.to, Side::Decode);
    assert!(change.server.name.starts_with("prefill"));
}

#[test]
fn one_server_changes_at_a_time() {
    let (mut shard, now) = shard(8, 2, 40);
    shard.role_change(now);
    let now = now + Duration::from_millis(2_100);
    let change = shard.role_change(now).expect("a change");
    shard.note_role_change(now, &change.server.name);
    assert_eq!(shard.role_change(now + Duration::from_secs(5)), None);
    let next = shard.role_change(now + Duration::from_secs(9)).expect("a further change");
    assert_ne!(next.server, change.server, "a server that changes was chosen again");
}

#[test]
fn a_side_without_servers_is_filled_soon() {
    let (mut shard, now) = shard(0, 3, 40);
    shard.role_change(now);
    let change = shard.role_change(now + Duration::from_millis(400)).expect("a change");
    assert_eq!(change.to, Side::Prefill);
}

#[test]
fn too_few_requests_change_nothing() {
    let (mut shard, now) = shard(8, 2, 5);
    shard.role_change(now);
    assert_eq!(shard.role_change(now + Duration::from_secs(5)), None);
}
