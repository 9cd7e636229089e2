//! The memory of where streams began, against a model that forgets nothing, and the daemons that
//! keep its records.
//!
//! Guards against a version that was not recorded for a stream, which would join events of two
//! versions; against records that are lost before their time; against a memory that grows with the
//! number of streams; and against a record that is asked for where nobody wrote it.

use {
    ffw_decide::origin::{
        ENTRIES_MAX, Memory,
        placement::{self, ASKED, REPLICAS, Targets},
    },
    ffw_protocol::{
        instance::{Instance, Role, State},
        origin::{Key, Record},
        software::Version,
        time::Moment,
    },
    proptest::prelude::*,
    rstest::rstest,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

const LIFETIME: Duration = Duration::from_secs(60);

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

fn version(number: u8) -> Version {
    match number {
        0 => Version::Unstated,
        number => Version::Stated(format!("v{number}").into()),
    }
}

fn record(key: u64, number: u8) -> Record {
    Record { key: Key(key), software: version(number) }
}

/// A key whose neighbours are in the same bucket.
fn key(number: u64) -> u64 {
    let bucket = (number % 3) << 56;
    bucket | number
}

/// What was recorded for a stream.
#[derive(Clone, Debug)]
struct Known {
    latest: Moment,
    version: Option<Version>,
}

/// The simple model: every record, without bounds.
#[derive(Debug, Default)]
struct Model(BTreeMap<u64, Known>);

impl Model {
    fn known(&self, now: Moment, key: u64) -> Option<&Known> {
        self.0.get(&key).filter(|known| now.since(known.latest) < LIFETIME)
    }

    fn record(&mut self, now: Moment, record: &Record) {
        let version = match self.known(now, record.key.0) {
            Some(known) if known.version.as_ref() != Some(&record.software) => None,
            _ => Some(record.software.clone()),
        };
        self.0.insert(record.key.0, Known { latest: now, version });
    }
}

#[derive(Clone, Debug)]
enum Step {
    Record { number: u64, version: u8 },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..24u64, prop_oneof![8 => Just(1), 1 => Just(2), 1 => Just(0)])
            .prop_map(|(number, version)| Step::Record { number, version }),
        2 => (0..5_000u64).prop_map(|ms| Step::Wait { ms }),
        1 => (50_000..70_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    /// Fails if a record is dropped before its lifetime or found after it, if a key finds another
    /// one's record, and if a conflict is forgotten, also across a change of generations.
    #[test]
    fn the_memory_answers_as_the_model(steps in prop::collection::vec(step(), 1..120)) {
        let (mut memory, mut model) = (Memory::new(LIFETIME), Model::default());
        let mut now = at(0);
        for step in steps {
            match step {
                Step::Wait { ms } => now = now + Duration::from_millis(ms),
                Step::Record { number, version } => {
                    let record = record(key(number), version);
                    memory.record(now, &record);
                    model.record(now, &record);
                }
            }
            for number in 0..24 {
                let known = model.known(now, key(number));
                let expected = known.and_then(|known| known.version.clone());
                prop_assert_eq!(memory.find(now, Key(key(number))), expected);
                let is_conflicting = known.is_some_and(|known| known.version.is_none());
                prop_assert_eq!(memory.is_conflicting(now, Key(key(number))), is_conflicting);
            }
        }
    }
}

/// 1,000 records a second for ten minutes: more than are kept.
#[test]
fn the_oldest_records_yield() {
    let mut memory = Memory::new(LIFETIME);
    let count = 600_000;
    let hash = |number: u64| Key::new("llm", &number.to_string());
    for number in 0..count {
        let record = Record { key: hash(number), software: version(1) };
        memory.record(at(number), &record);
        assert!(memory.len() <= ENTRIES_MAX, "{} entries", memory.len());
    }
    let kept = ENTRIES_MAX as u64 / 2;
    let now = at(count);
    for number in count - kept..count {
        assert_eq!(memory.find(now, hash(number)), Some(version(1)), "record {number}");
    }
    assert_eq!(memory.find(now, hash(count - 2 * kept - 1)), None);
}

/// Guards against memory that is taken where no record is made.
#[test]
fn an_unused_memory_is_empty() {
    let memory = Memory::new(LIFETIME);
    assert!(memory.is_empty());
    assert_eq!(memory.find(at(0), Key(0)), None);
    assert!(!memory.is_conflicting(at(0), Key(0)));
}

/// Guards against an attempt that finds the record of the same id at another pool, or of two texts
/// that join to the same one.
#[test]
fn keys_tell_pools_and_requests_apart() {
    let keys = [Key::new("a", "bc"), Key::new("ab", "c"), Key::new("b", "bc")];
    assert_ne!(keys[0], keys[1]);
    assert_ne!(keys[0], keys[2]);
    assert_eq!(keys[0], Key::new("a", "bc"));
}

fn daemon(number: usize, data_centres: usize) -> Instance {
    Instance {
        name: format!("daemon-{number}").into(),
        role: Role::Entry,
        data_centre: format!("dc-{}", number % data_centres).into(),
        address: SocketAddr::from(([127, 0, 0, 1], number as u16)),
        pool: "".into(),
        state: State::Live,
        capacity: 500,
    }
}

fn daemons(count: usize, data_centres: usize) -> Vec<Instance> {
    (0..count).map(|number| daemon(number, data_centres)).collect()
}

fn names(daemons: impl IntoIterator<Item = Instance>) -> Vec<Arc<str>> {
    daemons.into_iter().map(|daemon| daemon.name).collect()
}

/// Guards against copies that one data centre takes with it.
#[rstest]
#[case::three_data_centres(3)]
#[case::eight_data_centres(8)]
fn replicas_are_in_different_data_centres(#[case] data_centres: usize) {
    let mut ranked = daemons(24, data_centres);
    ranked.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    let targets = placement::targets(&ranked, "other", &[]);
    let mut places: Vec<_> = targets.replicas.iter().map(|daemon| &daemon.data_centre).collect();
    places.dedup();
    assert_eq!(places.len(), REPLICAS);
}

/// Guards against a record that ends with the daemon that made it and the two first replicas.
#[test]
fn the_writer_is_not_one_of_the_replicas() {
    let ranked = daemons(8, 1);
    let expected = ["daemon-0", "daemon-2", "daemon-3"].map(Arc::<str>::from);
    assert_eq!(names(placement::targets(&ranked, "daemon-1", &[]).replicas), expected);
}

#[test]
fn suspects_are_not_written_to_and_are_asked_last() {
    let ranked = daemons(8, 1);
    let suspects = ["daemon-0", "daemon-2"].map(Arc::<str>::from);
    let Targets { replicas, spares } = placement::targets(&ranked, "other", &suspects);
    assert_eq!(names(replicas), ["daemon-1", "daemon-3", "daemon-4"].map(Arc::<str>::from));
    assert_eq!(names(spares), ["daemon-5", "daemon-6", "daemon-7"].map(Arc::<str>::from));
    let few = &ranked[..4];
    let asked = ["daemon-1", "daemon-3", "daemon-0", "daemon-2"].map(Arc::<str>::from);
    assert_eq!(names(placement::readers(few, "other", &suspects)), asked);
}

#[test]
fn a_daemon_that_is_alone_sends_and_asks_nothing() {
    let ranked = daemons(1, 1);
    assert_eq!(placement::targets(&ranked, "daemon-0", &[]), Targets::default());
    assert_eq!(placement::readers(&ranked, "daemon-0", &[]), []);
    assert_eq!(placement::readers(&[], "daemon-0", &[]), []);
}

/// Places in the order at which daemons join, and indices of replicas that end.
fn changes() -> impl Strategy<Value = (Vec<usize>, Vec<usize>)> {
    let joining = prop::collection::vec(0..5usize, 0..=4).prop_map(|joined| (joined, Vec::new()));
    let both = prop::collection::vec((any::<bool>(), 0..5usize), 0..=2).prop_map(|changes| {
        let (joined, ended): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(|(is_joining, _)| *is_joining);
        let places = joined.into_iter().map(|(_, place)| place).collect();
        (places, ended.into_iter().map(|(_, place)| place % REPLICAS).collect())
    });
    prop_oneof![joining, both]
}

proptest! {
    /// Beside the end of the writer, four daemons join, or two join or end, between the record and
    /// the question. Fails with a replica less, and if no more are asked than are written to.
    ///
    /// Two that end and one that joins can be too many: the replica that is left may be displaced
    /// as the first of its data centre.
    #[test]
    fn a_record_is_found_after_daemons_came_and_went(
        order in Just((0..40usize).collect::<Vec<_>>()).prop_shuffle(),
        data_centres in 1..9usize,
        (joined, ended) in changes(),
        writer in 0..40usize,
        reader in 0..40usize,
    ) {
        let all: Vec<Instance> =
            order.into_iter().map(|number| daemon(number, data_centres)).collect();
        let before: Vec<Instance> = all
            .iter()
            .enumerate()
            .filter(|(index, _)| !joined.contains(index))
            .map(|(_, daemon)| daemon.clone())
            .collect();
        let writer = &before[writer % before.len()].name;
        let mut holders = names(placement::targets(&before, writer, &[]).replicas);
        let ended: Vec<Arc<str>> = ended.into_iter().map(|index| holders[index].clone()).collect();
        holders.retain(|holder| !ended.contains(holder));
        let is_left = |name: &Arc<str>| name != writer && !ended.contains(name);
        let after: Vec<Instance> =
            all.into_iter().filter(|daemon| is_left(&daemon.name)).collect();
        let reader = &after[reader % after.len()].name;
        let asked = names(placement::readers(&after, reader, &[]));
        let found = holders.iter().any(|name| name == reader || asked.contains(name));
        prop_assert!(found, "holders {holders:?}, asked {asked:?} by {reader}");
        prop_assert!(asked.len() <= ASKED);
    }
}
