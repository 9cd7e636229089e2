//! Backoff of failed servers: each kind of failure has its own duration, and a probe, not a
//! caller's prompt, finds out whether a server works again.

use {
    ffw_decide::shard::{Effect, Members, Settings, Shard, server::Probe},
    ffw_protocol::{
        admission::{Failed, Failing, Grant, Phase, Progress, Release, Renewal, Verdict},
        time::Moment,
    },
    ffw_support::build,
    std::time::Duration,
};

struct Pool {
    shard: Shard,
    now: Moment,
    next_sequence: u64,
}

impl Pool {
    fn new(prefills: usize, decodes: usize) -> Pool {
        let now = Moment::from_millis(1_000);
        let settings = Settings { memory_grows: true, decode_reads: true, ..build::settings() };
        let mut shard = Shard::new(now, "owner".into(), 1, settings);
        shard.skip_recovery(now);
        shard.set_members(&build::members(prefills, decodes));
        Pool { shard, now, next_sequence: 1 }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Enqueues a request and returns its grant.
    fn grant(&mut self) -> Grant {
        let ask = build::ask(self.next_sequence, "a", 1, 100, 10);
        self.next_sequence += 1;
        self.shard.enqueue(self.now, ask);
        let effects = self.shard.step(self.now);
        let grant = effects.into_iter().find_map(|effect| match effect {
            Effect::Answer(_, Verdict::Grant(grant)) => Some(grant),
            _ => None,
        });
        grant.expect("a grant")
    }

    /// Releases the reservation of the last grant.
    fn release(&mut self, failed: Option<Failed>) {
        let attempt = build::attempt("entry-1", self.next_sequence - 1);
        let release = Release { attempt, emitted: 0, confirmed: true, failed };
        let renewal = Renewal {
            entry: "entry-1".into(),
            incarnation: 1,
            releases: vec![release],
            ..Renewal::default()
        };
        self.shard.renew(self.now, &renewal);
    }

    fn fail(&mut self, server: &str, how: Failing) {
        self.release(Some(Failed { server: server.into(), how }));
    }

    /// Reports that the attempt of the last grant generates tokens.
    fn report_decoding(&mut self, grant: &Grant) {
        let ask = build::ask(self.next_sequence - 1, "a", 1, 100, 10);
        let progress = Progress {
            ask,
            prefill: grant.prefill.name.clone(),
            decode: grant.decode.name.clone(),
            phase: Phase::Decode,
            emitted: 1,
        };
        let renewal = Renewal {
            entry: "entry-1".into(),
            incarnation: 1,
            progress: vec![progress],
            ..Renewal::default()
        };
        self.shard.renew(self.now, &renewal);
    }
}

#[test]
fn a_broken_server_is_used_again_only_after_a_probe() {
    let mut pool = Pool::new(1, 2);
    let first = pool.grant();
    let broken = first.decode.name.clone();
    pool.fail(&broken, Failing::Broken);
    pool.advance(60_000);
    assert_eq!(pool.shard.probes_due(pool.now).len(), 1);
    assert_ne!(pool.grant().decode.name, broken);
    pool.release(None);
    pool.shard.record_probe(pool.now, &broken, Probe::Sound);
    assert!(pool.shard.probes_due(pool.now).is_empty());
    let used: Vec<_> = (0..2).map(|_| pool.grant().decode.name).collect();
    assert!(used.contains(&broken), "the server is not used after a good probe: {used:?}");
}

#[test]
fn a_replaced_server_is_not_used_and_not_probed() {
    let mut pool = Pool::new(1, 2);
    let replaced = pool.grant().decode.name;
    pool.fail(&replaced, Failing::Replaced);
    pool.advance(5_000);
    assert!(pool.shard.probes_due(pool.now).is_empty());
    assert_ne!(pool.grant().decode.name, replaced);
}

/// A server that changes its role refuses requests. The current owner has no record of the change
/// if it was ordered by the previous owner of the shard.
#[test]
fn a_server_that_refuses_again_and_again_is_passed_over_while_it_is_busy() {
    let mut pool = Pool::new(2, 1);
    for _ in 0..3 {
        let grant = pool.grant();
        assert_eq!(&*grant.prefill.name, "prefill-0");
        pool.fail("prefill-0", Failing::Refused);
        pool.advance(200);
    }
    for _ in 0..10 {
        let due: Vec<_> =
            pool.shard.probes_due(pool.now).into_iter().map(|server| server.name).collect();
        assert_eq!(due, ["prefill-0".into()]);
        pool.shard.record_probe(pool.now, "prefill-0", Probe::Busy);
        assert!(
            pool.shard.probes_due(pool.now).is_empty(),
            "a busy server is probed again at once"
        );
        assert_eq!(&*pool.grant().prefill.name, "prefill-1");
        pool.release(None);
        pool.advance(600);
    }
    pool.shard.record_probe(pool.now, "prefill-0", Probe::Sound);
    assert_eq!(
        &*pool.grant().prefill.name,
        "prefill-0",
        "the server is not used after its order has ended"
    );
}

/// Share of 300 prompts that is lost if one of two prefill servers fails every third prompt. A
/// prompt arrives every 350 ms, so that a single server could process all of them.
fn share_lost_by_partial_failures() -> f64 {
    let mut pool = Pool::new(2, 4);
    let (mut lost, mut at_failing) = (0, 0);
    for _ in 0..300 {
        let grant = pool.grant();
        let is_at_failing = &*grant.prefill.name == "prefill-0";
        at_failing += u32::from(is_at_failing);
        if is_at_failing && at_failing % 3 == 0 {
            lost += 1;
            pool.fail("prefill-0", Failing::Broken);
        } else {
            pool.report_decoding(&grant);
            pool.release(None);
        }
        pool.advance(350);
        for due in pool.shard.probes_due(pool.now) {
            pool.shard.record_probe(pool.now, &due.name, Probe::Sound);
        }
    }
    f64::from(lost) / 300.0
}

#[test]
fn a_server_that_fails_some_requests_gets_few() {
    let lost = share_lost_by_partial_failures();
    assert!(lost <= 0.05, "{lost} of the prompts were lost");
}

#[test]
fn a_server_that_fails_some_requests_is_used_when_the_others_are_busy() {
    let mut pool = Pool::new(2, 4);
    for _ in 0..6 {
        pool.grant();
        pool.fail("prefill-0", Failing::Broken);
        pool.advance(10_000);
        pool.shard.record_probe(pool.now, "prefill-0", Probe::Sound);
    }
    // Enough prompts to keep a server busy for longer than a grant may precede the start of its
    // prefill.
    let used: Vec<_> = (0..8).map(|_| pool.grant().prefill.name).collect();
    assert_eq!(&*used[0], "prefill-1");
    assert!(used.contains(&"prefill-0".into()), "requests wait while a server is idle: {used:?}");
}

#[test]
fn a_prefill_server_with_unusable_results_is_not_used() {
    let mut pool = Pool::new(1, 4);
    for _ in 0..2 {
        let grant = pool.grant();
        assert_eq!(&*grant.prefill.name, "prefill-0");
        let decode = grant.decode.name.clone();
        pool.fail(&decode, Failing::Refused);
    }
    assert!(pool.shard.probes_due(pool.now + Duration::from_secs(1)).len() == 1);
}

#[test]
fn usable_results_keep_a_prefill_server_in_use() {
    let mut pool = Pool::new(1, 4);
    for _ in 0..4 {
        let grant = pool.grant();
        pool.report_decoding(&grant);
        pool.release(None);
        let grant = pool.grant();
        pool.fail(&grant.decode.name, Failing::Refused);
        pool.advance(500);
    }
    assert!(pool.shard.probes_due(pool.now + Duration::from_secs(10)).is_empty());
}

#[test]
fn without_prefill_servers_the_decode_server_prefills_the_prompt() {
    let mut pool = Pool::new(0, 1);
    let grant = pool.grant();
    assert_eq!(grant.prefill.name, grant.decode.name);
    pool.release(None);
    pool.shard.set_members(&Members { prefills: Vec::new(), ..build::members(0, 1) });
    assert_eq!(&*pool.grant().decode.name, "decode-0");
}
