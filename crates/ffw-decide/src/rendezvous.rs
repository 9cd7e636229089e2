//! Rendezvous hashing: which daemon owns a shard.
//!
//! Each daemon is scored by a hash of its name and the shard's; the highest score owns. When a
//! daemon comes or goes, only the shards that it owns, or comes to own, move.

use {
    ffw_protocol::{
        digest,
        instance::{Instance, Role},
    },
    std::sync::Arc,
};

/// Live daemons from the first choice for the shard to the last.
pub fn rank<'a>(shard: &str, instances: &'a [Instance]) -> Vec<&'a Instance> {
    let mut daemons: Vec<&Instance> =
        instances.iter().filter(|one| one.role == Role::Entry && one.is_live()).collect();
    daemons.sort_by_key(|one| std::cmp::Reverse(digest::short(&[shard, &one.name])));
    daemons
}

/// The first choice for the shard that is not suspected of having failed.
pub fn owner<'a>(
    shard: &str,
    instances: &'a [Instance],
    suspects: &[Arc<str>],
) -> Option<&'a Instance> {
    rank(shard, instances).into_iter().find(|one| !suspects.contains(&one.name))
}
