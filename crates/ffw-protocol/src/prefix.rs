//! Hashes of a prompt's leading pieces, by which cached prefixes are found again.
//!
//! The salt keeps workspaces apart: nobody learns from a cache hit what another workspace has sent.

use crate::digest;

/// Hash of each whole leading piece together with all pieces before it, shortest first.
pub fn hashes(salt: &str, prompt: &str, piece_bytes: usize) -> Vec<u64> {
    let mut chained = digest::short(&[salt]);
    let pieces = prompt.as_bytes().chunks_exact(piece_bytes.max(1));
    let hash_piece = |piece: &[u8]| {
        chained = digest::chain(chained, piece);
        chained
    };
    pieces.map(hash_piece).collect()
}
