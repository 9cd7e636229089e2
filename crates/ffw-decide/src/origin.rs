//! Memory of where streams began, and which daemons keep a record of it.
//!
//! The load pattern is many small records, of which few are ever asked for: a caller takes a stream
//! up only if it broke off, soon after. Records are kept in two generations, so that the oldest go
//! together and at no cost, and in buckets by key, so that an insertion moves few entries.

pub mod began;
pub mod placement;

use {
    ffw_protocol::{
        origin::{Key, Record},
        software::Version,
        time::Moment,
    },
    std::{mem, time::Duration},
};

/// Largest number of records of both generations together. With 8 daemons and 1,000 streams a
/// second, a daemon gets 500 records a second, 30,000 in a minute.
pub const ENTRIES_MAX: usize = 65_536;

/// Records after which a generation is closed.
const GENERATION_MAX: usize = ENTRIES_MAX / 2;

/// Buckets of a generation. A full one holds 128 records a bucket, 4 KiB.
const BUCKETS: usize = 256;

/// Bits of a key that do not select its bucket.
const KEY_BITS_IN_BUCKET: u32 = u64::BITS - BUCKETS.ilog2();

/// Records of a limited number of streams, for a limited time.
#[derive(Clone, Debug)]
pub struct Memory {
    lifetime: Duration,
    /// Holds what was recorded since it was begun.
    young: Generation,
    /// Holds what was recorded before that.
    old: Generation,
}

#[derive(Clone, Debug, Default)]
struct Generation {
    began_at: Moment,
    len: usize,
    /// Each in order of key; empty until the first record.
    buckets: Vec<Vec<Entry>>,
    /// Versions of the entries, in order. The entries share their text.
    versions: Vec<Version>,
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    recorded_at: Moment,
    /// `None` if two versions were recorded.
    version: Option<Version>,
}

impl Memory {
    /// A memory that keeps each record for `lifetime`, or until [`ENTRIES_MAX`] / 2 later ones have
    /// come.
    pub fn new(lifetime: Duration) -> Memory {
        Memory { lifetime, young: Generation::default(), old: Generation::default() }
    }

    /// Adds a record. A second one of the same version extends the lifetime of the first; one of
    /// another version makes the version unknown.
    pub fn record(&mut self, now: Moment, record: &Record) {
        self.renew(now);
        let known = self.entry(now, record.key);
        let is_contradicted =
            known.is_some_and(|known| known.version.as_ref() != Some(&record.software));
        let version = (!is_contradicted).then(|| self.young.share(&record.software));
        self.young.insert(Entry { key: record.key, recorded_at: now, version });
    }

    /// The version at which a stream began; `None` if it is not known.
    pub fn find(&self, now: Moment, key: Key) -> Option<Version> {
        self.entry(now, key)?.version.clone()
    }

    /// Whether two versions were recorded for a stream.
    pub fn is_conflicting(&self, now: Moment, key: Key) -> bool {
        self.entry(now, key).is_some_and(|entry| entry.version.is_none())
    }

    /// Number of entries in memory, expired ones included.
    pub fn len(&self) -> usize {
        self.young.len + self.old.len
    }

    /// Whether there is no entry in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The latest entry of a key, unless it has expired.
    fn entry(&self, now: Moment, key: Key) -> Option<&Entry> {
        let entry = self.young.find(key).or_else(|| self.old.find(key))?;
        (now.since(entry.recorded_at) < self.lifetime).then_some(entry)
    }

    /// Begins a generation when it is due. The older one is dropped: all of its records have
    /// expired, or there are enough later ones.
    fn renew(&mut self, now: Moment) {
        let is_over = now.since(self.young.began_at) >= self.lifetime;
        if is_over || self.young.len >= GENERATION_MAX {
            let begun = Generation { began_at: now, ..Generation::default() };
            self.old = mem::replace(&mut self.young, begun);
        }
    }
}

impl Generation {
    fn find(&self, key: Key) -> Option<&Entry> {
        let bucket = self.buckets.get(bucket_of(key))?;
        let index = bucket.binary_search_by_key(&key, |entry| entry.key).ok()?;
        Some(&bucket[index])
    }

    fn insert(&mut self, entry: Entry) {
        self.buckets.resize_with(BUCKETS, Vec::new);
        let bucket = &mut self.buckets[bucket_of(entry.key)];
        match bucket.binary_search_by_key(&entry.key, |listed| listed.key) {
            Ok(index) => bucket[index] = entry,
            Err(index) => {
                bucket.insert(index, entry);
                self.len += 1;
            }
        }
    }

    /// An equal version whose text is shared by the entries.
    fn share(&mut self, version: &Version) -> Version {
        match self.versions.binary_search(version) {
            Ok(index) => self.versions[index].clone(),
            Err(index) => {
                self.versions.insert(index, version.clone());
                version.clone()
            }
        }
    }
}

fn bucket_of(key: Key) -> usize {
    (key.0 >> KEY_BITS_IN_BUCKET) as usize
}
