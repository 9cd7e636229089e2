//! Rendezvous hashing: which daemon owns a shard.
//!
//! Each daemon is scored by a hash of its name and the shard's; the highest score owns. When a
//! daemon comes or goes, only the shards that it owns, or comes to own, move.

use ffw_protocol::{
    digest,
    instance::{Instance, Role},
};

/// Live daemons from the first choice for the shard to the last.
pub fn rank<'a>(shard: &str, instances: &'a [Instance]) -> Vec<&'a Instance> {
    let mut daemons: Vec<&Instance> =
        instances.iter().filter(|one| one.role == Role::Entry && one.is_live()).collect();
    daemons.sort_by_cached_key(|one| std::cmp::Reverse(digest::short(&[shard, &one.name])));
    daemons
}
