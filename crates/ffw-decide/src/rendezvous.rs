//! Rendezvous hashing, which decides the daemon that owns a shard.
//!
//! Both names, of the shard and of a daemon, are hashed together; the daemon with the highest hash
//! owns the shard. When a daemon is added or removed, only those shards change their owner that
//! this daemon owns afterwards or owned before.
//!
//! Daemons with much less capacity than the largest one come after all others: the owner does work
//! for every daemon, and a small machine that falls behind delays the requests of the whole pool.

use {
    ffw_protocol::{
        digest,
        instance::{Instance, Role},
    },
    std::cmp::Reverse,
};

/// Share of the largest capacity below which a daemon comes after the others.
const CAPACITY_SHARE_MIN: f64 = 0.5;

/// The live daemons in the order in which they come into question as the owner of the shard: those
/// with enough capacity first, each group by descending hash.
pub fn rank<'a>(shard: &str, instances: &'a [Instance]) -> Vec<&'a Instance> {
    let mut daemons: Vec<&Instance> =
        instances.iter().filter(|daemon| daemon.role == Role::Entry && daemon.is_live()).collect();
    let largest = daemons.iter().map(|daemon| daemon.capacity).max().unwrap_or(0);
    let least = f64::from(largest) * CAPACITY_SHARE_MIN;
    daemons.sort_by_cached_key(|daemon| {
        let is_small = f64::from(daemon.capacity) < least;
        (is_small, Reverse(digest::hash64(&[shard, &daemon.name])))
    });
    daemons
}
