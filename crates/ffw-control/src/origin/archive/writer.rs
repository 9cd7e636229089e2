//! Writes this daemon's copy when streams have begun that it lacks.

use {
    super::{CLEANUP_KEY, Content, Object, Storage},
    crate::{daemon::Daemon, origin::lock},
    ffw_decide::origin::began,
    ffw_protocol::{digest, error::Result, origin::Record},
    ffw_runtime::{clock, timer},
    log::{debug, warn},
    std::{sync::Arc, time::Duration},
};

/// Time for which streams that have just begun are collected.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Period at which a restore of the store is looked for, after which the copy may be missing.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Pause after the first failed write; doubles with each further failure.
const RETRY_FIRST: Duration = Duration::from_millis(300);

/// Longest pause after a failed write.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// The copy of this process, and what is needed to write it.
pub(super) struct Writer {
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
    /// A writer of a copy that does not exist yet.
    pub(super) fn new(daemon: Arc<Daemon>, storage: Storage, writes_per_s: f64) -> Writer {
        let identity = &daemon.identity;
        let name = format!("{}/{:x}", identity.instance, identity.incarnation);
        let name = digest::hex(name.as_bytes());
        let (revision, era, written) = (None, (storage.era)(), Vec::new());
        Writer { daemon, storage, writes_per_s, name, revision, era, written }
    }

    /// Writes the copy each time that it lacks a stream. Never returns.
    pub(super) async fn run(&mut self) {
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
        let copy = Object { name, revision: self.revision, content };
        let written = (self.storage.write)(copy).await?;
        debug!("event=origins_written records={}", records.len());
        self.daemon.metrics.routed.record_origin_copies("stored", records.len());
        self.revision = written.revision;
        self.written = records;
        Ok(true)
    }
}
