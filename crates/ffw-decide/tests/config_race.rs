//! Operators make conflicting changes at the same time while answers of the object API get lost.
//! Guards against an accepted change that is missing from the history, and against a change that is
//! reported as a conflict although it was made.

use {
    ffw_decide::config::{self, Change, Edit, Event, Machine, Step, Stored},
    ffw_protocol::config::{Version, verify},
    ffw_support::seed,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

#[derive(Debug, Default)]
struct Store {
    current: Option<Stored>,
    history: BTreeMap<u64, Version>,
    writes: u64,
}

impl Store {
    fn put(&mut self, version: Version) {
        self.writes += 1;
        self.current = Some(Stored { version, resource_version: self.writes.to_string().into() });
    }

    fn apply(&mut self, step: &Step) -> Event {
        match step {
            Step::Read => Event::Read(self.current.clone()),
            Step::ReadHistory(number) => Event::HistoryRead(self.history.get(number).cloned()),
            Step::WriteHistory(version) => {
                let is_new = !self.history.contains_key(&version.number);
                self.history.entry(version.number).or_insert_with(|| version.clone());
                if is_new { Event::Written } else { Event::Refused }
            }
            Step::Create(_) if self.current.is_some() => Event::Refused,
            Step::Create(version) => {
                self.put(version.clone());
                Event::Written
            }
            Step::Replace(resource, version) => {
                let is_current = self
                    .current
                    .as_ref()
                    .is_some_and(|stored| stored.resource_version == *resource);
                if is_current {
                    self.put(version.clone());
                    return Event::Written;
                }
                Event::Refused
            }
            _ => Event::PauseEnded,
        }
    }
}

struct Operator {
    id: String,
    machine: Machine,
    step: Step,
}

fn change(id: &str, expected: u64) -> Change {
    Change {
        id: id.into(),
        author: "operator".into(),
        reason: "a reason".into(),
        expected,
        at_ms: 0,
        edit: Edit::Declare(format!("deployment = \"{id}\"").into()),
    }
}

fn start(id: String, expected: u64) -> Operator {
    let (machine, step) = Machine::start(change(&id, expected));
    Operator { id, machine, step }
}

fn number(store: &Store) -> u64 {
    store.current.as_ref().map_or(0, |stored| stored.version.number)
}

fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut operators: Vec<Operator> = Vec::new();
    let mut accepted: Vec<(String, u64)> = Vec::new();
    let mut refused: Vec<String> = Vec::new();
    let mut started = 0;
    let mut in_force = 0;
    for _ in 0..seed::steps(200) {
        if operators.is_empty() || operators.len() < 4 && rng.gen_bool(0.1) {
            started += 1;
            operators.push(start(format!("change-{started}"), number(&store)));
            continue;
        }
        let index = rng.gen_range(0..operators.len());
        let operator = &mut operators[index];
        let event = match rng.gen_range(0..6) {
            0 => Event::Failed,
            1 => {
                store.apply(&operator.step);
                if matches!(operator.step, Step::Read | Step::ReadHistory(_)) {
                    Event::Failed
                } else {
                    Event::ResultUnknown
                }
            }
            _ => store.apply(&operator.step),
        };
        operator.step = operator.machine.next(event);
        assert!(number(&store) >= in_force, "seed {seed}: the configuration reverted");
        in_force = number(&store);
        match operator.step.clone() {
            Step::Accepted(version) => accepted.push((operators.remove(index).id, version.number)),
            Step::Conflict(_) => refused.push(operators.remove(index).id),
            _ => {}
        }
    }
    check(seed, &store, &accepted, &refused);
}

/// Checks that each accepted change is in the history under its number, that no refused change is
/// there, and that the hash chain of the versions is intact.
fn check(seed: u64, store: &Store, accepted: &[(String, u64)], refused: &[String]) {
    let mut history: Vec<Version> = store.history.values().cloned().collect();
    if let Some(stored) = &store.current {
        history.retain(|version| version.number < stored.version.number);
        history.push(stored.version.clone());
    }
    assert_eq!(verify(&history), Ok(()), "seed {seed}: the chain of changes is broken");
    for (id, number) in accepted {
        let found = history.iter().find(|version| version.number == *number);
        assert_eq!(found.map(|version| &*version.change), Some(&**id), "seed {seed}: lost change");
    }
    for id in refused {
        assert!(
            history.iter().all(|version| *version.change != **id),
            "seed {seed}: {id} was reported as a conflict but was made"
        );
    }
}

#[test]
fn racing_operators_never_lose_an_accepted_change() {
    seed::seeds(&(0..2_000).collect::<Vec<_>>()).into_iter().for_each(run);
}

#[test]
fn only_a_higher_version_supersedes() {
    let mut store = Store::default();
    let mut operator = start("first".into(), 0);
    while !matches!(operator.step, Step::Accepted(_)) {
        let event = store.apply(&operator.step);
        operator.step = operator.machine.next(event);
    }
    let Step::Accepted(first) = operator.step else { return };
    assert!(config::supersedes(None, &first));
    assert!(!config::supersedes(Some(&first), &first));
    let second = Version { number: 2, ..first.clone() };
    assert!(config::supersedes(Some(&first), &second));
    assert!(!config::supersedes(Some(&second), &first));
}
