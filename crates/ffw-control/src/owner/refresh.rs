//! Brings an owned shard up to date with the daemon's view: settings, backend servers and entries.

use {
    crate::{daemon::Daemon, identity, owned::OwnedShard, snapshot::Snapshot},
    ffw_decide::{baseline::Policy, shard},
    ffw_peer::service::Roster,
    ffw_protocol::{instance::Role, time::Moment},
    std::{sync::Arc, time::Duration},
};

/// Period at which a shard is brought up to date with an unchanged view, because entries are
/// dropped some time after they have left it.
const VIEW_PERIOD: Duration = Duration::from_millis(500);

/// What a shard was last brought up to date with.
pub(super) struct Applied {
    roster: Arc<Roster>,
    config: Arc<Snapshot>,
    leaving: Vec<Arc<str>>,
    at: Moment,
}

impl Applied {
    fn is_current(&self, now: &Applied) -> bool {
        Arc::ptr_eq(&self.roster, &now.roster)
            && Arc::ptr_eq(&self.config, &now.config)
            && self.leaving == now.leaving
            && now.at.since(self.at) < VIEW_PERIOD
    }
}

/// Brings the shard's settings, members and entries up to date with the view, if the view has
/// changed or [`VIEW_PERIOD`] has passed. It is called before each step, most of which find the
/// view unchanged.
pub(super) fn update_from_view(daemon: &Daemon, owned: &OwnedShard, applied: &mut Option<Applied>) {
    let Some(config) = daemon.view.config() else { return };
    let roster = daemon.view.roster();
    let mut leaving = daemon.owned_shards.self_reported_leaving();
    leaving.extend(daemon.view.notices().leaving());
    let now = Applied { roster: roster.clone(), config, leaving, at: identity::now() };
    if applied.as_ref().is_some_and(|applied| applied.is_current(&now)) {
        return;
    }
    *applied = Some(now);
    let Some(settings) = shard_settings(daemon, &owned.pool) else { return };
    let members = members(daemon, &owned.pool);
    let daemons = roster.instances.iter().filter(|instance| instance.role == Role::Entry);
    let mut names: Vec<Arc<str>> = daemons.map(|listed| listed.name.clone()).collect();
    names.sort_unstable();
    let mut state = owned.lock();
    state.shard.configure(settings);
    state.shard.set_members(&members);
    // A list without this daemon cancels no entries: it is empty because none has been read yet, or
    // it is older than this daemon's registration.
    if names.binary_search(&daemon.identity.instance).is_ok() {
        state.shard.cancel_unlisted_entries(identity::now(), &names);
    }
}

/// Settings of a pool's shard from the configuration in force; `None` if it does not declare the
/// pool.
pub(super) fn shard_settings(daemon: &Daemon, pool: &str) -> Option<shard::Settings> {
    let snapshot = daemon.view.config()?;
    let declared = snapshot.deployment.pool(pool)?;
    let mut settings = snapshot.shard_settings(declared);
    if daemon.policy == Policy::FixedSplit {
        reduce_to_share(daemon, &mut settings);
    }
    Some(settings)
}

/// Reduces the settings to this daemon's share of the pool, for [`Policy::FixedSplit`].
fn reduce_to_share(daemon: &Daemon, settings: &mut shard::Settings) {
    let roster = daemon.view.roster();
    let daemons = roster
        .instances
        .iter()
        .filter(|instance| instance.role == Role::Entry && instance.is_live());
    let names: Vec<Arc<str>> = daemons.map(|listed| listed.name.clone()).collect();
    let own = &daemon.identity.instance;
    settings.slots = ffw_decide::baseline::share(settings.slots, &names, own);
    let count = names.len().max(1) as u32;
    settings.prefill_rate /= count;
    settings.link_rate /= count;
}

/// Listed servers of a pool, with those marked that are leaving.
pub(super) fn members(daemon: &Daemon, pool: &str) -> shard::Members {
    let leaving = daemon.owned_shards.self_reported_leaving();
    shard::Members {
        prefills: daemon.view.members(pool, Role::Prefill, &leaving),
        decodes: daemon.view.members(pool, Role::Decode, &leaving),
    }
}
