//! The daemon that owns a shard.

use {
    ffw_decide::rendezvous,
    ffw_protocol::instance::{Instance, Role, State},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

fn daemon(name: &str, capacity: u32) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Entry,
        data_centre: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        pool: "".into(),
        state: State::Live,
        capacity,
    }
}

/// Twenty daemons, of which every fourth has half a core and the others a tenth.
fn mixed_fleet() -> Vec<Instance> {
    (0..20).map(|n| daemon(&format!("d{n}"), if n % 4 == 0 { 500 } else { 100 })).collect()
}

/// Number of shards that each daemon owns, of 1,000.
fn owned(daemons: &[Instance]) -> BTreeMap<Arc<str>, u32> {
    let mut owned = BTreeMap::new();
    for shard in 0..1_000 {
        let owner = rendezvous::rank(&format!("pool-{shard}"), daemons)[0].name.clone();
        *owned.entry(owner).or_insert(0) += 1;
    }
    owned
}

/// The owner does work for every daemon. Guards against a small machine that falls behind and
/// delays the requests of its whole pool while large machines are idle.
#[test]
fn a_small_machine_owns_nothing_beside_large_ones() {
    let owned = owned(&mixed_fleet());
    assert_eq!(owned.len(), 5, "{owned:?}");
    for (name, count) in &owned {
        assert!((120..=280).contains(count), "{name} owns {count} of 1,000 shards");
    }
}

/// Small differences do not matter: a single largest machine must not own every shard.
#[test]
fn machines_of_similar_size_share_the_shards() {
    let daemons: Vec<Instance> = (0..8).map(|n| daemon(&format!("d{n}"), 300 + n * 30)).collect();
    assert_eq!(owned(&daemons).len(), 8);
}

#[test]
fn small_machines_own_the_shards_when_no_large_one_is_left() {
    let small: Vec<Instance> =
        mixed_fleet().into_iter().filter(|daemon| daemon.capacity == 100).collect();
    assert_eq!(owned(&small).len(), 15);
}

/// Each daemon ranks its own copy of the list, in which the order may differ.
#[test]
fn the_order_of_the_list_does_not_matter() {
    let daemons = mixed_fleet();
    let mut reversed = daemons.clone();
    reversed.reverse();
    let names = |ranked: Vec<&Instance>| -> Vec<Arc<str>> {
        ranked.into_iter().map(|daemon| daemon.name.clone()).collect()
    };
    for shard in ["a", "b", "c"] {
        let ranked = names(rendezvous::rank(shard, &daemons));
        assert_eq!(ranked, names(rendezvous::rank(shard, &reversed)));
        assert_eq!(ranked.len(), 20, "a daemon is missing from the order");
    }
}

/// Guards against shards that move although their owner is unaffected.
#[test]
fn the_loss_of_an_owner_moves_only_its_shards() {
    let daemons = mixed_fleet();
    let remaining: Vec<Instance> =
        daemons.iter().filter(|daemon| &*daemon.name != "d4").cloned().collect();
    for shard in 0..200 {
        let shard = format!("pool-{shard}");
        let before = &rendezvous::rank(&shard, &daemons)[0].name;
        let after = &rendezvous::rank(&shard, &remaining)[0].name;
        assert!(before == after || &**before == "d4", "{shard}: {before} to {after}");
    }
}
