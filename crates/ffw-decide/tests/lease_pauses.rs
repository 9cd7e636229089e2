//! Daemons that compete for a lease while they are paused at random times and lose the results of
//! writes. Guards against two daemons that act at once, which engines that don't check fencing
//! numbers can't prevent, and against fencing numbers that decrease, by which engines that do check
//! them would reject the current holder.

use {
    ffw_decide::lease::{Lease, Stored, TAKEOVER_TIME, Tracker, Write},
    ffw_protocol::time::Moment,
    ffw_support::seed,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
};

#[derive(Debug, Default)]
struct Store {
    lease: Option<Lease>,
    version: u64,
}

impl Store {
    fn seen(&self) -> Option<Stored> {
        let lease = self.lease.clone()?;
        Some(Stored { lease, resource_version: self.version.to_string().into() })
    }

    fn write(&mut self, attempt: Write) -> Option<Stored> {
        let lease = match attempt {
            Write::Create(lease) if self.lease.is_none() => lease,
            Write::Replace(resource, lease) if *resource == *self.version.to_string() => lease,
            _ => return None,
        };
        self.version += 1;
        self.lease = Some(lease);
        self.seen()
    }
}

struct Daemon {
    tracker: Tracker,
    paused_until: Moment,
}

fn daemons() -> Vec<Daemon> {
    let daemon = |number: u64| {
        let name: Arc<str> = format!("entry-{number}").into();
        Daemon { tracker: Tracker::new(name, number), paused_until: Moment(0) }
    };
    (1..=3).map(daemon).collect()
}

/// One round of a daemon: reads the lease unless the daemon holds it, then tries to acquire or
/// renew it. With `is_lost`, the result of the write does not reach the daemon.
fn round(daemon: &mut Daemon, store: &mut Store, now: Moment, is_lost: bool) {
    if daemon.tracker.fence(now).is_none() {
        daemon.tracker.record_read(now, store.seen());
    }
    let Some(attempt) = daemon.tracker.next_write(now) else { return };
    match store.write(attempt) {
        Some(seen) if !is_lost => daemon.tracker.record_written(now, seen),
        _ => daemon.tracker.mark_not_held(),
    }
}

#[test]
fn at_most_one_daemon_may_act_and_fences_never_decrease() {
    for seed in seed::seeds(&(0..300).collect::<Vec<_>>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut store, mut daemons) = (Store::default(), daemons());
        let mut now = Moment::from_millis(1);
        let mut highest = 0;
        for _ in 0..seed::steps(400) {
            now = now + Duration::from_millis(250);
            let index = rng.gen_range(0..daemons.len());
            if rng.gen_range(0..40) == 0 {
                daemons[index].paused_until =
                    now + Duration::from_millis(rng.gen_range(500..15_000));
            }
            if daemons[index].paused_until <= now {
                let is_lost = rng.gen_range(0..8) == 0;
                round(&mut daemons[index], &mut store, now, is_lost);
            }
            let acting = daemons.iter().filter_map(|daemon| daemon.tracker.fence(now));
            let acting: Vec<u64> = acting.collect();
            assert!(
                acting.len() <= 1,
                "seed {seed}: holders of the fences {acting:?} may act at once"
            );
            if let Some(fence) = acting.first() {
                assert!(*fence >= highest, "seed {seed}: fence {fence} after {highest}");
                highest = *fence;
            }
        }
    }
}

#[test]
fn a_holder_that_stops_renewing_is_replaced_with_a_higher_fence() {
    let (mut store, mut daemons) = (Store::default(), daemons());
    let mut now = Moment::from_millis(1);
    round(&mut daemons[0], &mut store, now, false);
    assert_eq!(daemons[0].tracker.fence(now), Some(1));
    let begin = now;
    while daemons[1].tracker.fence(now).is_none() {
        now = now + Duration::from_millis(500);
        round(&mut daemons[1], &mut store, now, false);
        assert!(now.since(begin) < TAKEOVER_TIME * 2, "no daemon acquires the expired lease");
    }
    assert!(now.since(begin) >= TAKEOVER_TIME);
    assert_eq!(daemons[1].tracker.fence(now), Some(2));
    assert_eq!(daemons[0].tracker.fence(now), None);
}

/// A store that is restored from copies of itself. Each era has a lease of its own.
#[derive(Debug, Default)]
struct RestoredStore {
    era: u64,
    /// The lease of each era.
    stores: Vec<Store>,
    copy: Vec<(Option<Lease>, u64)>,
}

impl RestoredStore {
    fn new() -> RestoredStore {
        RestoredStore { era: 1, stores: vec![Store::default(), Store::default()], copy: Vec::new() }
    }

    fn take_copy(&mut self) {
        self.copy = self.stores.iter().map(|store| (store.lease.clone(), store.version)).collect();
    }

    fn restore(&mut self) {
        self.era += 1;
        let copied = self
            .copy
            .iter()
            .map(|(lease, version)| Store { lease: lease.clone(), version: *version });
        self.stores = copied.collect();
        self.stores.resize_with(self.era as usize + 1, Store::default);
    }
}

/// Fencing numbers of an era start above this one.
fn fence_base(era: u64) -> u64 {
    era << 32
}

/// After a restore, the lease is older or missing, and its holder and others learn of it at
/// different times. Guards against two daemons that act at once, and against fencing numbers that
/// are given out again.
#[test]
fn a_restored_store_gives_no_fence_twice_and_no_two_holders() {
    for seed in seed::seeds(&(0..200).collect::<Vec<_>>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut store, mut daemons) = (RestoredStore::new(), daemons());
        let mut known = vec![1; daemons.len()];
        let mut now = Moment::from_millis(1);
        let (mut highest, mut holder) = (0, None);
        for _ in 0..seed::steps(800) {
            now = now + Duration::from_millis(250);
            match rng.gen_range(0..60) {
                0 => store.restore(),
                1..=3 => store.take_copy(),
                _ => {}
            }
            let index = rng.gen_range(0..daemons.len());
            if rng.gen_range(0..40) == 0 {
                let pause = Duration::from_millis(rng.gen_range(500..15_000));
                daemons[index].paused_until = now + pause;
            }
            if daemons[index].paused_until <= now {
                let daemon = &mut daemons[index];
                // The response to any call states the era; what it answers is dropped.
                if known[index] != store.era {
                    known[index] = store.era;
                    daemon.tracker.record_restore(now, fence_base(store.era));
                } else {
                    let is_lost = rng.gen_range(0..8) == 0;
                    round(daemon, &mut store.stores[known[index] as usize], now, is_lost);
                }
            }
            let acting = (0..daemons.len())
                .filter_map(|index| Some((index, daemons[index].tracker.fence(now)?)));
            let acting: Vec<(usize, u64)> = acting.collect();
            assert!(acting.len() <= 1, "seed {seed}: {acting:?} may act at once");
            if let Some((index, fence)) = acting.first() {
                assert!(*fence >= highest, "seed {seed}: fence {fence} after {highest}");
                let is_repeated = *fence == highest && holder.is_some_and(|last| last != *index);
                assert!(!is_repeated, "seed {seed}: fence {fence} of two holders");
                (highest, holder) = (*fence, Some(*index));
            }
        }
        assert!(highest > fence_base(1), "seed {seed}: no daemon acquired the lease");
    }
}
