//! Streams that began at this daemon and that their callers may still take up, for the copy of them
//! in the store.
//!
//! The load pattern is a kill of all daemons while servers of several software versions serve: no
//! daemon's memory tells then where a stream began. What has to outlive the daemons is little, as a
//! stream that has come to its end is not taken up. So streams that end well are removed, and the
//! table holds those that run and those that broke off lately.

use {
    ffw_protocol::{
        origin::{Key, Record},
        software::Version,
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// Largest number of streams in the table; the oldest yield. A daemon runs some hundred streams.
pub const STREAMS_MAX: usize = 4_096;

/// Shortest time between two writes of one daemon.
const INTERVAL_MIN: Duration = Duration::from_millis(250);

/// Share of the store's rate of writes that all daemons together use for their copies.
const WRITE_SHARE: f64 = 0.25;

/// Time between two writes of each of this many daemons to a store that takes `writes_per_s` from
/// all of them.
pub fn interval(daemons: usize, writes_per_s: f64) -> Duration {
    let seconds = daemons as f64 / (writes_per_s * WRITE_SHARE).max(1.0);
    INTERVAL_MIN.max(Duration::from_secs_f64(seconds))
}

/// The table.
#[derive(Clone, Debug)]
pub struct Began {
    lifetime: Duration,
    /// In order of key.
    streams: Vec<Stream>,
}

#[derive(Clone, Debug)]
struct Stream {
    key: Key,
    pool: Arc<str>,
    software: Version,
    began_at: Moment,
}

impl Began {
    /// An empty table that keeps each stream for `lifetime` at most.
    pub fn new(lifetime: Duration) -> Began {
        Began { lifetime, streams: Vec::new() }
    }

    /// Adds a stream of a pool.
    pub fn record(&mut self, now: Moment, pool: &Arc<str>, record: &Record) {
        let Record { key, software } = record.clone();
        let stream = Stream { key, pool: pool.clone(), software, began_at: now };
        match self.streams.binary_search_by_key(&key, |stream| stream.key) {
            Ok(index) => self.streams[index] = stream,
            Err(index) => self.streams.insert(index, stream),
        }
        if self.streams.len() > STREAMS_MAX {
            self.expire(now);
            self.evict();
        }
    }

    /// Removes a stream that has come to its end.
    pub fn remove(&mut self, key: Key) {
        if let Ok(index) = self.streams.binary_search_by_key(&key, |stream| stream.key) {
            self.streams.remove(index);
        }
    }

    /// The records, in order of key, of the streams of those pools that `is_kept` names.
    pub fn records(&mut self, now: Moment, is_kept: impl Fn(&str) -> bool) -> Vec<Record> {
        self.expire(now);
        let kept = self.streams.iter().filter(|stream| is_kept(&stream.pool));
        kept.map(|stream| Record { key: stream.key, software: stream.software.clone() }).collect()
    }

    /// Whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        let lifetime = self.lifetime;
        self.streams.retain(|stream| now.since(stream.began_at) < lifetime);
    }

    /// Removes the oldest streams beyond [`STREAMS_MAX`].
    fn evict(&mut self) {
        while self.streams.len() > STREAMS_MAX {
            let oldest = self.streams.iter().enumerate().min_by_key(|(_, stream)| stream.began_at);
            let Some((index, _)) = oldest else { return };
            self.streams.remove(index);
        }
    }
}

/// Whether the copy of a daemon in the store lacks one of the records. Both are in order of key.
/// Records that are no longer needed make no write necessary.
pub fn lacks(copy: &[Record], records: &[Record]) -> bool {
    let is_missing = |record: &Record| match copy.binary_search_by_key(&record.key, |it| it.key) {
        Ok(index) => copy[index].software != record.software,
        Err(_) => true,
    };
    records.iter().any(is_missing)
}
