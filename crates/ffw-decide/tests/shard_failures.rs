//! Servers that did not do their part: each is passed over for a time that fits what it did, and no
//! prompt is read to find out whether it is back.

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
    next: u64,
}

impl Pool {
    fn new(prefills: usize, decodes: usize) -> Pool {
        let now = Moment::from_millis(1_000);
        let settings = Settings { memory_grows: true, decode_reads: true, ..build::settings() };
        let mut shard = Shard::new(now, "owner".into(), 1, settings);
        shard.skip_recovery(now);
        shard.set_members(&build::members(prefills, decodes));
        Pool { shard, now, next: 1 }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Asks for a place and gives the grant.
    fn grant(&mut self) -> Grant {
        let ask = build::ask(self.next, "a", 1, 100, 10);
        self.next += 1;
        self.shard.enqueue(self.now, ask);
        let effects = self.shard.step(self.now);
        let grant = effects.into_iter().find_map(|effect| match effect {
            Effect::Answer(_, Verdict::Grant(grant)) => Some(grant),
            _ => None,
        });
        grant.expect("a grant")
    }

    /// Gives the place of the last grant back.
    fn end(&mut self, failed: Option<Failed>) {
        let attempt = build::attempt("entry-1", self.next - 1);
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
        self.end(Some(Failed { server: server.into(), how }));
    }

    /// Tells that the place of the last grant makes tokens.
    fn decoding(&mut self, grant: &Grant) {
        let ask = build::ask(self.next - 1, "a", 1, 100, 10);
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
    pool.end(None);
    pool.shard.record_probe(pool.now, &broken, Probe::Sound);
    assert!(pool.shard.probes_due(pool.now).is_empty());
    let used: Vec<_> = (0..2).map(|_| pool.grant().decode.name).collect();
    assert!(used.contains(&broken), "the server is not used after a good probe: {used:?}");
}

#[test]
fn a_server_whose_address_another_one_has_is_passed_over_without_probes() {
    let mut pool = Pool::new(1, 2);
    let gone = pool.grant().decode.name;
    pool.fail(&gone, Failing::Replaced);
    pool.advance(5_000);
    assert!(pool.shard.probes_due(pool.now).is_empty());
    assert_ne!(pool.grant().decode.name, gone);
}

/// The owner that ordered a change of its role may have handed the shard over since.
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
        let due: Vec<_> = pool.shard.probes_due(pool.now).into_iter().map(|one| one.name).collect();
        assert_eq!(due, ["prefill-0".into()]);
        pool.shard.record_probe(pool.now, "prefill-0", Probe::Busy);
        assert!(pool.shard.probes_due(pool.now).is_empty(), "probed again at once");
        assert_eq!(&*pool.grant().prefill.name, "prefill-1");
        pool.end(None);
        pool.advance(600);
    }
    pool.shard.record_probe(pool.now, "prefill-0", Probe::Sound);
    assert_eq!(&*pool.grant().prefill.name, "prefill-0", "not used after its order");
}

/// Every third prompt that one server reads is lost, of those that come twice as slowly as a single
/// server could read them. Gives the share of all prompts that is lost.
fn share_lost_by_a_grey_server() -> f64 {
    let mut pool = Pool::new(2, 4);
    let (mut lost, mut at_grey) = (0, 0);
    for _ in 0..300 {
        let grant = pool.grant();
        let is_grey = &*grant.prefill.name == "prefill-0";
        at_grey += u32::from(is_grey);
        if is_grey && at_grey % 3 == 0 {
            lost += 1;
            pool.fail("prefill-0", Failing::Broken);
        } else {
            pool.decoding(&grant);
            pool.end(None);
        }
        pool.advance(350);
        for due in pool.shard.probes_due(pool.now) {
            pool.shard.record_probe(pool.now, &due.name, Probe::Sound);
        }
    }
    f64::from(lost) / 300.0
}

#[test]
fn a_server_that_fails_a_part_of_its_requests_gets_few() {
    let lost = share_lost_by_a_grey_server();
    assert!(lost <= 0.05, "{lost} of the prompts were lost");
}

#[test]
fn a_server_that_fails_a_part_of_its_requests_is_used_when_the_others_are_busy() {
    let mut pool = Pool::new(2, 4);
    for _ in 0..6 {
        pool.grant();
        pool.fail("prefill-0", Failing::Broken);
        pool.advance(10_000);
        pool.shard.record_probe(pool.now, "prefill-0", Probe::Sound);
    }
    // As many prompts as keep a server busy beyond the time by which a grant may precede its start.
    let used: Vec<_> = (0..8).map(|_| pool.grant().prefill.name).collect();
    assert_eq!(&*used[0], "prefill-1");
    assert!(used.contains(&"prefill-0".into()), "requests wait beside an idle server: {used:?}");
}

#[test]
fn a_prefill_server_whose_results_cannot_be_had_is_passed_over() {
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
fn results_that_can_be_had_keep_a_prefill_server_in_use() {
    let mut pool = Pool::new(1, 4);
    for _ in 0..4 {
        let grant = pool.grant();
        pool.decoding(&grant);
        pool.end(None);
        let grant = pool.grant();
        pool.fail(&grant.decode.name, Failing::Refused);
        pool.advance(500);
    }
    assert!(pool.shard.probes_due(pool.now + Duration::from_secs(10)).is_empty());
}

#[test]
fn without_prefill_servers_the_decode_server_reads_the_prompt() {
    let mut pool = Pool::new(0, 1);
    let grant = pool.grant();
    assert_eq!(grant.prefill.name, grant.decode.name);
    pool.end(None);
    pool.shard.set_members(&Members { prefills: Vec::new(), ..build::members(0, 1) });
    assert_eq!(&*pool.grant().decode.name, "decode-0");
}
