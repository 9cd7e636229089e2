//! The record, in the platform's store, of the versions that each pool's servers had lately.
//!
//! When all daemons are killed at once, the servers of the old version may just have left. A daemon
//! that starts then learns of that version by this record only. It is one small object for each
//! pool of a stream route. Each daemon reads all of them once after its first list of servers, and
//! again after it has missed changes of that list, and after a restore of the store. It is written
//! when the set of versions changes, by the first daemon in rendezvous order, or by one of the next
//! few if the change is still missing after a while. [`ffw_decide::affinity::history`] decides what
//! it should hold.

use {
    super::Version,
    crate::{daemon::Daemon, stored},
    ffw_protocol::{digest, error::Result, time::Moment},
    ffw_runtime::{clock, timer},
    log::{debug, info},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Period at which the records are compared with the list of servers.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Number of daemons, in rendezvous order, that write a pool's record. The next ones come into
/// their place when daemons are no longer listed.
const WRITERS: usize = 3;

/// Time that each of them leaves to the one before. It is longer than a call to a slow store takes.
const WRITER_DELAY: Duration = Duration::from_secs(2);

/// Pause after the first failed call; doubles with each further failure.
const RETRY_FIRST: Duration = Duration::from_millis(300);

/// Longest pause after a failed call.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// The versions of a pool's servers, as an object of the store holds them.
pub type Record = stored::Stored<Content>;

/// Functions that read and write the records in the store.
pub type Storage = stored::Storage<Content>;

/// Content of a record, as the store holds it; daemons of neighbouring builds must be able to read
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The versions, in order.
    pub versions: Vec<Version>,
}

/// Keeps the records up to date until the daemon begins to shut down. `is_first_start` tells that
/// the whole system starts for the first time.
pub async fn run(daemon: Arc<Daemon>, storage: Storage, is_first_start: bool) {
    let mut keeper = Keeper {
        daemon,
        storage,
        first_started_at: is_first_start.then(clock::boot_time),
        records: Vec::new(),
        read_in: None,
        overdue: Vec::new(),
    };
    let mut pause = CHECK_PERIOD;
    while !keeper.daemon.is_draining() {
        timer::sleep(pause).await;
        pause = match keeper.step().await {
            Ok(()) => CHECK_PERIOD,
            Err(error) => {
                debug!("event=software_record_failed error=\"{error}\"");
                (pause * 2).clamp(RETRY_FIRST, RETRY_MAX)
            }
        };
    }
}

struct Keeper {
    daemon: Arc<Daemon>,
    storage: Storage,
    /// When this daemon started, if the whole system started for the first time then; `None` once
    /// that is recorded.
    first_started_at: Option<Moment>,
    /// What was read or written last, in order of name.
    records: Vec<Record>,
    /// Era of the store, and start of the observation of the list, in which the records were read.
    read_in: Option<(u64, Moment)>,
    /// Pools whose record needs a write, in order of name.
    overdue: Vec<Overdue>,
}

struct Overdue {
    pool: Arc<str>,
    since: Moment,
    /// Whether the record was read since.
    is_read: bool,
}

impl Keeper {
    /// Reads the records if needed, and writes those that this daemon is to write now.
    async fn step(&mut self) -> Result<()> {
        let Some(observed_since) = self.daemon.software.history().observed_since() else {
            return Ok(());
        };
        if let Some(started_at) = self.first_started_at.take() {
            info!("event=software_first_start");
            self.daemon.software.history().record_first_start(started_at);
        }
        if self.read_in != Some(((self.storage.era)(), observed_since)) {
            self.read_all(observed_since).await?;
        }
        for pool in stream_pools(&self.daemon) {
            self.check(&pool, observed_since).await?;
        }
        Ok(())
    }

    /// Reads the records; their versions count as listed until now.
    async fn read_all(&mut self, observed_since: Moment) -> Result<()> {
        let records = (self.storage.read)().await?;
        let now = clock::boot_time();
        let mut history = self.daemon.software.history();
        let contents = records.iter().filter_map(|record| record.content.as_ref());
        for Content { pool, versions } in contents {
            history.record_stored(now, Some(observed_since), pool, Some(versions));
        }
        let pools: Vec<Arc<str>> = history.pools().cloned().collect();
        for pool in pools {
            if !records.iter().any(|record| record.name == name(&pool)) {
                history.record_stored(now, Some(observed_since), &pool, None);
            }
        }
        drop(history);
        info!("event=software_records_read records={}", records.len());
        self.replace_records(records);
        self.read_in = Some(((self.storage.era)(), observed_since));
        Ok(())
    }

    /// Reads the records again, as another daemon may have written them. Only what they did not
    /// hold before is news.
    async fn read_again(&mut self, observed_since: Moment) -> Result<()> {
        let records = (self.storage.read)().await?;
        let now = clock::boot_time();
        let mut history = self.daemon.software.history();
        for Content { pool, versions } in
            records.iter().filter_map(|record| record.content.as_ref())
        {
            let before = self.versions(pool).unwrap_or_default();
            let new = versions.iter().filter(|version| !before.contains(version));
            let new: Vec<Version> = new.cloned().collect();
            history.record_stored(now, Some(observed_since), pool, Some(&new));
        }
        drop(history);
        self.replace_records(records);
        Ok(())
    }

    /// Writes a pool's record if it needs a write, and it is this daemon's turn.
    async fn check(&mut self, pool: &Arc<str>, observed_since: Moment) -> Result<()> {
        let now = clock::boot_time();
        let plan = self.daemon.software.history().plan(now, pool, self.versions(pool));
        let found = self.overdue.binary_search_by(|overdue| overdue.pool.cmp(pool));
        let Some(versions) = plan else {
            if let Ok(index) = found {
                self.overdue.remove(index);
            }
            return Ok(());
        };
        let index = found.unwrap_or_else(|index| {
            let overdue = Overdue { pool: pool.clone(), since: now, is_read: false };
            self.overdue.insert(index, overdue);
            index
        });
        let ranked = self.daemon.view.ranked(&key(pool));
        let own = &self.daemon.identity.instance;
        let place = ranked.iter().take(WRITERS).position(|daemon| daemon.name == *own);
        let Some(place) = place else { return Ok(()) };
        let overdue = &mut self.overdue[index];
        if now.since(overdue.since) < WRITER_DELAY * place as u32 {
            return Ok(());
        }
        if place > 0 && !std::mem::replace(&mut overdue.is_read, true) {
            return self.read_again(observed_since).await;
        }
        self.write(pool, versions, observed_since).await
    }

    async fn write(
        &mut self,
        pool: &Arc<str>,
        versions: Vec<Version>,
        observed_since: Moment,
    ) -> Result<()> {
        let name = name(pool);
        let index = self.records.binary_search_by(|record| record.name.cmp(&name));
        let revision = index.ok().and_then(|index| self.records[index].revision);
        let content = Some(Content { pool: pool.clone(), versions: versions.clone() });
        match (self.storage.write)(Record { name, revision, content }).await {
            Ok(written) => {
                info!("event=software_recorded pool={pool} versions={}", join(&versions));
                match index {
                    Ok(index) => self.records[index] = written,
                    Err(index) => self.records.insert(index, written),
                }
                Ok(())
            }
            Err(error) => {
                // Another daemon may have written it, or the write may have been executed.
                self.read_again(observed_since).await?;
                Err(error)
            }
        }
    }

    /// Versions that the record of a pool holds, as far as this daemon knows.
    fn versions(&self, pool: &str) -> Option<&[Version]> {
        let name = name(pool);
        let index = self.records.binary_search_by(|record| record.name.cmp(&name)).ok()?;
        self.records[index].content.as_ref().map(|content| &*content.versions)
    }

    fn replace_records(&mut self, mut records: Vec<Record>) {
        records.sort_by(|a, b| a.name.cmp(&b.name));
        self.records = records;
    }
}

/// Name of a pool's record. The name of a pool may have any characters.
fn name(pool: &str) -> Arc<str> {
    digest::hex(pool.as_bytes())
}

/// Key by which daemons are ranked as writers of a pool's record.
fn key(pool: &str) -> String {
    format!("software/{pool}")
}

/// Pools of the routes of streams, in order of name.
fn stream_pools(daemon: &Daemon) -> Vec<Arc<str>> {
    let Some(snapshot) = daemon.view.config() else { return Vec::new() };
    let routes = snapshot.deployment.routes.iter().filter(|route| route.is_stream);
    let names = routes.flat_map(|route| route.pools.iter().map(|share| share.pool.clone()));
    let mut pools: Vec<Arc<str>> = names.collect();
    pools.sort();
    pools.dedup();
    pools
}

fn join(versions: &[Version]) -> String {
    versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
