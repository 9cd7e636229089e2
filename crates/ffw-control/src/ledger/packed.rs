//! Stored form of the ledger's segments: JSON, compressed with zstd, in hexadecimal.

use {
    ffw_protocol::{
        error::{Error, Kind as ErrorKind, Result},
        ledger::Segment,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Compression level of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// Size limit of an unpacked segment, in bytes. A larger object is taken to be damaged.
const UNPACKED_BYTES_MAX: usize = 64 << 20;

/// A segment as stored, with fields that are readable without unpacking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// Instance that wrote the chain.
    pub instance: Arc<str>,
    /// Number of the first record; 0 if there is none.
    pub first: u64,
    /// Number of the last record; 0 if there is none.
    pub last: u64,
    /// Time of the first record, in milliseconds since the Unix epoch; 0 if there is none.
    pub from_ms: u64,
    /// The segment as JSON, zstd-compressed, in hexadecimal.
    pub zstd: Arc<str>,
}

impl Packed {
    pub(super) fn new(segment: &Segment) -> Result<Packed> {
        let json = serde_json::to_vec(segment).map_err(internal)?;
        let packed = zstd::bulk::compress(&json, COMPRESSION_LEVEL).map_err(internal)?;
        let (first, last) = (segment.records.first(), segment.records.last());
        Ok(Packed {
            instance: segment.instance.clone(),
            first: first.map_or(0, |record| record.number),
            last: last.map_or(0, |record| record.number),
            from_ms: first.map_or(0, |record| record.at_ms),
            zstd: hex::encode(packed).into(),
        })
    }

    /// Unpacks the segment.
    ///
    /// # Errors
    /// The object is damaged, or larger than the limit when unpacked.
    pub fn unpack(&self) -> Result<Segment> {
        let packed = hex::decode(self.zstd.as_bytes()).map_err(internal)?;
        let json = zstd::bulk::decompress(&packed, UNPACKED_BYTES_MAX).map_err(internal)?;
        serde_json::from_slice(&json).map_err(internal)
    }
}

fn internal(err: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, format!("ledger segment: {err}"))
}
