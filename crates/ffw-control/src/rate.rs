//! Rate limits that backend servers state in their responses, followed by all daemons together.
//!
//! The owner of a pool's shard keeps an account for each limited server of the pool. The other
//! daemons get permits from it, ahead of their requests or for a request that waits. Each exchange
//! carries the latest statement of the server both ways, so that a daemon that hears of a change
//! tells the others.

use {
    crate::{daemon::Daemon, identity, owner, suspect},
    ffw_decide::{
        permits::Stock,
        rate_limit::{self, Account, Granted},
    },
    ffw_peer::service::PeerClient,
    ffw_protocol::{
        instance::{Instance, Role},
        rate::{Ask, Grant, Stated, Statement},
        time::Moment,
    },
    ffw_runtime::{executor, timer},
    log::{debug, info},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Timeout of a call to the daemon that keeps an account.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of daemons, in the order of ownership, that are asked for permits.
const OWNERS_ASKED: usize = 3;

/// Limits of servers, the permits that this daemon holds, and the accounts that it keeps.
#[derive(Debug, Default)]
pub struct Rates {
    /// In order of name; servers that have stated a limit since this daemon started.
    servers: Mutex<Vec<Server>>,
    /// In order of server; accounts for all daemons, and those that this daemon uses alone while it
    /// reaches no owner.
    accounts: Mutex<Vec<NamedAccount>>,
    isolated: Mutex<Vec<NamedAccount>>,
    /// Daemons that have answered a request for permits, and so know the call.
    answering: Mutex<Vec<SocketAddr>>,
}

#[derive(Debug)]
struct Server {
    name: Arc<str>,
    /// Requests a second from all daemons; `None` if the server no longer has a limit.
    per_s: Option<f64>,
    stated_at: Moment,
    stock: Stock,
}

#[derive(Debug)]
struct NamedAccount {
    server: Arc<str>,
    account: Account,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Rates {
    /// Acts on a server that has a limit; `None` if it has none.
    fn with_limited<T>(&self, server: &str, act: impl FnOnce(&mut Server) -> T) -> Option<T> {
        let mut servers = lock(&self.servers);
        let index = servers.binary_search_by(|listed| (*listed.name).cmp(server)).ok()?;
        let listed = &mut servers[index];
        listed.per_s.is_some().then(|| act(listed))
    }

    /// The limit of a server, in requests a second from all daemons; `None` if it has none.
    pub fn limit(&self, server: &str) -> Option<f64> {
        self.with_limited(server, |listed| listed.per_s)?
    }

    /// Whether a request may be sent to a server now: it has no limit, or a permit is at hand.
    pub fn has_room(&self, server: &str) -> bool {
        let now = identity::now();
        self.with_limited(server, |listed| listed.stock.has_permit(now)).unwrap_or(true)
    }

    /// Time after which a limited server can be expected to take a request; `None` if it may do so
    /// now.
    pub fn wait(&self, server: &str) -> Option<Duration> {
        let now = identity::now();
        self.with_limited(server, |listed| {
            let has_permit = listed.stock.has_permit(now);
            listed.stock.wait(now, Duration::ZERO).filter(|_| !has_permit)
        })?
    }

    /// Servers that take no request now because of their limit, in order.
    pub fn exhausted(&self) -> Vec<Arc<str>> {
        let now = identity::now();
        let mut servers = lock(&self.servers);
        let limited = servers.iter_mut().filter(|listed| listed.per_s.is_some());
        let exhausted = limited.filter_map(|listed| {
            let is_exhausted =
                !listed.stock.has_permit(now) && listed.stock.wait(now, Duration::ZERO).is_some();
            is_exhausted.then(|| listed.name.clone())
        });
        exhausted.collect()
    }

    /// Uses a permit for a request to a server; `None` if the server has no limit.
    fn take(&self, server: &str) -> Option<bool> {
        let now = identity::now();
        self.with_limited(server, |listed| listed.stock.take(now))
    }

    /// Gives up a permit whose request was not sent.
    pub fn give_up(&self, server: &str) {
        self.with_limited(server, |listed| listed.stock.give_up());
    }

    fn stated(&self, server: &str) -> Option<Stated> {
        let servers = lock(&self.servers);
        let index = servers.binary_search_by(|listed| (*listed.name).cmp(server)).ok()?;
        let listed = &servers[index];
        Some(Stated { per_s: listed.per_s, age: identity::now().since(listed.stated_at) })
    }

    /// Records a statement, unless a later one is known; returns whether the limit changed, and
    /// from what.
    fn record(&self, server: &Arc<str>, stated: Stated) -> Option<Option<f64>> {
        let stated_at = identity::now() - stated.age;
        let mut servers = lock(&self.servers);
        match servers.binary_search_by(|listed| listed.name.cmp(server)) {
            Ok(index) if servers[index].stated_at <= stated_at => {
                let listed = &mut servers[index];
                listed.stated_at = stated_at;
                let before = std::mem::replace(&mut listed.per_s, stated.per_s);
                if before.is_none() || stated.per_s.is_none() {
                    listed.stock = Stock::default();
                }
                (before != stated.per_s).then_some(before)
            }
            Err(index) if stated.per_s.is_some() => {
                let (name, per_s) = (server.clone(), stated.per_s);
                servers.insert(index, Server { name, per_s, stated_at, stock: Stock::default() });
                Some(None)
            }
            _ => None,
        }
    }
}

/// Records what a server's response says about its limit. A change is reported to the daemon that
/// keeps the account.
pub fn record(daemon: &Arc<Daemon>, server: &Arc<str>, statement: Statement) {
    let per_s = match statement {
        Statement::Unknown => return,
        Statement::Unlimited => None,
        Statement::PerSecond(per_s) => Some(per_s),
    };
    let stated = Stated { per_s, age: Duration::ZERO };
    if record_stated(daemon, server, stated, "response") {
        let (daemon, server) = (daemon.clone(), server.clone());
        executor::detach(async move {
            request_permits(&daemon, &server, 0, Duration::ZERO).await;
        });
    }
}

/// Records a statement; returns whether the limit changed.
fn record_stated(daemon: &Daemon, server: &Arc<str>, stated: Stated, told_by: &str) -> bool {
    let Some(before) = daemon.rates.record(server, stated) else { return false };
    let before = Stated { per_s: before, age: Duration::ZERO };
    info!(
        "event=server_limit server={server} per_s={stated} before={before} told_by={told_by} \
         age_ms={}",
        stated.age.as_millis()
    );
    daemon.metrics.routed.record_limit(server, stated.per_s);
    true
}

/// Counts a request that could go to a server, and asks for permits ahead if it has a limit and
/// none is left.
pub fn record_demand(daemon: &Arc<Daemon>, server: &Arc<str>) {
    let now = identity::now();
    let next_ask = daemon.rates.with_limited(server, |listed| {
        listed.stock.record_demand(now);
        listed.stock.next_ask(now)
    });
    let Some(Some(count)) = next_ask else { return };
    let (daemon, server) = (daemon.clone(), server.clone());
    executor::detach(async move {
        let granted = request_permits(&daemon, &server, count, Duration::ZERO).await;
        let now = identity::now();
        daemon.rates.with_limited(&server, |listed| listed.stock.record_answer(now, granted));
    });
}

/// Uses a permit that is at hand for a request to a server; returns whether the request may be
/// sent.
pub fn take(daemon: &Daemon, server: &str) -> bool {
    let taken = daemon.rates.take(server);
    if taken == Some(true) {
        daemon.metrics.routed.record_limited(server, true);
    }
    taken.unwrap_or(true)
}

/// Waits for a permit for a request to a server, for at most `patience`.
///
/// # Errors
/// Time after which a permit can be expected by a request with the same patience, at once.
pub async fn acquire(
    daemon: &Arc<Daemon>,
    server: &Arc<str>,
    patience: Duration,
) -> Result<(), Duration> {
    if take(daemon, server) {
        return Ok(());
    }
    let acquired = acquire_from_owner(daemon, server, patience).await;
    daemon.metrics.routed.record_limited(server, acquired.is_ok());
    acquired
}

async fn acquire_from_owner(
    daemon: &Arc<Daemon>,
    server: &Arc<str>,
    patience: Duration,
) -> Result<(), Duration> {
    let now = identity::now();
    let wait = daemon.rates.with_limited(server, |listed| listed.stock.wait(now, patience));
    if let Some(Some(wait)) = wait {
        return Err(wait);
    }
    let granted = request_permits(daemon, server, 1, patience).await;
    let refused = Granted { retry_after: ASK_TIMEOUT, ..Granted::default() };
    let granted = granted.unwrap_or(refused);
    if granted.count > 0 {
        timer::sleep(granted.start_in).await;
        return Ok(());
    }
    let now = identity::now();
    daemon.rates.with_limited(server, |listed| {
        listed.stock.record_refusal(now, patience, granted.retry_after);
    });
    Err(granted.retry_after)
}

/// Time until a server of a pool and role takes requests; `None` unless all of them that take work
/// are pushing back or have used up their limits.
pub fn pushback(daemon: &Daemon, pool: &str, role: Role) -> Option<Duration> {
    daemon.view.pushback(pool, role, |server| daemon.rates.wait(server))
}

/// Asks for permits, first the daemon that keeps the account, then those that stand in for it. A
/// daemon that reaches none of them uses a small share of the limit alone. `None` if the server is
/// not listed.
async fn request_permits(
    daemon: &Arc<Daemon>,
    server: &Arc<str>,
    count: u32,
    patience: Duration,
) -> Option<Granted> {
    let pool = daemon.view.roster().find(server)?.pool.clone();
    let stated = daemon.rates.stated(server)?;
    let unused = daemon.rates.with_limited(server, |listed| listed.stock.take_unused());
    let unused = unused.unwrap_or(0);
    let suspects = owner::skipped_daemons(daemon);
    let (asking, server_name) = (daemon.identity.instance.clone(), server.clone());
    let mut ask = Ask {
        daemon: asking,
        pool,
        server: server_name,
        stated,
        count,
        unused,
        patience,
        suspects,
    };
    for _ in 0..OWNERS_ASKED {
        let Some(owner) = owner::find_owner(daemon, &ask.pool, &ask.suspects) else { break };
        let grant = if owner.name == daemon.identity.instance {
            grant(daemon, &ask)
        } else {
            call(daemon, &owner, ask.clone()).await
        };
        if grant.is_owner {
            record_stated(daemon, server, grant.stated, "owner");
            let Grant { count, start_in, retry_after, .. } = grant;
            return Some(Granted { count, start_in, retry_after });
        }
        ask.suspects.push(owner.name);
    }
    Some(grant_isolated(daemon, &ask))
}

fn not_granted(stated: Stated) -> Grant {
    let (start_in, retry_after) = (Duration::ZERO, Duration::ZERO);
    Grant { is_owner: false, count: 0, start_in, retry_after, stated }
}

async fn call(daemon: &Arc<Daemon>, owner: &Instance, ask: Ask) -> Grant {
    let (address, stated) = (owner.address, ask.stated);
    let is_known = lock(&daemon.rates.answering).contains(&address);
    let calling = async move |peer: PeerClient, context| peer.take_permits(context, ask).await;
    // A peer of an earlier build closes the connection on a call that it does not know.
    let answer = if is_known {
        daemon.peers.call(address, ASK_TIMEOUT, calling).await
    } else {
        daemon.peers.call_apart(address, ASK_TIMEOUT, calling).await
    };
    match answer {
        Ok(grant) => {
            if !is_known {
                lock(&daemon.rates.answering).push(address);
            }
            grant
        }
        Err(error) => {
            debug!("event=permits_not_granted peer={} error=\"{error}\"", owner.name);
            if is_known {
                lock(&daemon.rates.answering).retain(|answering| *answering != address);
                suspect::suspect(daemon, &owner.name, address);
            }
            not_granted(stated)
        }
    }
}

/// Grants permits to a daemon from the account that this one keeps; none if it is not the owner of
/// the pool's shard.
pub fn grant(daemon: &Daemon, ask: &Ask) -> Grant {
    if !owner::is_owner(daemon, &ask.pool, &ask.suspects) {
        return not_granted(ask.stated);
    }
    let own = &daemon.identity.instance;
    let ranked = daemon.view.ranked(&ask.pool);
    let preceding = ranked.iter().take_while(|listed| listed.name != *own).count();
    let granted = with_account(&daemon.rates.accounts, &ask.server, |account, now| {
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

fn grant_isolated(daemon: &Daemon, ask: &Ask) -> Granted {
    let roster = daemon.view.roster();
    let daemons = roster.instances.iter().filter(|listed| listed.role == Role::Entry).count();
    with_account(&daemon.rates.isolated, &ask.server, |account, now| {
        account.record(now, ask.stated);
        account.set_share(now, rate_limit::isolated_share(daemons));
        account.grant(now, &ask.daemon, ask.count, ask.patience)
    })
}

fn with_account<T>(
    accounts: &Mutex<Vec<NamedAccount>>,
    server: &Arc<str>,
    act: impl FnOnce(&mut Account, Moment) -> T,
) -> T {
    let now = identity::now();
    let mut accounts = lock(accounts);
    let index = match accounts.binary_search_by(|listed| listed.server.cmp(server)) {
        Ok(index) => index,
        Err(index) => {
            let account = Account::new(now);
            accounts.insert(index, NamedAccount { server: server.clone(), account });
            index
        }
    };
    act(&mut accounts[index].account, now)
}

/// Forgets servers that are no longer listed.
pub fn clean_up(daemon: &Daemon, is_listed: impl Fn(&str) -> bool) {
    for accounts in [&daemon.rates.accounts, &daemon.rates.isolated] {
        lock(accounts).retain(|listed| is_listed(&listed.server));
    }
    lock(&daemon.rates.servers).retain(|server| {
        let is_kept = is_listed(&server.name);
        if !is_kept {
            daemon.metrics.routed.forget_server(&server.name);
        }
        is_kept
    });
}
