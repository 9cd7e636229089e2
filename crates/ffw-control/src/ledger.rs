//! The ledger: records of decisions, in one hash chain for each process. New records are copied to
//! another daemon within a fraction of a second, and stored in the platform's object API in
//! segments, every ten seconds or when a segment is full. If a process ends before it has stored
//! its records, the daemon with the copies stores them.

pub mod packed;

use {
    crate::{
        daemon::Daemon,
        identity::{self, Identity},
    },
    ffw_peer::handler::HeldRecords,
    ffw_platform::{
        fault::Fault,
        store::{Kind, Object},
    },
    ffw_protocol::{
        admission::{Attempt, Grant},
        error::Result,
        id,
        instance::{Instance, Role},
        ledger::{Event, Record, Segment},
    },
    ffw_runtime::timer,
    log::{info, warn},
    packed::Packed,
    smol::channel::{self, Receiver, Sender},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Delay after a new record before it is copied to another daemon, so that one message carries
/// further records.
const COPY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time between two rounds that store the unstored records, unless a segment is full.
const STORE_PERIOD: Duration = Duration::from_secs(10);

/// Most records of one segment. Compressed, such a segment is far below a megabyte.
const SEGMENT_RECORDS_MAX: usize = 5_000;

/// Timeout of a call to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Most records of one copy message.
const COPY_RECORDS_MAX: usize = 2_000;

/// Unstored records of this process, and copies of the unstored records of others.
#[derive(Debug)]
pub struct Ledger {
    /// Whether records are made at all.
    is_enabled: bool,
    own: Mutex<Chain>,
    /// One segment for each process whose records this daemon holds.
    copies: Mutex<Vec<Segment>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

/// The hash chain of this process.
#[derive(Debug)]
struct Chain {
    instance: Arc<str>,
    incarnation: u64,
    last_hash: Arc<str>,
    /// Number of the next record; the first record has number 1.
    next: u64,
    /// Hash of the last stored record; empty before the first.
    stored_hash: Arc<str>,
    unstored: Vec<Record>,
    /// Number of the last record that is stored or that the present holder has a copy of; 0 if
    /// there is none, and after the holder has changed.
    copied: u64,
}

/// Attempt, workspace and service that a record is about.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The attempt. Its number is 0 for events of a request before its first attempt.
    pub attempt: Attempt,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
}

impl Ledger {
    /// An empty chain. Without `is_enabled`, no records are made.
    pub fn new(identity: &Identity, is_enabled: bool) -> Ledger {
        let own = Mutex::new(Chain {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            last_hash: "".into(),
            next: 1,
            stored_hash: "".into(),
            unstored: Vec::new(),
            copied: 0,
        });
        let (wake, woken) = channel::bounded(1);
        Ledger { is_enabled, own, copies: Mutex::default(), wake, woken }
    }

    /// Appends a record to this process's chain.
    pub fn append(&self, subject: &Subject, event: Event) {
        if !self.is_enabled {
            return;
        }
        let mut chain = self.own();
        let mut record = Record {
            number: chain.next,
            at_ms: identity::unix_ms(),
            request: subject.attempt.request.to_string().into(),
            attempt: subject.attempt.number,
            workspace: subject.workspace.clone(),
            service: subject.service.clone(),
            event,
            hash: "".into(),
        };
        record.hash = record.sealed_hash(&chain.last_hash);
        chain.last_hash = record.hash.clone();
        chain.next += 1;
        chain.unstored.push(record);
        drop(chain);
        self.wake.try_send(()).ok();
    }

    /// Number of this process's records that are not stored yet.
    pub fn unstored(&self) -> u64 {
        self.own().unstored.len() as u64
    }

    /// Unstored records of one request that this daemon has: its own, and copies of others'.
    pub fn records_of(&self, request: &str) -> Vec<Record> {
        let is_asked = |record: &&Record| &*record.request == request;
        let own = self.own();
        let copies = self.copies();
        let copied = copies.iter().flat_map(|segment| &segment.records);
        own.unstored.iter().chain(copied).filter(is_asked).cloned().collect()
    }

    /// Unstored grants of one epoch that this daemon has: its own, and copies of others'.
    pub fn grants_of(&self, epoch: u64) -> Vec<Record> {
        let is_asked = |record: &&Record| match &record.event {
            Event::Granted(grant) => grant.epoch == epoch,
            _ => false,
        };
        let own = self.own();
        let copies = self.copies();
        let copied = copies.iter().flat_map(|segment| &segment.records);
        own.unstored.iter().chain(copied).filter(is_asked).cloned().collect()
    }

    /// Adds copies of another daemon's records, and drops the copies of those that are stored.
    pub fn add_copies(&self, held: HeldRecords) {
        let HeldRecords { segment, stored } = held;
        let mut copies = self.copies();
        let found = copies.iter_mut().find(|copy| {
            copy.instance == segment.instance && copy.incarnation == segment.incarnation
        });
        match found {
            Some(copy) => merge(copy, segment, stored),
            None => copies.push(segment),
        }
    }

    fn own(&self) -> MutexGuard<'_, Chain> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn copies(&self) -> MutexGuard<'_, Vec<Segment>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The oldest unstored records as a segment; none if all are stored.
    fn next_segment(&self) -> Option<Segment> {
        let chain = self.own();
        let count = chain.unstored.len().min(SEGMENT_RECORDS_MAX);
        (count > 0).then(|| Segment {
            instance: chain.instance.clone(),
            incarnation: chain.incarnation,
            previous: chain.stored_hash.clone(),
            records: chain.unstored[..count].to_vec(),
        })
    }

    fn mark_stored(&self, segment: &Segment) {
        let Some(last) = segment.records.last() else { return };
        let mut chain = self.own();
        chain.unstored.retain(|record| record.number > last.number);
        chain.stored_hash = last.hash.clone();
        chain.copied = chain.copied.max(last.number);
    }

    /// The next records to copy, at most [`COPY_RECORDS_MAX`]; `None` if the present holder has
    /// copies of all unstored records.
    fn next_copy(&self) -> Option<HeldRecords> {
        let chain = self.own();
        let stored = chain.next - 1 - chain.unstored.len() as u64;
        let start = chain.unstored.partition_point(|record| record.number <= chain.copied);
        let new = &chain.unstored[start..];
        if new.is_empty() {
            return None;
        }
        let previous = match start {
            0 => chain.stored_hash.clone(),
            _ => chain.unstored[start - 1].hash.clone(),
        };
        let segment = Segment {
            instance: chain.instance.clone(),
            incarnation: chain.incarnation,
            previous,
            records: new.iter().take(COPY_RECORDS_MAX).cloned().collect(),
        };
        Some(HeldRecords { segment, stored })
    }

    fn mark_copied(&self, last: u64) {
        let mut chain = self.own();
        chain.copied = chain.copied.max(last);
    }

    /// Marks all unstored records as not copied, since another daemon is to hold the copies.
    fn reset_copied(&self) {
        self.own().copied = 0;
    }
}

/// Adds the records that follow the copied ones, and drops those up to the number `stored`.
fn merge(copy: &mut Segment, mut new: Segment, stored: u64) {
    let last = copy.records.last().map_or(0, |record| record.number);
    new.records.retain(|record| record.number > last);
    if copy.records.is_empty() {
        copy.previous = new.previous;
    }
    copy.records.append(&mut new.records);
    let stored_count = copy.records.partition_point(|record| record.number <= stored);
    if stored_count > 0 {
        copy.previous = copy.records[stored_count - 1].hash.clone();
        copy.records.drain(..stored_count);
    }
}

/// Copies and stores records for as long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>) {
    let mut stored_at = Instant::now();
    let mut holder: Option<Instance> = None;
    loop {
        // New records wake the loop.
        let _ = timer::timeout(STORE_PERIOD / 4, daemon.ledger.woken.recv()).await;
        timer::sleep(COPY_DELAY).await;
        copy(&daemon, &mut holder).await;
        daemon.metrics.unstored_records.set(daemon.ledger.unstored() as i64);
        let is_due = stored_at.elapsed() >= STORE_PERIOD
            || daemon.ledger.unstored() >= SEGMENT_RECORDS_MAX as u64;
        if is_due {
            stored_at = Instant::now();
            store_all(&daemon).await;
            store_copies_of_ended(&daemon).await;
        }
    }
}

/// Copies new records to another daemon. When the choice of that daemon changes, all unstored
/// records are copied to the new one.
async fn copy(daemon: &Daemon, holder: &mut Option<Instance>) {
    let chosen = choose_holder(daemon);
    if chosen.as_ref().map(|listed| &listed.name) != holder.as_ref().map(|listed| &listed.name) {
        daemon.ledger.reset_copied();
        *holder = chosen;
    }
    let Some(holder) = holder else { return };
    let Some(HeldRecords { segment, stored }) = daemon.ledger.next_copy() else { return };
    let last = segment.records.last().map_or(0, |record| record.number);
    let held = daemon.peers.call(holder.address, PEER_TIMEOUT, async move |peer, context| {
        peer.hold_records(context, segment, stored).await
    });
    if held.await.is_ok() {
        daemon.ledger.mark_copied(last);
    }
}

/// The daemon that is to hold the copies: the first in rendezvous order for this instance's name
/// that is no suspect.
fn choose_holder(daemon: &Daemon) -> Option<Instance> {
    let own = &daemon.identity.instance;
    let suspects = daemon.suspects.names();
    let ranked = daemon.view.ranked(own);
    ranked.iter().find(|listed| listed.name != *own && !suspects.contains(&listed.name)).cloned()
}

/// Stores all unstored records; returns false after the first failure.
pub async fn store_all(daemon: &Daemon) -> bool {
    while let Some(segment) = daemon.ledger.next_segment() {
        if let Err(err) = store(daemon, &segment).await {
            warn!("event=ledger_store_failed error=\"{err}\"");
            return false;
        }
        daemon.ledger.mark_stored(&segment);
    }
    true
}

async fn store(daemon: &Daemon, segment: &Segment) -> Result<()> {
    let Some(first) = segment.records.first() else { return Ok(()) };
    let name = segment_name(&segment.instance, segment.incarnation, first.number);
    let packed = Packed::new(segment)?;
    match daemon.store.create(Kind::Segments, &name, packed.clone()).await {
        Ok(_) => Ok(()),
        Err(Fault::Conflict | Fault::Lost(_)) => ensure_stored(daemon, &name, &packed).await,
        Err(fault) => Err(fault.to_error()),
    }
}

/// Reads the stored segment of this name, and replaces it if it ends before the one to be stored.
async fn ensure_stored(daemon: &Daemon, name: &str, packed: &Packed) -> Result<()> {
    let found: std::result::Result<Object<Packed>, Fault> =
        daemon.store.get(Kind::Segments, name).await;
    match found {
        Ok(object) if object.spec.last >= packed.last => Ok(()),
        Ok(object) => {
            // An earlier write of a shorter segment took effect although its answer was lost.
            let object = Object { metadata: object.metadata, spec: packed.clone() };
            let updated = daemon.store.update(Kind::Segments, &object).await;
            updated.map(drop).map_err(|fault| fault.to_error())
        }
        Err(fault) => Err(fault.to_error()),
    }
}

/// Name of a segment's object; `first` is the number of its first record.
fn segment_name(instance: &str, incarnation: u64, first: u64) -> String {
    format!("{instance}.{incarnation:x}.{first:012}")
}

/// Stores the copied records of processes that ended without storing them.
async fn store_copies_of_ended(daemon: &Daemon) {
    for segment in copies_of_ended(daemon).await {
        match store(daemon, &segment).await {
            Ok(()) => {
                info!(
                    "event=ledger_copy_stored instance={} records={}",
                    segment.instance,
                    segment.records.len()
                );
                daemon.ledger.copies().retain(|copy| {
                    (&copy.instance, copy.incarnation) != (&segment.instance, segment.incarnation)
                });
            }
            Err(err) => warn!("event=ledger_store_failed error=\"{err}\""),
        }
    }
}

/// Copies whose process has ended: its instance has left the list, or runs a later process.
async fn copies_of_ended(daemon: &Daemon) -> Vec<Segment> {
    let roster = daemon.view.roster();
    let copies = daemon.ledger.copies().clone();
    let mut found = Vec::new();
    for segment in copies.into_iter().filter(|copy| !copy.records.is_empty()) {
        let is_entry = |instance: &&Instance| {
            instance.role == Role::Entry && instance.name == segment.instance
        };
        let has_ended = match roster.instances.iter().find(is_entry) {
            None => true,
            Some(listed) => is_replaced(daemon, listed, &segment).await,
        };
        if has_ended {
            found.push(segment);
        }
    }
    found
}

/// Whether the instance now runs a later process than the one that wrote the segment; false if it
/// does not answer.
async fn is_replaced(daemon: &Daemon, listed: &Instance, segment: &Segment) -> bool {
    let status = daemon
        .peers
        .call(listed.address, PEER_TIMEOUT, async move |peer, context| peer.status(context).await);
    status.await.is_ok_and(|status| status.incarnation > segment.incarnation)
}

/// Reads the stored segments whose names start with `prefix`: an instance, or one of its
/// incarnations.
///
/// # Errors
/// The platform's object API does not answer, or an object is damaged.
pub async fn read_stored(daemon: &Daemon, prefix: &str) -> Result<Vec<Segment>> {
    let list = daemon.store.list::<Packed>(Kind::Segments, prefix).await;
    let list = list.map_err(|fault| fault.to_error())?;
    list.items.iter().map(|object| object.spec.unpack()).collect()
}

/// Records of one request from every daemon and from the platform, in order of time.
///
/// Daemons that do not answer are left out, and so are stored segments if the platform's object API
/// does not answer.
pub async fn records_of_request(daemon: &Daemon, request: &str) -> Vec<Record> {
    let mut records = gather_held(daemon, request).await;
    let Ok(id) = request.parse::<id::Request>() else { return records };
    let entry_chain = format!("{}.{:x}.", id.instance, id.incarnation);
    let mut segments = read_stored(daemon, &entry_chain).await.unwrap_or_default();
    for owner in owners(&records, &segments, request) {
        let prefix = format!("{owner}.");
        segments.extend(read_stored(daemon, &prefix).await.unwrap_or_default());
    }
    let stored = segments.into_iter().flat_map(|segment| segment.records);
    records.extend(stored.filter(|record| &*record.request == request));
    in_order(records)
}

/// Records of one request that daemons hold in memory.
async fn gather_held(daemon: &Daemon, request: &str) -> Vec<Record> {
    let mut records = daemon.ledger.records_of(request);
    for peer_daemon in other_daemons(daemon) {
        let request: Arc<str> = request.into();
        let asked =
            daemon.peers.call(peer_daemon.address, PEER_TIMEOUT, async move |peer, context| {
                peer.records_of(context, request).await
            });
        records.extend(asked.await.unwrap_or_default());
    }
    records
}

fn other_daemons(daemon: &Daemon) -> Vec<Instance> {
    let roster = daemon.view.roster();
    let own = &daemon.identity.instance;
    let others = roster.instances.iter();
    others.filter(|other| other.role == Role::Entry && other.name != *own).cloned().collect()
}

/// Owners that granted an attempt of a request.
fn owners(held: &[Record], segments: &[Segment], request: &str) -> Vec<Arc<str>> {
    let stored = segments.iter().flat_map(|segment| &segment.records);
    let owner_of = |record: &Record| match &record.event {
        Event::Granted(grant) if &*record.request == request => Some(grant.owner.clone()),
        _ => None,
    };
    let mut owners: Vec<Arc<str>> = held.iter().chain(stored).filter_map(owner_of).collect();
    owners.sort();
    owners.dedup();
    owners
}

fn in_order(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by(|a, b| (a.at_ms, &a.hash).cmp(&(b.at_ms, &b.hash)));
    records.dedup_by(|a, b| a.hash == b.hash);
    records
}

/// The last `count` grants of an owner's epoch up to and including the given grant, in order of
/// number.
///
/// Daemons that do not answer are left out, and so are stored segments if the platform's object API
/// does not answer.
pub async fn grants_up_to(daemon: &Daemon, grant: &Grant, count: usize) -> Vec<Record> {
    let mut records = daemon.ledger.grants_of(grant.epoch);
    for peer_daemon in other_daemons(daemon) {
        let epoch = grant.epoch;
        let asked =
            daemon.peers.call(peer_daemon.address, PEER_TIMEOUT, async move |peer, context| {
                peer.grants_of(context, epoch).await
            });
        records.extend(asked.await.unwrap_or_default());
    }
    let stored = read_stored(daemon, &format!("{}.", grant.owner)).await.unwrap_or_default();
    records.extend(stored.into_iter().flat_map(|segment| segment.records));
    // 0 for a record that is none of these grants.
    let number = |record: &Record| match &record.event {
        Event::Granted(other) if other.epoch == grant.epoch && other.number <= grant.number => {
            other.number
        }
        _ => 0,
    };
    records.retain(|record| number(record) > 0);
    records.sort_by_key(number);
    records.dedup_by_key(|record| number(record));
    records.split_off(records.len().saturating_sub(count))
}
