//! Where streams began: the software version of the backend server that wrote the first event of a
//! caller's attempt. Daemons keep such records for each other.

use {
    crate::{digest, software::Version},
    serde::{Deserialize, Serialize},
};

/// A caller's attempt at a pool: a hash of the pool and of the id that the caller chose for the
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// The key of an attempt.
    pub fn new(pool: &str, request: &str) -> Key {
        Key(digest::hash64(&[pool, request]))
    }
}

/// Version at which the stream of an attempt began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The attempt.
    pub key: Key,
    /// Version of the server that wrote the first event.
    pub software: Version,
}
