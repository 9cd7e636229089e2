//! Records of decisions and the chain that binds them.

use {
    crate::{admission, digest, error},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What a record tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The request arrived at its entry.
    Arrived {
        /// Prompt length in tokens.
        tokens_in: u32,
        /// Most output tokens.
        tokens_out: u32,
    },
    /// The owner gave a place.
    Granted(admission::Grant),
    /// The owner refused.
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
        /// What the caller was told of the work.
        run: error::Run,
    },
    /// An attempt ended and its engine work was of no use.
    Wasted {
        /// Prompt tokens whose prefill was thrown away.
        tokens: u32,
    },
}

/// One record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number within the chain of one incarnation, from 1.
    pub number: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Request id.
    pub request: Arc<str>,
    /// Number of the attempt; 0 before the first.
    pub attempt: u32,
    /// Workspace that the record belongs to.
    pub workspace: Arc<str>,
    /// Service asked for.
    pub service: Arc<str>,
    /// What happened.
    pub event: Event,
    /// Hash of this record and the one before.
    pub hash: Arc<str>,
}

impl Record {
    /// The hash that this record must carry after `previous`.
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

/// A run of records from one incarnation of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Instance that wrote the chain.
    pub instance: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Hash before the first record.
    pub previous: Arc<str>,
    /// Records in order.
    pub records: Vec<Record>,
}

/// Where a chain breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// Instance whose chain it is.
    pub instance: Arc<str>,
    /// Record number at the break.
    pub number: u64,
    /// What is wrong.
    pub what: &'static str,
}

/// Checks the segments of one chain, in any order. Segments may overlap: a copy that another daemon
/// stored may hold records that were stored already, if they are the same.
///
/// # Errors
/// The first break: a gap in the numbers, a wrong link, a wrong hash, or two records of one number.
pub fn verify(segments: &[Segment]) -> Result<u64, Break> {
    let mut sorted: Vec<&Segment> = segments.iter().filter(|seg| !seg.records.is_empty()).collect();
    sorted.sort_by_key(|seg| seg.records.first().map_or(0, |record| record.number));
    let mut hashes: Vec<Arc<str>> = Vec::new();
    for segment in sorted {
        let mut previous = segment.previous.clone();
        for record in &segment.records {
            check_link(&hashes, record, &previous).map_err(|what| Break {
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

/// Checks one record against those before it, whose hashes are known from the first on.
fn check_link(hashes: &[Arc<str>], record: &Record, previous: &str) -> Result<(), &'static str> {
    let before = (record.number as usize).checked_sub(1).ok_or("a record has number 0")?;
    if before > hashes.len() {
        return Err("a record is missing");
    }
    let expected = before.checked_sub(1).map_or("", |at| &*hashes[at]);
    if previous != expected {
        return Err("the record does not follow the one before it");
    }
    if record.hash != record.sealed_hash(previous) {
        return Err("the record was changed after it was written");
    }
    match hashes.get(before) {
        Some(known) if *known != record.hash => Err("two records have the same number"),
        _ => Ok(()),
    }
}
