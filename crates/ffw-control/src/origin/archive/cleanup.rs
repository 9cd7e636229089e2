//! Removes the copies of processes that have ended.

use {
    super::{CLEANUP_KEY, Object, Storage},
    crate::{daemon::Daemon, origin::LIFETIME},
    ffw_runtime::timer,
    log::{debug, info},
    std::sync::Arc,
};

/// A copy as it was seen: its name and revision.
type Seen = (Arc<str>, Option<u64>);

/// Removes copies that have not changed for the lifetime of a record: their processes have ended, or
/// have had nothing to write. One daemon does this on behalf of all, until it shuts down.
pub(super) async fn run(daemon: Arc<Daemon>, storage: Storage) {
    let mut cleanup = Cleanup { era: (storage.era)(), storage, seen: Vec::new() };
    while !daemon.is_draining() {
        timer::sleep(LIFETIME).await;
        let ranked = daemon.view.ranked(CLEANUP_KEY);
        let is_first = ranked.first().is_some_and(|first| first.name == daemon.identity.instance);
        if is_first && daemon.software.is_any_stated() {
            cleanup.step().await;
        } else {
            cleanup.seen.clear();
        }
    }
}

struct Cleanup {
    storage: Storage,
    /// Era of the store in which the copies were seen.
    era: u64,
    /// The copies of the step before.
    seen: Vec<Seen>,
}

impl Cleanup {
    /// Removes the copies that have not changed since the step before.
    async fn step(&mut self) {
        let copies = match (self.storage.read)().await {
            Ok(copies) => copies,
            Err(error) => {
                debug!("event=origin_copies_unread error=\"{error}\"");
                return;
            }
        };
        self.forget_other_era();
        let seen = copies.iter().map(seen_as).collect();
        let before = std::mem::replace(&mut self.seen, seen);
        for copy in copies.into_iter().filter(|copy| before.contains(&seen_as(copy))) {
            self.remove(copy).await;
        }
    }

    /// After a restore of the store, revisions are given out again.
    fn forget_other_era(&mut self) {
        let era = (self.storage.era)();
        if era != self.era {
            self.era = era;
            self.seen.clear();
        }
    }

    async fn remove(&self, copy: Object) {
        let name = copy.name.clone();
        match (self.storage.remove)(copy).await {
            Ok(()) => info!("event=origin_copy_removed name={name}"),
            Err(error) => debug!("event=origin_copy_kept name={name} error=\"{error}\""),
        }
    }
}

fn seen_as(copy: &Object) -> Seen {
    (copy.name.clone(), copy.revision)
}
