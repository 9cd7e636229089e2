//! Rendezvous hashing, which decides the daemon that owns a shard.
//!
//! Each daemon gets a score for a shard, a hash of both names; the daemon with the highest score
//! owns the shard. When a daemon is added or removed, only those shards change their owner that
//! this daemon owns afterwards or owned before.

use ffw_protocol::{
    digest,
    instance::{Instance, Role},
};

/// The live daemons by descending score for the shard; the first one is the owner.
pub fn rank<'a>(shard: &str, instances: &'a [Instance]) -> Vec<&'a Instance> {
    let mut daemons: Vec<&Instance> =
        instances.iter().filter(|daemon| daemon.role == Role::Entry && daemon.is_live()).collect();
    daemons.sort_by_cached_key(|daemon| std::cmp::Reverse(digest::hash64(&[shard, &daemon.name])));
    daemons
}
