//! Copies, in the platform's store, of what daemons remember of their streams. They outlive all
//! daemons.
//!
//! Each process of a daemon has one object. It is written only while the streams of a pool may have
//! begun at several software versions, a moment after a stream has begun, and then at intervals; a
//! write replaces it by all streams that can still be taken up. All objects are read when a stream is
//! taken up whose version no daemon knows. What they hold was true when it was written and stays so,
//! hence an old copy can only lack streams. Objects that have not changed for the lifetime of a record
//! are removed by one of the daemons. [`ffw_decide::origin::began`] decides what is written, and when.

mod cleanup;
mod reader;
mod writer;

pub(super) use reader::{Question, read};

use {
    crate::{announce::StoreFuture, daemon::Daemon, stored::Stored},
    ffw_protocol::{
        origin::{Key, Record},
        software::Version,
    },
    ffw_runtime::executor,
    serde::{Deserialize, Serialize},
    smol::channel,
    std::{fmt, sync::Arc},
    writer::Writer,
};

/// Key for which the first daemon in rendezvous order removes outdated copies.
const CLEANUP_KEY: &str = "origin-copies";

/// Digits of a key in a copy.
const KEY_DIGITS: usize = 16;

/// A daemon's copy, as an object of the store.
pub type Object = Stored<Content>;

/// Content of a copy, as the store holds it; daemons of neighbouring builds must be able to read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Streams by the version that began them.
    pub origins: Vec<Group>,
}

/// Streams that began at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The version.
    pub software: Version,
    /// Keys of the streams, of 16 hexadecimal digits each, one after the other.
    pub keys: String,
}

impl Content {
    /// The content that holds these records.
    pub fn of(records: &[Record]) -> Content {
        let mut versions: Vec<&Version> = records.iter().map(|record| &record.software).collect();
        versions.sort();
        versions.dedup();
        let keys_of = |version: &Version| {
            let of_version = records.iter().filter(|record| record.software == *version);
            of_version.map(|record| format!("{:016x}", record.key.0)).collect()
        };
        let group = |version: &Version| Group { software: version.clone(), keys: keys_of(version) };
        Content { origins: versions.into_iter().map(group).collect() }
    }

    /// The records; keys that can't be read are left out.
    pub fn records(&self) -> Vec<Record> {
        self.origins.iter().flat_map(Group::records).collect()
    }
}

impl Group {
    fn records(&self) -> impl Iterator<Item = Record> {
        let record = |key| Record { key: Key(key), software: self.software.clone() };
        self.keys.as_bytes().chunks_exact(KEY_DIGITS).filter_map(parse_key).map(record)
    }
}

fn parse_key(digits: &[u8]) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Functions that read, write and remove copies in the store. Clones share them.
#[derive(Clone)]
pub struct Storage {
    /// Reads all copies.
    pub read: Arc<dyn Fn() -> StoreFuture<Vec<Object>> + Send + Sync>,
    /// Writes a copy and returns it with its revision. One whose revision is not known is created,
    /// or replaces what is there.
    pub write: Arc<dyn Fn(Object) -> StoreFuture<Object> + Send + Sync>,
    /// Removes a copy unless it has changed.
    pub remove: Arc<dyn Fn(Object) -> StoreFuture<()> + Send + Sync>,
    /// Number that rises each time the store is restored from an earlier copy of itself.
    pub era: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Storage")
    }
}

/// Keeps this daemon's copy up to date, reads the copies on demand and removes outdated ones, until
/// the process ends. `writes_per_s` is what the store takes from all daemons.
pub async fn run(daemon: Arc<Daemon>, storage: Storage, writes_per_s: f64) {
    let (sender, questions) = channel::unbounded();
    if daemon.origins.questions.set(sender).is_err() {
        return;
    }
    executor::detach(reader::answer_questions(daemon.clone(), storage.clone(), questions));
    executor::detach(cleanup::run(daemon.clone(), storage.clone()));
    Writer::new(daemon, storage, writes_per_s).run().await;
}
