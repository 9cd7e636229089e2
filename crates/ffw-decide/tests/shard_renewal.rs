//! Renewals: what an entry reports of its reservations, and what the owner answers.

use {
    ffw_decide::shard::{Effect, Settings, Shard, renewal::Renewed},
    ffw_protocol::{
        admission::{Ask, AttemptKey, Grant, Phase, Progress, Release, Renewal, Update, Verdict},
        time::Moment,
    },
    ffw_support::build,
    rstest::rstest,
    std::time::Duration,
};

fn settings() -> Settings {
    Settings { memory_grows: true, decode_reads: true, ..build::settings() }
}

fn ask(sequence: u64) -> Ask {
    build::ask(sequence, "a", 1, 100, 100)
}

fn renewal() -> Renewal {
    Renewal { entry: "entry-1".into(), incarnation: 1, ..Renewal::default() }
}

fn update(sequence: u64, phase: Phase, emitted: u32) -> Update {
    Update { attempt: AttemptKey { sequence, number: 1 }, phase, emitted }
}

fn progress(sequence: u64, grant: &Grant) -> Progress {
    Progress {
        ask: ask(sequence),
        prefill: grant.prefill.name.clone(),
        decode: grant.decode.name.clone(),
        phase: Phase::Decode,
        emitted: 10,
    }
}

/// A shard that has granted request 1.
fn granted() -> (Shard, Moment, Grant) {
    let now = Moment::from_millis(10_000);
    let mut shard = Shard::new(now, "owner".into(), 1, settings());
    shard.skip_recovery(now);
    shard.set_members(&build::members(1, 2));
    shard.enqueue(now, ask(1));
    let grant = shard.step(now).into_iter().find_map(|effect| match effect {
        Effect::Answer(_, Verdict::Grant(grant)) => Some(grant),
        _ => None,
    });
    (shard, now, grant.expect("a grant"))
}

/// An owner that restarted under its name knows nothing of what it granted before. Guards against
/// reservations that no owner counts, so that their servers get too much work.
#[test]
fn an_update_of_an_unknown_attempt_is_asked_for_in_full() {
    let (_, now, grant) = granted();
    let mut restarted = Shard::new(now, "owner".into(), 2, settings());
    restarted.set_members(&build::members(1, 2));
    let updates = vec![update(1, Phase::Decode, 10)];
    let renewed = restarted.renew(now, &Renewal { full: true, updates, ..renewal() });
    assert_eq!(renewed.unknown, [AttemptKey { sequence: 1, number: 1 }]);
    assert_eq!(restarted.reservation_count(), 0);
    let progress = vec![progress(1, &grant)];
    let renewed = restarted.renew(now, &Renewal { full: true, progress, ..renewal() });
    assert_eq!(renewed.unknown, []);
    assert_eq!(restarted.reservation_count(), 1);
}

/// A full renewal lists an attempt either way. Guards against a reservation that is cancelled
/// although its entry has it.
#[test]
fn an_update_keeps_a_reservation_as_its_full_report_does() {
    let (mut shard, mut now, _) = granted();
    for emitted in 1..20 {
        now = now + Duration::from_secs(1);
        let updates = vec![update(1, Phase::Decode, emitted)];
        shard.renew(now, &Renewal { full: true, updates, ..renewal() });
        assert_eq!(shard.step(now), []);
    }
    assert_eq!(shard.reservation_count(), 1);
    for _ in 0..3 {
        now = now + Duration::from_secs(1);
        shard.renew(now, &Renewal { full: true, ..renewal() });
    }
    assert!(matches!(shard.step(now)[..], [Effect::Cancel(..)]), "an abandoned attempt is kept");
}

/// The number of an attempt belongs to one process of one entry.
#[rstest]
#[case::another_entry("entry-2", 1)]
#[case::an_earlier_process("entry-1", 0)]
fn an_update_of_another_process_changes_nothing(#[case] entry: &str, #[case] incarnation: u64) {
    let (mut shard, now, _) = granted();
    let updates = vec![update(1, Phase::Decode, 10)];
    let renewed =
        shard.renew(now, &Renewal { entry: entry.into(), incarnation, updates, ..renewal() });
    assert_eq!(renewed.unknown, [AttemptKey { sequence: 1, number: 1 }]);
    assert_eq!(shard.reservation_count(), 1);
}

/// Most renewals report nothing but progress; the owner must not search for grants after each.
#[test]
fn only_a_further_phase_or_a_release_may_make_a_grant_possible() {
    let (mut shard, now, _) = granted();
    let mut frees = |renewal: Renewal| -> bool {
        let Renewed { frees_resources, .. } = shard.renew(now, &renewal);
        frees_resources
    };
    let report = |phase, emitted| Renewal { updates: vec![update(1, phase, emitted)], ..renewal() };
    assert!(!frees(report(Phase::Prefill, 0)));
    assert!(frees(report(Phase::Transfer, 0)));
    assert!(frees(report(Phase::Decode, 1)));
    assert!(!frees(report(Phase::Decode, 50)));
    let attempt = build::attempt("entry-1", 1);
    let releases = vec![Release { attempt, emitted: 60, confirmed: true, failed: None }];
    assert!(frees(Renewal { releases, ..renewal() }));
}
