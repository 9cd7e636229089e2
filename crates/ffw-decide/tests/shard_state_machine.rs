//! Property test of a shard against a model: random histories of admission requests, progress,
//! releases, leaving and removed servers, removed entries and lagging load reports.

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
    Wait(u64),
    Leave(usize, bool),
    RemoveServer(usize),
    RemoveEntry(usize),
    Report(usize, u32),
}

/// The model counts only the admission requests; everything else is checked against the effects of
/// the shard.
#[derive(Clone, Debug, Default)]
struct Model {
    asked: u64,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Transition> {
        let ask = (0..2usize, 0..3usize, 0..2u8, 1..6_000u32, 50..5_000u64);
        prop_oneof![
            6 => ask.prop_map(|(entry, workspace, rank, tokens_in, patience_ms)| {
                Transition::Ask { entry, workspace, rank, tokens_in, patience_ms }
            }),
            2 => any::<usize>().prop_map(Transition::Withdraw),
            4 => (any::<usize>(), 0..40u32).prop_map(|(i, more)| Transition::Advance(i, more)),
            4 => (any::<usize>(), any::<bool>()).prop_map(|(i, ok)| Transition::Release(i, ok)),
            6 => (1..400u64).prop_map(Transition::Wait),
            1 => (0..4usize, any::<bool>()).prop_map(|(i, leaving)| Transition::Leave(i, leaving)),
            1 => (0..4usize).prop_map(Transition::RemoveServer),
            1 => (0..2usize).prop_map(Transition::RemoveEntry),
            1 => (0..2usize, 0..6u32).prop_map(|(i, running)| Transition::Report(i, running)),
        ]
        .boxed()
    }

    fn apply(mut state: Model, transition: &Transition) -> Model {
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

/// The shard under test, with the state that its effects imply.
struct Harness {
    shard: Shard,
    now: Moment,
    last_sequence: u64,
    members: Members,
    waiting: BTreeMap<Attempt, (Ask, Moment)>,
    held: BTreeMap<Attempt, Held>,
    cancelling: Vec<Attempt>,
}

impl Harness {
    fn step(&mut self) {
        let effects = self.shard.step(self.now);
        for effect in effects {
            match effect {
                Effect::Answer(attempt, Verdict::Grant(grant)) => self.granted(&attempt, grant),
                Effect::Answer(attempt, Verdict::Refusal(refusal)) => {
                    assert!(
                        self.waiting.remove(&attempt).is_some(),
                        "refused a request that is not in the queue"
                    );
                    assert!(!refusal.retry_after.is_zero(), "no retry time");
                }
                Effect::Cancel(attempt, _) => {
                    assert!(
                        self.held.contains_key(&attempt),
                        "cancel of an attempt without a reservation"
                    );
                    assert!(!self.cancelling.contains(&attempt), "cancelled twice");
                    self.cancelling.push(attempt);
                }
            }
        }
        self.shard.check().expect("invariant");
        self.check_counts();
    }

    fn granted(&mut self, attempt: &Attempt, grant: Grant) {
        let (ask, deadline) =
            self.waiting.remove(attempt).expect("granted only a request in the queue");
        assert!(self.now <= deadline, "granted after its deadline");
        self.check_order(&ask, &grant);
        self.check_room(&grant);
        let held = Held { ask, grant, phase: Phase::Prefill, emitted: 0 };
        assert!(self.held.insert(attempt.clone(), held).is_none(), "held twice");
    }

    /// Checks that a request passes one of a higher class, or of a less served workspace of its own
    /// class, only for a recorded reason.
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
        let prefill =
            self.members.prefills.iter().find(|member| member.server.name == grant.prefill.name);
        assert!(!prefill.expect("a known server").leaving, "prefill at a leaving server");
        // Each slot may have one more reservation than the one that occupies it.
        let on_server =
            self.held.values().filter(|held| held.grant.decode.name == grant.decode.name);
        let (reservations, slots) = (on_server.count() as u32, build::settings().slots);
        assert!(reservations < slots * 2, "{reservations} reservations for {slots} slots");
    }

    /// Checks the counts of the shard against the reservations and requests of the harness.
    fn check_counts(&self) {
        assert_eq!(
            self.shard.reservation_count(),
            self.held.len(),
            "reservations lost or counted twice"
        );
        assert_eq!(
            self.shard.waiting().len(),
            self.waiting.len(),
            "requests lost or counted twice"
        );
        for reserved in self.shard.reserved() {
            let on_server =
                self.held.values().filter(|held| held.grant.decode.name == reserved.server);
            let pieces: u32 = on_server.map(|held| held.grant.pieces).sum();
            assert_eq!(pieces, reserved.pieces, "pieces lost or counted twice");
        }
    }

    /// Selects an attempt that holds a reservation and is not being cancelled.
    fn pick(&self, number: usize) -> Option<Attempt> {
        let running = self.held.keys().filter(|attempt| !self.cancelling.contains(attempt));
        let running: Vec<&Attempt> = running.collect();
        (!running.is_empty()).then(|| running[number % running.len()].clone())
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
    type SystemUnderTest = Harness;
    type Reference = Model;

    fn init_test(_: &Model) -> Harness {
        let now = Moment::from_millis(1_000);
        let mut shard = Shard::new(now, "owner".into(), 1, build::settings());
        shard.skip_recovery(now);
        let members = build::members(2, 2);
        shard.set_members(&members);
        let (waiting, held) = (BTreeMap::new(), BTreeMap::new());
        Harness { shard, now, last_sequence: 0, members, waiting, held, cancelling: Vec::new() }
    }

    fn apply(mut harness: Harness, _: &Model, transition: Transition) -> Harness {
        match transition {
            Transition::Ask { entry, workspace, rank, tokens_in, patience_ms } => {
                harness.last_sequence += 1;
                let mut ask =
                    build::ask(harness.last_sequence, WORKSPACES[workspace], rank, tokens_in, 60);
                ask.attempt = build::attempt(ENTRIES[entry], harness.last_sequence);
                ask.patience = Duration::from_millis(patience_ms);
                let deadline = harness.now + ask.patience;
                harness.waiting.insert(ask.attempt.clone(), (ask.clone(), deadline));
                harness.shard.enqueue(harness.now, ask);
            }
            Transition::Withdraw(number) => {
                let waiting: Vec<Attempt> = harness.waiting.keys().cloned().collect();
                if !waiting.is_empty() {
                    let attempt = &waiting[number % waiting.len()];
                    harness.waiting.remove(attempt);
                    harness.shard.withdraw(attempt);
                }
            }
            Transition::Advance(number, more) => advance(&mut harness, number, more),
            Transition::Release(number, confirmed) => {
                if let Some(attempt) = harness.pick(number) {
                    let emitted = harness.held[&attempt].emitted;
                    let release =
                        Release { attempt: attempt.clone(), emitted, confirmed, failed: None };
                    let mut renewal = harness.renewal(&attempt.request.instance);
                    renewal.releases.push(release);
                    harness.shard.renew(harness.now, &renewal);
                    if confirmed {
                        harness.held.remove(&attempt);
                    }
                }
            }
            Transition::Wait(millis) => {
                for _ in 0..millis.div_ceil(20) {
                    harness.now = harness.now + Duration::from_millis(20);
                    harness.step();
                }
                harness.confirm_cancels();
            }
            Transition::Leave(index, leaving) => {
                let Members { prefills, decodes } = &mut harness.members;
                let member =
                    if index < 2 { prefills.get_mut(index) } else { decodes.get_mut(index - 2) };
                if let Some(member) = member {
                    member.leaving = leaving;
                }
                harness.shard.set_members(&harness.members);
            }
            Transition::RemoveServer(index) => remove_server(&mut harness, index),
            Transition::RemoveEntry(index) => {
                let removed: Arc<str> = ENTRIES[index].into();
                let listed: Vec<Arc<str>> = ENTRIES
                    .iter()
                    .filter(|name| **name != &*removed)
                    .map(|name| (*name).into())
                    .collect();
                harness.shard.cancel_unlisted_entries(harness.now, &listed);
            }
            Transition::Report(index, running) => {
                harness.shard.record_load(harness.now, &format!("decode-{index}"), running);
            }
        }
        harness.step();
        harness
    }
}

/// Reports progress of an attempt: the next phase, and `more` tokens once it is decoding.
fn advance(harness: &mut Harness, number: usize, more: u32) {
    let Some(attempt) = harness.pick(number) else { return };
    let Some(held) = harness.held.get_mut(&attempt) else { return };
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
    let mut renewal = harness.renewal(&attempt.request.instance);
    renewal.progress.push(progress);
    harness.shard.renew(harness.now, &renewal);
}

/// Removes a server from the list, with the reservations of a decode server, and lists it again
/// without any.
fn remove_server(harness: &mut Harness, index: usize) {
    let mut without = harness.members.clone();
    if index < 2 {
        without.prefills.remove(index);
    } else {
        let name = without.decodes.remove(index - 2).server.name;
        harness.held.retain(|_, held| held.grant.decode.name != name);
        let held = &harness.held;
        harness.cancelling.retain(|attempt| held.contains_key(attempt));
    }
    harness.shard.set_members(&without);
    harness.shard.set_members(&harness.members);
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
        let histories = Model::sequential_strategy(1..120);
        let outcome = runner.run(&histories, |(state, transitions, seen)| {
            Machine::test_sequential(config.clone(), state, transitions, seen);
            Ok(())
        });
        outcome.unwrap_or_else(|err| panic!("seed {seed}: {err}"));
    }
}
