//! SHA-256 digests in hexadecimal, and 64-bit hashes for ordering instances and for prompt
//! prefixes.

use {sha2::Digest as _, std::sync::Arc};

/// SHA-256 of `bytes` in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> Arc<str> {
    hex::encode(sha2::Sha256::digest(bytes)).into()
}

/// First eight bytes, big-endian, of the SHA-256 of `parts`, each followed by a zero byte.
pub fn hash64(parts: &[&str]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    first_eight_bytes(&hasher.finalize())
}

/// 64-bit hash of `bytes` chained to `previous`, the hash of the preceding bytes.
pub fn chain_hash64(previous: u64, bytes: &[u8]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    hasher.update(previous.to_be_bytes());
    hasher.update(bytes);
    first_eight_bytes(&hasher.finalize())
}

fn first_eight_bytes(sum: &[u8]) -> u64 {
    sum.iter().take(8).fold(0, |acc, byte| acc << 8 | u64::from(*byte))
}
