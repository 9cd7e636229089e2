//! Records of the decisions and outcomes of requests. The records of one incarnation of an instance
//! form a hash chain, so that missing and changed records are detected.

use {
    crate::{admission, digest, error},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The request arrived at its entry.
    Arrived {
        /// Prompt length in tokens.
        tokens_in: u32,
        /// Maximum number of output tokens.
        tokens_out: u32,
    },
    /// The owner granted a reservation.
    Granted(admission::Grant),
    /// The owner refused the admission request.
    Refused(admission::Refusal),
    /// The request ended with an answer.
    Answered {
        /// Output tokens or bytes delivered.
        delivered: u64,
        /// Time from arrival to the first token, in milliseconds.
        first_ms: u64,
        /// Time from arrival to the end, in milliseconds.
        total_ms: u64,
    },
    /// The request ended with an error.
    Failed {
        /// Kind of the error.
        kind: error::Kind,
        /// Whether the work ran, as reported to the caller.
        run: error::Run,
    },
    /// An attempt ended and its engine work was wasted.
    Wasted {
        /// Prompt tokens whose prefill was discarded.
        tokens: u32,
    },
}

/// One record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number within the chain of one incarnation, starting at 1.
    pub number: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Request id.
    pub request: Arc<str>,
    /// Number of the attempt; 0 before the first attempt.
    pub attempt: u32,
    /// Workspace that the record belongs to.
    pub workspace: Arc<str>,
    /// Requested service.
    pub service: Arc<str>,
    /// What happened.
    pub event: Event,
    /// Hash of this record's other fields and the previous record's hash.
    pub hash: Arc<str>,
}

impl Record {
    /// The hash that this record must have if `previous` is the hash of the record before it; empty
    /// for the first record.
    pub fn sealed_hash(&self, previous: &str) -> Arc<str> {
        let fields = (
            self.number,
            self.at_ms,
            &self.request,
            self.attempt,
            &self.workspace,
            &self.service,
            &self.event,
        );
        let text = serde_json::to_string(&(previous, fields)).unwrap_or_default();
        digest::hex(text.as_bytes())
    }
}

/// Consecutive records from one incarnation of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Instance that wrote the chain.
    pub instance: Arc<str>,
    /// Incarnation of that instance: start of its process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Hash of the record before the first one here; empty at the start of the chain.
    pub previous: Arc<str>,
    /// Records in order.
    pub records: Vec<Record>,
}

/// First invalid record of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainBreak {
    /// Instance that wrote the chain.
    pub instance: Arc<str>,
    /// Number of the invalid record.
    pub number: u64,
    /// Description of the fault.
    pub what: &'static str,
}

/// Verifies the segments of one chain, given in any order, and returns the number of records.
/// Segments may overlap, because a copy stored by another daemon may contain records that were
/// stored already; such records must be identical.
///
/// # Errors
/// The first fault: a gap in the numbers, a link to a wrong hash, a wrong hash, or two different
/// records with the same number.
pub fn verify(segments: &[Segment]) -> Result<u64, ChainBreak> {
    let mut sorted: Vec<&Segment> = segments.iter().filter(|seg| !seg.records.is_empty()).collect();
    sorted.sort_by_key(|seg| seg.records.first().map_or(0, |record| record.number));
    let mut hashes: Vec<Arc<str>> = Vec::new();
    for segment in sorted {
        let mut previous = segment.previous.clone();
        for record in &segment.records {
            check_link(&hashes, record, &previous).map_err(|what| ChainBreak {
                instance: segment.instance.clone(),
                number: record.number,
                what,
            })?;
            previous = record.hash.clone();
            if record.number > hashes.len() as u64 {
                hashes.push(record.hash.clone());
            }
        }
    }
    Ok(hashes.len() as u64)
}

/// Checks one record against `hashes`, the hashes of all records verified so far in chain order.
fn check_link(hashes: &[Arc<str>], record: &Record, previous: &str) -> Result<(), &'static str> {
    let before = (record.number as usize).checked_sub(1).ok_or("a record has number 0")?;
    if before > hashes.len() {
        return Err("a record is missing");
    }
    let expected = before.checked_sub(1).map_or("", |index| &*hashes[index]);
    if previous != expected {
        return Err("the record does not follow the one before it");
    }
    if record.hash != record.sealed_hash(previous) {
        return Err("the record was changed after it was written");
    }
    match hashes.get(before) {
        Some(existing) if *existing != record.hash => Err("two records have the same number"),
        _ => Ok(()),
    }
}
