//! The record, in the platform's store, of what is known of prompt parts that crash servers.
//!
//! When all daemons are killed at once, what they know in memory is lost, and so many servers would
//! crash again. The record is one bounded object for each pool: the sets that are held, with their
//! tries, and the latest crashes that led to none yet. Each daemon reads all records when it starts,
//! after a restore of the store, and now and then while it can't reach the collector. The owner of a
//! pool writes its record when it changes; at most once a second if only crashes were added.
//!
//! A try is in the record before the request is sent: if the owner dies meanwhile, the next one
//! counts it. The record never takes back what daemons know: they merge it.

use {
    super::exchange,
    crate::{daemon::Daemon, identity, owner, stored},
    ffw_protocol::{
        digest,
        error::Result,
        quarantine::{Beginning, Evidence, Verdict},
        time::Moment,
    },
    ffw_runtime::timer,
    log::{debug, info},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Period at which the records are compared with what is known.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Shortest time between two writes of a record to which only crashes were added.
const CRASH_WRITE_PERIOD: Duration = Duration::from_secs(1);

/// Period at which a daemon reads the records that can't reach the collector of a pool.
const CUT_OFF_READ_PERIOD: Duration = Duration::from_secs(2);

/// Time for which a daemon must have owned a pool before it records tries. A daemon that has just
/// started may not know the others yet.
const OWNED_MIN: Duration = Duration::from_secs(2);

/// Pause after the first failed call; doubles with each further failure.
const RETRY_FIRST: Duration = Duration::from_millis(300);

/// Longest pause after a failed call.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// What is known of a pool, as an object of the store holds it.
pub type Record = stored::Stored<Content>;

/// Functions that read and write the records in the store.
pub type Storage = stored::Storage<Content>;

/// Content of a record, as the store holds it; daemons of neighbouring builds must be able to read
/// it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Sets that are held or on trial.
    pub verdicts: Vec<Verdict>,
    /// Runs that ended with their servers and led to no verdict yet, and clearings of their parts.
    pub evidence: Evidence,
    /// Runs of these whose answer had just begun.
    pub beginnings: Vec<Beginning>,
}

impl Content {
    /// What two records are compared by: ages change all the time.
    fn without_ages(&self) -> Content {
        let mut content = self.clone();
        content.verdicts.iter_mut().for_each(|verdict| verdict.age = Duration::ZERO);
        content.verdicts.sort_by(|a, b| a.parts.cmp(&b.parts));
        // Parts are cleared all the time; the clearings are written with the crashes.
        content.evidence.clearings.clear();
        let crashes = &mut content.evidence.crashes;
        crashes.iter_mut().for_each(|crash| crash.age = Duration::ZERO);
        crashes.sort_by(|a, b| (&a.server, a.prompt.own).cmp(&(&b.server, b.prompt.own)));
        content
    }
}

/// Keeps the records up to date until the daemon begins to shut down. From now on, each try is
/// recorded before it is made.
pub async fn run(daemon: Arc<Daemon>, storage: Storage) {
    daemon.quarantines.are_tries_recorded.store(true, Ordering::Relaxed);
    let mut keeper = Keeper {
        daemon,
        storage,
        records: Vec::new(),
        read: None,
        written_at: None,
        owned: Vec::new(),
    };
    let mut pause = CHECK_PERIOD;
    while !keeper.daemon.is_draining() {
        timer::sleep(pause).await;
        pause = match keeper.step().await {
            Ok(()) => CHECK_PERIOD,
            Err(error) => {
                debug!("event=quarantine_record_failed error=\"{error}\"");
                (pause * 2).clamp(RETRY_FIRST, RETRY_MAX)
            }
        };
    }
}

struct Keeper {
    daemon: Arc<Daemon>,
    storage: Storage,
    /// What was read or written last.
    records: Vec<Record>,
    /// Era of the store, and time, of the last read.
    read: Option<(u64, Moment)>,
    /// When a record was written last.
    written_at: Option<Moment>,
    /// The pools that this daemon owns, in order of name.
    owned: Vec<Owned>,
}

struct Owned {
    pool: Arc<str>,
    since: Moment,
}

impl Keeper {
    /// Reads the records if needed, and writes those of the pools that this daemon owns.
    async fn step(&mut self) -> Result<()> {
        let pools = exchange::engine_pools(&self.daemon);
        if pools.is_empty() {
            return Ok(());
        }
        if self.must_read(&pools) {
            self.read_all().await?;
        }
        for pool in &pools {
            if let Some(since) = self.owned_since(pool) {
                self.check(pool, since).await?;
            }
        }
        Ok(())
    }

    /// Since when this daemon has owned a pool; `None` if it does not.
    fn owned_since(&mut self, pool: &Arc<str>) -> Option<Moment> {
        let is_owner = owner::is_owner(&self.daemon, pool, &[]);
        let index = self.owned.binary_search_by(|owned| owned.pool.cmp(pool));
        match (index, is_owner) {
            (Ok(index), true) => Some(self.owned[index].since),
            (Ok(index), false) => {
                self.owned.remove(index);
                None
            }
            (Err(index), true) => {
                let since = identity::now();
                self.owned.insert(index, Owned { pool: pool.clone(), since });
                Some(since)
            }
            (Err(_), false) => None,
        }
    }

    fn must_read(&self, pools: &[Arc<str>]) -> bool {
        let Some((era, read_at)) = self.read else { return true };
        let is_cut_off = || pools.iter().any(|pool| exchange::is_cut_off(&self.daemon, pool));
        let is_old = || identity::now().since(read_at) >= CUT_OFF_READ_PERIOD;
        era != (self.storage.era)() || is_old() && is_cut_off()
    }

    /// Reads the records, and merges them into what is known.
    async fn read_all(&mut self) -> Result<()> {
        let era = (self.storage.era)();
        let records = (self.storage.read)().await?;
        let now = identity::now();
        let mut verdict_count = 0;
        for content in records.iter().filter_map(|record| record.content.as_ref()) {
            let Content { pool, verdicts, evidence, beginnings } = content;
            verdict_count += verdicts.len();
            self.daemon.quarantines.with(pool, |pool| {
                pool.quarantine.adopt(now, verdicts, evidence);
                pool.quarantine.merge_beginnings(beginnings);
                // They may be among the tries that were read.
                pool.recorded_tries.clear();
            });
        }
        if self.read.is_none() {
            let count = records.len();
            info!("event=quarantine_records_read records={count} verdicts={verdict_count}");
        }
        self.records = records;
        self.read = Some((era, now));
        self.daemon.quarantines.wake();
        Ok(())
    }

    /// Writes a pool's record if it differs from what is known, or a try is due.
    async fn check(&mut self, pool: &Arc<str>, owned_since: Moment) -> Result<()> {
        let now = identity::now();
        let may_try = now.since(owned_since) >= OWNED_MIN;
        let (content, tries) = self.plan(now, pool, may_try);
        let name = digest::hex(pool.as_bytes());
        let known = self.records.iter().position(|record| record.name == name);
        let stored = known.and_then(|index| self.records[index].content.clone());
        let stored = stored.unwrap_or_else(|| Content { pool: pool.clone(), ..Content::default() });
        let (old, new) = (stored.without_ages(), content.without_ages());
        let is_recent = self.written_at.is_some_and(|at| now.since(at) < CRASH_WRITE_PERIOD);
        if old == new || old.verdicts == new.verdicts && is_recent {
            return Ok(());
        }
        let revision = known.and_then(|index| self.records[index].revision);
        self.written_at = Some(now);
        match (self.storage.write)(Record { name, revision, content: Some(content) }).await {
            Ok(written) => {
                info!(
                    "event=quarantine_recorded pool={pool} verdicts={} crashes={} tries={}",
                    new.verdicts.len(),
                    new.evidence.crashes.len(),
                    tries.len()
                );
                match known {
                    Some(index) => self.records[index] = written,
                    None => self.records.push(written),
                }
                self.daemon.quarantines.with(pool, |pool| pool.recorded_tries.extend(tries));
                Ok(())
            }
            Err(error) => {
                // Another daemon may have written it, or the write may have been executed: then its
                // tries count.
                self.read_all().await?;
                Err(error)
            }
        }
    }

    /// What a pool's record should hold, and the sets of which it records a further try.
    fn plan(&self, now: Moment, pool: &Arc<str>, may_try: bool) -> (Content, Vec<Vec<u64>>) {
        let (mut content, mut due, recorded) = self.daemon.quarantines.with(pool, |pool| {
            let (verdicts, evidence) = pool.quarantine.stored(now);
            let mut beginnings = pool.quarantine.beginnings();
            let is_stored = |one: &Beginning| {
                let mut crashes = evidence.crashes.iter();
                crashes.any(|crash| crash.server == one.server && crash.prompt.own == one.own)
            };
            beginnings.retain(is_stored);
            let content = Content { pool: pool.name.clone(), verdicts, evidence, beginnings };
            (content, pool.quarantine.due_tries(now), pool.recorded_tries.clone())
        });
        due.retain(|_| may_try);
        // A recorded try that no request has used yet is part of the record.
        for verdict in &mut content.verdicts {
            let is_due = due.contains(&verdict.parts);
            verdict.tries += u32::from(is_due || recorded.contains(&verdict.parts));
        }
        due.retain(|set| !recorded.contains(set));
        (content, due)
    }
}
