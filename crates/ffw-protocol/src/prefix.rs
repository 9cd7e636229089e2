//! Hashes of a prompt's prefixes, which identify cached KV prefixes.
//!
//! The salt separates workspaces, so a cache hit can't reveal what another workspace has sent.

use crate::digest;

/// Hashes of the prefixes of `prompt` that consist of whole pieces of `piece_bytes` bytes, shortest
/// prefix first. The hash of a prefix chains the hashes of its pieces, starting from `salt`. An
/// incomplete last piece is not hashed.
pub fn hashes(salt: &str, prompt: &str, piece_bytes: usize) -> Vec<u64> {
    let mut chained = digest::hash64(&[salt]);
    let pieces = prompt.as_bytes().chunks_exact(piece_bytes.max(1));
    let hash_piece = |piece: &[u8]| {
        chained = digest::chain_hash64(chained, piece);
        chained
    };
    pieces.map(hash_piece).collect()
}
