//! Gets permits for this daemon's requests to limited servers from the daemon that keeps the
//! account.

use {
    super::{account, record_stated, take},
    crate::{daemon::Daemon, identity, owner, suspect},
    ffw_decide::rate_limit::Granted,
    ffw_peer::service::PeerClient,
    ffw_protocol::{
        instance::Instance,
        rate::{Ask, Grant},
    },
    ffw_runtime::{executor, timer},
    log::debug,
    std::{sync::Arc, time::Duration},
};

/// Timeout of a call to the daemon that keeps an account.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of daemons, in the order of ownership, that are asked for permits.
const OWNERS_ASKED: usize = 3;

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
        let granted = send(&daemon, &server, count, Duration::ZERO).await;
        let now = identity::now();
        daemon.rates.with_limited(&server, |listed| listed.stock.record_answer(now, granted));
    });
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
    let granted = send(daemon, server, 1, patience).await;
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

/// Asks for permits, first the daemon that keeps the account, then those that stand in for it. A
/// daemon that reaches none of them uses a small share of the limit alone. `None` if the server is
/// not listed.
pub(super) async fn send(
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
            account::grant(daemon, &ask)
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
    Some(account::grant_isolated(daemon, &ask))
}

async fn call(daemon: &Arc<Daemon>, owner: &Instance, ask: Ask) -> Grant {
    let (address, stated) = (owner.address, ask.stated);
    let answering = &daemon.rates.answering;
    let is_known = answering.has_answered(address);
    let calling = async move |peer: PeerClient, context| peer.take_permits(context, ask).await;
    match answering.call(&daemon.peers, address, ASK_TIMEOUT, calling).await {
        Ok(grant) => grant,
        Err(error) => {
            debug!("event=permits_not_granted peer={} error=\"{error}\"", owner.name);
            if is_known {
                suspect::suspect(daemon, &owner.name, address);
            }
            account::refusal(stated)
        }
    }
}
