//! Stateful fuzzing of a shard against a simple oracle: any history of asks, progress, ends, leaving
//! servers, vanishing entries and lagging reports.

use {
    ffw_decide::shard::{Effect, Member, Members, Shard},
    ffw_protocol::{
        admission::{Ask, Attempt, Grant, Phase, Progress, Reason, Release, Renewal, Verdict},
        time::Moment,
    },
    ffw_support::{build, seed},
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
const WORKSPACES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Transition {
    Ask { entry: usize, workspace: usize, rank: u8, tokens_in: u32, patience_ms: u64 },
    Withdraw(usize),
    Advance(usize, u32),
    Release(usize, bool),
    Pass(u64),
    Leave(usize, bool),
    Vanish(usize),
    EntryGone(usize),
    Report(usize, u32),
}

/// The oracle keeps only the number of asks; everything else is checked on what the shard does.
#[derive(Clone, Debug, Default)]
struct Oracle {
    asked: u64,
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle::default()).boxed()
    }

    fn transitions(_: &Oracle) -> BoxedStrategy<Transition> {
        let ask = (0..2usize, 0..3usize, 0..2u8, 1..6_000u32, 50..5_000u64);
        prop_oneof![
            6 => ask.prop_map(|(entry, workspace, rank, tokens_in, patience_ms)| {
                Transition::Ask { entry, workspace, rank, tokens_in, patience_ms }
            }),
            2 => any::<usize>().prop_map(Transition::Withdraw),
            4 => (any::<usize>(), 0..40u32).prop_map(|(at, more)| Transition::Advance(at, more)),
            4 => (any::<usize>(), any::<bool>()).prop_map(|(at, ok)| Transition::Release(at, ok)),
            6 => (1..400u64).prop_map(Transition::Pass),
            1 => (0..4usize, any::<bool>()).prop_map(|(at, on)| Transition::Leave(at, on)),
            1 => (0..4usize).prop_map(Transition::Vanish),
            1 => (0..2usize).prop_map(Transition::EntryGone),
            1 => (0..2usize, 0..6u32).prop_map(|(at, n)| Transition::Report(at, n)),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, transition: &Transition) -> Oracle {
        if matches!(transition, Transition::Ask { .. }) {
            state.asked += 1;
        }
        state
    }
}

#[derive(Clone, Debug)]
struct Held {
    ask: Ask,
    grant: Grant,
    phase: Phase,
    emitted: u32,
}

struct Sut {
    shard: Shard,
    now: Moment,
    next: u64,
    members: Members,
    waiting: BTreeMap<Attempt, (Ask, Moment)>,
    held: BTreeMap<Attempt, Held>,
    cancelling: Vec<Attempt>,
}

impl Sut {
    fn step(&mut self) {
        let effects = self.shard.step(self.now);
        for effect in effects {
            match effect {
                Effect::Answer(attempt, Verdict::Grant(grant)) => self.granted(&attempt, grant),
                Effect::Answer(attempt, Verdict::Refusal(refusal)) => {
                    assert!(self.waiting.remove(&attempt).is_some(), "refused without an ask");
                    assert!(!refusal.retry_after.is_zero(), "no time to come back");
                }
                Effect::Cancel(attempt, _) => {
                    assert!(self.held.contains_key(&attempt), "cancel of what is not held");
                    assert!(!self.cancelling.contains(&attempt), "cancelled twice");
                    self.cancelling.push(attempt);
                }
            }
        }
        self.shard.check().expect("invariant");
        self.check_counts();
    }

    fn granted(&mut self, attempt: &Attempt, grant: Grant) {
        let (ask, deadline) = self.waiting.remove(attempt).expect("granted once, after an ask");
        assert!(self.now <= deadline, "granted after its deadline");
        self.check_order(&ask, &grant);
        self.check_room(&grant);
        let held = Held { ask, grant, phase: Phase::Prefill, emitted: 0 };
        assert!(self.held.insert(attempt.clone(), held).is_none(), "held twice");
    }

    /// Nobody passes a request of a higher class, or a less served workspace of its own class,
    /// without a recorded reason.
    fn check_order(&self, ask: &Ask, grant: &Grant) {
        if matches!(grant.reason, Reason::Floor | Reason::Backfill) {
            return;
        }
        let higher = self.waiting.values().filter(|(other, _)| other.rank < ask.rank).count();
        assert_eq!(higher, 0, "{:?} passed a higher class", grant.reason);
        let has_rival = self
            .waiting
            .values()
            .any(|(other, _)| other.rank == ask.rank && other.workspace != ask.workspace);
        let basis = &grant.basis;
        assert!(!has_rival || basis.served <= basis.served_least, "unfair: {basis:?}");
    }

    fn check_room(&self, grant: &Grant) {
        let is_member = |member: &&Member| member.server.name == grant.decode.name;
        let member = self.members.decodes.iter().find(is_member).expect("a known server");
        assert!(!member.leaving, "granted at a leaving server");
        let prefill = self.members.prefills.iter().find(|m| m.server.name == grant.prefill.name);
        assert!(!prefill.expect("a known server").leaving, "prefill at a leaving server");
        // Each slot may be promised once beyond the place that occupies it.
        let on_server = self.held.values().filter(|one| one.grant.decode.name == grant.decode.name);
        let (places, slots) = (on_server.count() as u32, build::settings().slots);
        assert!(places < slots * 2, "{places} places for {slots} slots");
    }

    /// What the shard counts is what is held, once.
    fn check_counts(&self) {
        assert_eq!(self.shard.reservation_count(), self.held.len(), "places lost or counted twice");
        assert_eq!(self.shard.waiting().len(), self.waiting.len(), "asks lost or counted twice");
        for reserved in self.shard.reserved() {
            let on_server =
                self.held.values().filter(|one| one.grant.decode.name == reserved.server);
            let pieces: u32 = on_server.map(|one| one.grant.pieces).sum();
            assert_eq!(pieces, reserved.pieces, "pieces lost or counted twice");
        }
    }

    fn pick(&self, at: usize) -> Option<Attempt> {
        let free = self.held.keys().filter(|one| !self.cancelling.contains(one));
        let free: Vec<&Attempt> = free.collect();
        (!free.is_empty()).then(|| free[at % free.len()].clone())
    }

    fn renewal(&self, entry: &str) -> Renewal {
        Renewal { entry: entry.into(), incarnation: 1, ..Renewal::default() }
    }

    fn confirm_cancels(&mut self) {
        for attempt in std::mem::take(&mut self.cancelling) {
            self.shard.confirm_cancel(self.now, &attempt);
            self.held.remove(&attempt);
        }
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Sut;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Sut {
        let now = Moment::from_millis(1_000);
        let mut shard = Shard::new(now, "owner".into(), 1, build::settings());
        shard.skip_recovery(now);
        let members = build::members(2, 2);
        shard.set_members(&members);
        let (waiting, held) = (BTreeMap::new(), BTreeMap::new());
        Sut { shard, now, next: 0, members, waiting, held, cancelling: Vec::new() }
    }

    fn apply(mut sut: Sut, _: &Oracle, transition: Transition) -> Sut {
        match transition {
            Transition::Ask { entry, workspace, rank, tokens_in, patience_ms } => {
                sut.next += 1;
                let mut ask = build::ask(sut.next, WORKSPACES[workspace], rank, tokens_in, 60);
                ask.attempt = build::attempt(ENTRIES[entry], sut.next);
                ask.patience = Duration::from_millis(patience_ms);
                let deadline = sut.now + ask.patience;
                sut.waiting.insert(ask.attempt.clone(), (ask.clone(), deadline));
                sut.shard.enqueue(sut.now, ask);
            }
            Transition::Withdraw(at) => {
                let waiting: Vec<Attempt> = sut.waiting.keys().cloned().collect();
                if !waiting.is_empty() {
                    let attempt = &waiting[at % waiting.len()];
                    sut.waiting.remove(attempt);
                    sut.shard.withdraw(attempt);
                }
            }
            Transition::Advance(at, more) => advance(&mut sut, at, more),
            Transition::Release(at, confirmed) => {
                if let Some(attempt) = sut.pick(at) {
                    let emitted = sut.held[&attempt].emitted;
                    let release =
                        Release { attempt: attempt.clone(), emitted, confirmed, failed: None };
                    let mut renewal = sut.renewal(&attempt.request.instance);
                    renewal.releases.push(release);
                    sut.shard.renew(sut.now, &renewal);
                    if confirmed {
                        sut.held.remove(&attempt);
                    }
                }
            }
            Transition::Pass(millis) => {
                for _ in 0..millis.div_ceil(20) {
                    sut.now = sut.now + Duration::from_millis(20);
                    sut.step();
                }
                sut.confirm_cancels();
            }
            Transition::Leave(at, leaving) => {
                let Members { prefills, decodes } = &mut sut.members;
                let member = if at < 2 { prefills.get_mut(at) } else { decodes.get_mut(at - 2) };
                if let Some(member) = member {
                    member.leaving = leaving;
                }
                sut.shard.set_members(&sut.members);
            }
            Transition::Vanish(at) => vanish(&mut sut, at),
            Transition::EntryGone(at) => {
                let gone: Arc<str> = ENTRIES[at].into();
                let rest: Vec<Arc<str>> = ENTRIES
                    .iter()
                    .filter(|name| **name != &*gone)
                    .map(|name| (*name).into())
                    .collect();
                sut.shard.retain_entries(sut.now, &rest);
            }
            Transition::Report(at, running) => {
                sut.shard.record_load(sut.now, &format!("decode-{at}"), running);
            }
        }
        sut.step();
        sut
    }
}

fn advance(sut: &mut Sut, at: usize, more: u32) {
    let Some(attempt) = sut.pick(at) else { return };
    let Some(held) = sut.held.get_mut(&attempt) else { return };
    held.phase = match held.phase {
        Phase::Prefill => Phase::Transfer,
        Phase::Transfer | Phase::Decode => Phase::Decode,
    };
    if held.phase == Phase::Decode {
        held.emitted = (held.emitted + more).min(held.ask.tokens_out);
    }
    let progress = Progress {
        ask: held.ask.clone(),
        prefill: held.grant.prefill.name.clone(),
        decode: held.grant.decode.name.clone(),
        phase: held.phase,
        emitted: held.emitted,
    };
    let mut renewal = sut.renewal(&attempt.request.instance);
    renewal.progress.push(progress);
    sut.shard.renew(sut.now, &renewal);
}

/// A server leaves the list; what a decode server held is gone, and it comes back empty.
fn vanish(sut: &mut Sut, at: usize) {
    let mut without = sut.members.clone();
    if at < 2 {
        without.prefills.remove(at);
    } else {
        let name = without.decodes.remove(at - 2).server.name;
        sut.held.retain(|_, one| one.grant.decode.name != name);
        let held = &sut.held;
        sut.cancelling.retain(|attempt| held.contains_key(attempt));
    }
    sut.shard.set_members(&without);
    sut.shard.set_members(&sut.members);
}

#[test]
fn any_history_keeps_counts_order_and_single_ends() {
    let cases = seed::number("FIREFLYWORKS_TEST_CASES", 400) as u32;
    for seed in seed::seeds(&[11, 12]) {
        let config = Config { cases, failure_persistence: None, ..Config::default() };
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_be_bytes());
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(config.clone(), rng);
        let histories = Oracle::sequential_strategy(1..120);
        let outcome = runner.run(&histories, |(state, transitions, seen)| {
            Machine::test_sequential(config.clone(), state, transitions, seen);
            Ok(())
        });
        outcome.unwrap_or_else(|err| panic!("seed {seed}: {err}"));
    }
}
