//! Streams that only some decode servers may go on with, while others wait behind them.
//!
//! Guards against a queue that stands still because its first request waits for a server of one
//! software version, and against streams that have begun and wait behind new ones.

use {
    ffw_decide::shard::{Effect, Settings, Shard},
    ffw_protocol::{
        admission::{Ask, Grant, Verdict},
        time::Moment,
    },
    ffw_support::build,
    rstest::rstest,
    std::time::Duration,
};

const NOW: Moment = Moment::from_millis(1_000);

/// A pool of two decode servers with one slot each, of which `decode-0` is taken.
fn pool_with_a_full_server() -> Shard {
    let settings =
        Settings { slots: 1, memory_grows: true, decode_reads: true, ..build::settings() };
    let mut shard = Shard::new(NOW, "owner".into(), 1, settings);
    shard.skip_recovery(NOW);
    shard.set_members(&build::members(2, 2));
    let ask = Ask { avoid: vec!["decode-1".into()], ..build::ask(1, "a", 1, 100, 1_000) };
    shard.enqueue(NOW, ask);
    let granted = grants(shard.step(NOW));
    assert_eq!(granted.len(), 1, "the server is not taken");
    shard
}

fn grants(effects: Vec<Effect>) -> Vec<Grant> {
    let grant = |effect| match effect {
        Effect::Answer(_, Verdict::Grant(grant)) => Some(grant),
        _ => None,
    };
    effects.into_iter().filter_map(grant).collect()
}

#[rstest]
#[case::that_waits_for_a_full_server(&["decode-1"])]
#[case::that_no_server_may_go_on_with(&["decode-0", "decode-1"])]
fn a_stream_does_not_stop_the_queue(#[case] avoid: &[&str]) {
    let mut shard = pool_with_a_full_server();
    let avoid = avoid.iter().map(|name| (*name).into()).collect();
    shard.enqueue(NOW, Ask { avoid, ..build::ask(2, "a", 1, 100, 10) });
    let later = NOW + Duration::from_millis(1);
    shard.enqueue(later, build::ask(3, "a", 1, 100, 10));
    let granted = grants(shard.step(later));
    assert_eq!(granted.len(), 1, "the request behind it is not granted");
    assert_eq!(&*granted[0].decode.name, "decode-1");
}
