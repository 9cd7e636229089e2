//! Copies, in the platform's store, of what daemons remember of their streams. They outlive all
//! daemons.
//!
//! Each process of a daemon has one object. It is written only while the streams of a pool may have
//! begun at several software versions, a moment after a stream has begun, and then at intervals; a
//! write replaces it by all streams that can still be taken up. All objects are read when a stream is
//! taken up whose version no daemon knows. What they hold was true when it was written and stays so,
//! hence an old copy can only lack streams. Objects that have not changed for the lifetime of a record
//! are removed by one of the daemons. [`ffw_decide::origin::began`] decides what is written, and when.

use {
    super::{LIFETIME, lock, remember},
    crate::{announce::StoreFuture, daemon::Daemon, stored::Stored},
    ffw_decide::origin::began,
    ffw_protocol::{
        digest,
        error::Result,
        origin::{Key, Record},
        software::Version,
    },
    ffw_runtime::{clock, executor, timer},
    log::{debug, info, warn},
    serde::{Deserialize, Serialize},
    smol::channel::{self, Receiver, Sender},
    std::{fmt, sync::Arc, time::Duration},
};

/// Time for which streams that have just begun are collected.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Period at which a restore of the store is looked for, after which the copy may be missing.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Pause after the first failed write; doubles with each further failure.
const RETRY_FIRST: Duration = Duration::from_millis(300);

/// Longest pause after a failed write.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// Time from the start of one read of the copies to the next one at the earliest.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Key for which the first daemon in rendezvous order removes outdated copies.
const CLEANUP_KEY: &str = "origin-copies";

/// Digits of a key in a copy.
const KEY_DIGITS: usize = 16;

/// A daemon's copy, as an object of the store.
pub type Copy = Stored<Content>;

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
    pub read: Arc<dyn Fn() -> StoreFuture<Vec<Copy>> + Send + Sync>,
    /// Writes a copy and returns it with its revision. One whose revision is not known is created,
    /// or replaces what is there.
    pub write: Arc<dyn Fn(Copy) -> StoreFuture<Copy> + Send + Sync>,
    /// Removes a copy unless it has changed.
    pub remove: Arc<dyn Fn(Copy) -> StoreFuture<()> + Send + Sync>,
    /// Number that rises each time the store is restored from an earlier copy of itself.
    pub era: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Storage")
    }
}

/// Asks the task that reads the copies for a read that begins after the question.
pub(super) type Question = Sender<bool>;

/// Keeps this daemon's copy up to date, reads the copies on demand and removes outdated ones, until
/// the process ends. `writes_per_s` is what the store takes from all daemons.
pub async fn run(daemon: Arc<Daemon>, storage: Storage, writes_per_s: f64) {
    let (sender, questions) = channel::unbounded();
    if daemon.origins.questions.set(sender).is_err() {
        return;
    }
    executor::detach(answer_questions(daemon.clone(), storage.clone(), questions));
    executor::detach(remove_outdated(daemon.clone(), storage.clone()));
    let mut writer = Writer::new(daemon, storage, writes_per_s);
    writer.run().await;
}

/// Reads all copies by a call that begins after this one; returns false if that fails, or takes
/// longer than `limit`.
pub(super) async fn read(daemon: &Daemon, limit: Duration) -> bool {
    let Some(questions) = daemon.origins.questions.get() else { return false };
    let (sender, answer) = channel::bounded(1);
    if questions.send(sender).await.is_err() {
        return false;
    }
    let answered = timer::timeout(limit, answer.recv()).await;
    answered.is_some_and(|is_read| is_read == Ok(true))
}

/// Reads the copies each time that this is asked for. One read answers all questions that came
/// before it began.
async fn answer_questions(daemon: Arc<Daemon>, storage: Storage, questions: Receiver<Question>) {
    while let Ok(first) = questions.recv().await {
        let mut asked = vec![first];
        while let Ok(next) = questions.try_recv() {
            asked.push(next);
        }
        let began_at = clock::boot_time();
        let is_read = read_all(&daemon, &storage).await;
        for question in asked {
            question.try_send(is_read).ok();
        }
        let elapsed = clock::boot_time().since(began_at);
        timer::sleep(READ_INTERVAL.saturating_sub(elapsed)).await;
    }
}

async fn read_all(daemon: &Daemon, storage: &Storage) -> bool {
    let began_at = clock::boot_time();
    let copies = match (storage.read)().await {
        Ok(copies) => copies,
        Err(error) => {
            warn!("event=origin_copies_unread error=\"{error}\"");
            return false;
        }
    };
    let contents = copies.iter().filter_map(|copy| copy.content.as_ref());
    let records: Vec<Record> = contents.flat_map(Content::records).collect();
    remember(daemon, &records);
    let ms = clock::boot_time().since(began_at).as_millis();
    info!("event=origin_copies_read copies={} records={} ms={ms}", copies.len(), records.len());
    true
}

struct Writer {
    daemon: Arc<Daemon>,
    storage: Storage,
    writes_per_s: f64,
    name: Arc<str>,
    /// Revision of the object; `None` if it is not known.
    revision: Option<u64>,
    /// Era of the store in which it was written.
    era: u64,
    /// Records that the object holds, in order of key.
    written: Vec<Record>,
}

impl Writer {
    fn new(daemon: Arc<Daemon>, storage: Storage, writes_per_s: f64) -> Writer {
        let identity = &daemon.identity;
        let name = format!("{}/{:x}", identity.instance, identity.incarnation);
        let name = digest::hex(name.as_bytes());
        let (revision, era, written) = (None, (storage.era)(), Vec::new());
        Writer { daemon, storage, writes_per_s, name, revision, era, written }
    }

    async fn run(&mut self) {
        let changed = self.daemon.origins.changed.subscribe();
        let mut failure_pause = RETRY_FIRST;
        loop {
            let is_changed = timer::timeout(CHECK_PERIOD, changed.recv()).await.is_some();
            if is_changed {
                timer::sleep(BATCH_WINDOW).await;
            }
            match self.write_missing().await {
                Ok(is_written) => {
                    failure_pause = RETRY_FIRST;
                    if is_written {
                        timer::sleep(self.interval()).await;
                    }
                }
                Err(error) => {
                    warn!("event=origins_not_written error=\"{error}\"");
                    // The call may have been executed.
                    self.revision = None;
                    timer::sleep(failure_pause).await;
                    failure_pause = (failure_pause * 2).min(RETRY_MAX);
                    self.daemon.origins.changed.notify();
                }
            }
        }
    }

    fn interval(&self) -> Duration {
        let daemons = self.daemon.view.ranked(CLEANUP_KEY).len();
        began::interval(daemons, self.writes_per_s)
    }

    /// Writes the records of the streams whose version the list of servers does not tell, unless the
    /// object holds them; returns whether it did.
    async fn write_missing(&mut self) -> Result<bool> {
        let records = {
            let software = &self.daemon.software;
            let is_kept = |pool: &str| !software.is_sole_known(pool);
            lock(&self.daemon.origins.began).records(clock::boot_time(), is_kept)
        };
        let era = (self.storage.era)();
        if era != self.era {
            self.era = era;
            self.revision = None;
            self.written.clear();
        }
        if !began::lacks(&self.written, &records) {
            return Ok(false);
        }
        let (name, content) = (self.name.clone(), Some(Content::of(&records)));
        let copy = Copy { name, revision: self.revision, content };
        let written = (self.storage.write)(copy).await?;
        debug!("event=origins_written records={}", records.len());
        self.daemon.metrics.routed.record_origin_copies("stored", records.len());
        self.revision = written.revision;
        self.written = records;
        Ok(true)
    }
}

/// Removes copies that have not changed for the lifetime of a record: their processes have ended, or
/// have had nothing to write. One daemon does this on behalf of all.
async fn remove_outdated(daemon: Arc<Daemon>, storage: Storage) {
    let mut before: Vec<(Arc<str>, Option<u64>)> = Vec::new();
    let mut era_before = (storage.era)();
    while !daemon.is_draining() {
        timer::sleep(LIFETIME).await;
        let ranked = daemon.view.ranked(CLEANUP_KEY);
        let is_first = ranked.first().is_some_and(|first| first.name == daemon.identity.instance);
        if !is_first || !daemon.software.is_any_stated() {
            before.clear();
            continue;
        }
        let copies = match (storage.read)().await {
            Ok(copies) => copies,
            Err(error) => {
                debug!("event=origin_copies_unread error=\"{error}\"");
                continue;
            }
        };
        let era = (storage.era)();
        if era != era_before {
            // Revisions are given out again.
            before.clear();
            era_before = era;
        }
        let seen: Vec<_> = copies.iter().map(|copy| (copy.name.clone(), copy.revision)).collect();
        let is_outdated = |copy: &Copy| before.contains(&(copy.name.clone(), copy.revision));
        let outdated: Vec<Copy> = copies.into_iter().filter(is_outdated).collect();
        for copy in outdated {
            let name = copy.name.clone();
            match (storage.remove)(copy).await {
                Ok(()) => info!("event=origin_copy_removed name={name}"),
                Err(error) => debug!("event=origin_copy_kept name={name} error=\"{error}\""),
            }
        }
        before = seen;
    }
}
