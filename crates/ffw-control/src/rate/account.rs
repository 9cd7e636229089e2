//! The accounts of limited servers that this daemon keeps, and what it grants from them.

use {
    crate::{daemon::Daemon, identity, owner},
    ffw_decide::rate_limit::{self, Account, Granted},
    ffw_protocol::{
        instance::Role,
        rate::{Ask, Grant, Stated},
        time::Moment,
    },
    log::info,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Accounts, in order of their servers.
#[derive(Debug, Default)]
pub(super) struct Accounts(Mutex<Vec<Named>>);

#[derive(Debug)]
struct Named {
    server: Arc<str>,
    account: Account,
}

impl Accounts {
    /// Acts on the account of a server, which is opened if there is none.
    fn with<T>(&self, server: &Arc<str>, act: impl FnOnce(&mut Account, Moment) -> T) -> T {
        let now = identity::now();
        let mut accounts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let index = match accounts.binary_search_by(|named| named.server.cmp(server)) {
            Ok(index) => index,
            Err(index) => {
                let account = Account::new(now);
                accounts.insert(index, Named { server: server.clone(), account });
                index
            }
        };
        act(&mut accounts[index].account, now)
    }

    /// Closes the accounts of servers that are no longer listed.
    pub(super) fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let mut accounts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        accounts.retain(|named| is_listed(&named.server));
    }
}

/// The answer of a daemon that does not keep the account, or of none.
pub(super) fn refusal(stated: Stated) -> Grant {
    let (start_in, retry_after) = (Duration::ZERO, Duration::ZERO);
    Grant { is_owner: false, count: 0, start_in, retry_after, stated }
}

/// Grants permits to a daemon from the account that this one keeps; none if it is not the owner of
/// the pool's shard.
pub fn grant(daemon: &Daemon, ask: &Ask) -> Grant {
    if !owner::is_owner(daemon, &ask.pool, &ask.suspects) {
        return refusal(ask.stated);
    }
    let own = &daemon.identity.instance;
    let ranked = daemon.view.ranked(&ask.pool);
    let preceding = ranked.iter().take_while(|listed| listed.name != *own).count();
    let granted = daemon.rates.accounts.with(&ask.server, |account, now| {
        let is_changed = account.record(now, ask.stated);
        let share = rate_limit::share(preceding);
        account.set_share(now, share);
        if is_changed {
            info!(
                "event=limit_account pool={} server={} per_s={} share={share}",
                ask.pool, ask.server, ask.stated
            );
        }
        account.give_back(now, ask.unused);
        let granted = account.grant(now, &ask.daemon, ask.count, ask.patience);
        (granted, account.stated(now).unwrap_or(ask.stated))
    });
    let (Granted { count, start_in, retry_after }, stated) = granted;
    Grant { is_owner: true, count, start_in, retry_after, stated }
}

/// Grants permits of the small share that this daemon uses alone while it reaches no owner.
pub(super) fn grant_isolated(daemon: &Daemon, ask: &Ask) -> Granted {
    let roster = daemon.view.roster();
    let daemons = roster.instances.iter().filter(|listed| listed.role == Role::Entry).count();
    daemon.rates.isolated.with(&ask.server, |account, now| {
        account.record(now, ask.stated);
        account.set_share(now, rate_limit::isolated_share(daemons));
        account.grant(now, &ask.daemon, ask.count, ask.patience)
    })
}
