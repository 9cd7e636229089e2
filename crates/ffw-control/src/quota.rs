//! Quotas of workspaces, kept over all daemons together.
//!
//! For each workspace with a quota, the first daemon in rendezvous order keeps an account. The
//! others spend a small allowance of their own, and ask that daemon for what goes beyond it.

use {
    crate::{daemon::Daemon, identity, owner, suspect},
    ffw_decide::quota::{self, Account, Local, Tolerance},
    ffw_peer::{link::Answering, service::PeerClient},
    ffw_protocol::{
        declaration::{Unit, Workspace},
        digest,
        instance::Instance,
        quota::{Ask, Grant, Limit},
        time::Moment,
    },
    ffw_runtime::timer,
    log::{debug, info},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Timeout of a call to the daemon that keeps an account.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of daemons, in the order of ownership, that are asked for units.
const KEEPERS_ASKED: usize = 2;

/// Pause before the daemons that keep an account are asked again, after none was reached.
const KEEPER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Groups of workspaces that have the same keepers. Each needs an order of all daemons in memory.
const KEEPER_GROUPS: u64 = 64;

/// Retry-After of a request whose quota could not be checked, as no keeper was reached; the caller
/// may reach another daemon that does better.
const UNCHECKED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Tolerance until the settings state one: none, so that each request asks the keeper.
const NO_TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(1), overshoot: 0.0, slack: 0.0 };

/// Accounts and allowances of a daemon.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Mutex<Tolerance>,
    /// Accounts that this daemon keeps for all daemons, in order of workspace.
    kept: Mutex<Vec<Kept>>,
    /// What this daemon may use by itself, in order of workspace.
    local: Mutex<Vec<Own>>,
    /// Daemons that have answered a request for units, and so know the call.
    answering: Answering,
}

#[derive(Debug)]
struct Kept {
    workspace: Arc<str>,
    /// Configuration version of the limit.
    version: u64,
    declared: Limit,
    /// Place of this daemon at the last ask.
    place: Place,
    account: Account,
}

#[derive(Debug)]
struct Own {
    workspace: Arc<str>,
    local: Local,
    /// Used while no keeper is reached.
    isolated: Option<Account>,
}

/// Why a request gets no units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The quota is used up; units can be expected after this time.
    Exceeded(Duration),
    /// No daemon that keeps the account was reached.
    Unchecked(Duration),
}

/// Units that a request has got.
#[derive(Clone, Debug)]
pub struct Charge {
    workspace: Arc<str>,
    units: f64,
    granted_at: Moment,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Default for Quotas {
    fn default() -> Quotas {
        Quotas {
            tolerance: Mutex::new(NO_TOLERANCE),
            kept: Mutex::default(),
            local: Mutex::default(),
            answering: Answering::default(),
        }
    }
}

impl Quotas {
    /// Sets what quotas tolerate.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        *lock(&self.tolerance) = tolerance;
    }

    fn tolerance(&self) -> Tolerance {
        *lock(&self.tolerance)
    }

    /// Gives back the units of a request that reached no server.
    pub fn refund(&self, charge: &Charge) {
        let now = identity::now();
        let mut own = lock(&self.local);
        if let Ok(index) = own.binary_search_by(|own| own.workspace.cmp(&charge.workspace)) {
            own[index].local.refund(now, charge.granted_at, charge.units);
        }
    }

    /// Acts on what this daemon may use by itself.
    fn with_own<T>(
        &self,
        workspace: &Arc<str>,
        allowance: Limit,
        act: impl FnOnce(&mut Own, Moment) -> T,
    ) -> T {
        let now = identity::now();
        let mut own = lock(&self.local);
        let index = match own.binary_search_by(|own| own.workspace.cmp(workspace)) {
            Ok(index) => index,
            Err(index) => {
                let local = Local::new(now, allowance);
                own.insert(index, Own { workspace: workspace.clone(), local, isolated: None });
                index
            }
        };
        act(&mut own[index], now)
    }

    /// Forgets workspaces that are no longer declared.
    pub fn retain(&self, is_declared: impl Fn(&str) -> bool) {
        lock(&self.kept).retain(|kept| is_declared(&kept.workspace));
        lock(&self.local).retain(|own| is_declared(&own.workspace));
    }
}

/// Units of a request; `tokens` are those that it states.
pub fn units(unit: Unit, tokens: Option<f64>, default_tokens: u32) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens => tokens.unwrap_or_else(|| f64::from(default_tokens)),
    }
}

/// Takes the units of a request with `time_left` until its deadline, which may wait for them;
/// `None` if the workspace has no quota. `version` is the number of the configuration that declares
/// the workspace.
///
/// # Errors
/// [`Denial`] if the request has to be refused.
pub async fn take(
    daemon: &Arc<Daemon>,
    workspace: &Workspace,
    version: u64,
    tokens: Option<f64>,
    time_left: Duration,
) -> Result<Option<Charge>, Denial> {
    let Some(declared) = &workspace.quota else { return Ok(None) };
    let limit = Limit::from(declared);
    let units = units(declared.unit, tokens, declared.default_tokens);
    let name = &workspace.name;
    let daemons = daemon.view.ranked(&account_key(name)).len();
    let allowance = daemon.quotas.tolerance().allowance(limit, daemons);
    let has_local =
        daemon.quotas.with_own(name, allowance, |own, now| own.local.take(now, allowance, units));
    if !has_local {
        let ask = Ask {
            workspace: name.clone(),
            version,
            limit,
            units,
            patience: quota::patience(time_left),
            suspects: Vec::new(),
        };
        let limit = quota::keeper_patience(time_left);
        let start_in = wait_for_keeper(daemon, ask, allowance, daemons, limit).await?;
        timer::sleep(start_in).await;
    }
    Ok(Some(Charge { workspace: name.clone(), units, granted_at: identity::now() }))
}

/// Asks for units until a daemon that keeps the account is reached, or `limit` has passed. After many
/// daemons have ended at once, those that keep an account are mostly back within a second.
async fn wait_for_keeper(
    daemon: &Arc<Daemon>,
    ask: Ask,
    allowance: Limit,
    daemons: usize,
    limit: Duration,
) -> Result<Duration, Denial> {
    let started_at = Instant::now();
    loop {
        let ask = Ask { suspects: owner::skipped_daemons(daemon), ..ask.clone() };
        let taken = take_from_keeper(daemon, ask, allowance, daemons).await;
        let waits = started_at.elapsed() + KEEPER_RETRY_PAUSE < limit;
        if !waits || !matches!(taken, Err(Denial::Unchecked(_))) {
            return taken;
        }
        timer::sleep(KEEPER_RETRY_PAUSE).await;
    }
}

/// Asks the daemon that keeps the account, then the one that stands in for it. A daemon that
/// reaches neither uses a small share of the tolerated overshoot.
async fn take_from_keeper(
    daemon: &Arc<Daemon>,
    mut ask: Ask,
    allowance: Limit,
    daemons: usize,
) -> Result<Duration, Denial> {
    let key = account_key(&ask.workspace);
    for _ in 0..KEEPERS_ASKED {
        let Some(keeper) = owner::find_owner(daemon, &key, &ask.suspects) else { break };
        let grant = if keeper.name == daemon.identity.instance {
            grant(daemon, &ask)
        } else {
            call(daemon, &keeper, ask.clone()).await
        };
        match grant {
            Grant::Granted(start_in) => return Ok(start_in),
            Grant::Exceeded(retry_after) => return Err(Denial::Exceeded(retry_after)),
            Grant::Undecided => ask.suspects.push(keeper.name),
        }
    }
    let limit = daemon.quotas.tolerance().isolated(ask.limit, daemons);
    let is_taken = daemon.quotas.with_own(&ask.workspace, allowance, |own, now| {
        let account = own.isolated.get_or_insert_with(|| Account::new(now, limit));
        account.set_limit(now, limit);
        account.take_available(now, ask.units)
    });
    match is_taken {
        true => Ok(Duration::ZERO),
        false => Err(Denial::Unchecked(UNCHECKED_RETRY_AFTER)),
    }
}

async fn call(daemon: &Arc<Daemon>, keeper: &Instance, ask: Ask) -> Grant {
    let address = keeper.address;
    let answering = &daemon.quotas.answering;
    let is_known = answering.has_answered(address);
    let calling = async move |peer: PeerClient, context| peer.take_quota(context, ask).await;
    match answering.call(&daemon.peers, address, ASK_TIMEOUT, calling).await {
        Ok(grant) => grant,
        Err(error) => {
            debug!("event=quota_not_granted peer={} error=\"{error}\"", keeper.name);
            if is_known {
                suspect::suspect(daemon, &keeper.name, address);
            }
            Grant::Undecided
        }
    }
}

/// Grants units from the account that this daemon keeps, if it is the first by its own view.
pub fn grant(daemon: &Daemon, ask: &Ask) -> Grant {
    let key = account_key(&ask.workspace);
    if !owner::is_owner(daemon, &key, &ask.suspects) {
        return Grant::Undecided;
    }
    let own = &daemon.identity.instance;
    let ranked = daemon.view.ranked(&key);
    let preceding = ranked.iter().take_while(|listed| listed.name != *own).count();
    let place = Place { preceding, daemons: daemon.view.versions().daemons };
    let tolerance = daemon.quotas.tolerance();
    let now = identity::now();
    let mut kept = lock(&daemon.quotas.kept);
    let index = match kept.binary_search_by(|kept| kept.workspace.cmp(&ask.workspace)) {
        Ok(index) => index,
        Err(index) => {
            kept.insert(index, Kept::new(now, ask, place, tolerance));
            index
        }
    };
    let kept = &mut kept[index];
    kept.update(now, ask, place, tolerance);
    if preceding > 0 {
        // A daemon that stands in does not know whether the quota is used up.
        let is_taken = kept.account.take_available(now, ask.units);
        return if is_taken { Grant::Granted(Duration::ZERO) } else { Grant::Undecided };
    }
    match kept.account.take(now, ask.units, ask.patience) {
        Ok(start_in) => Grant::Granted(start_in),
        Err(retry_after) => Grant::Exceeded(retry_after),
    }
}

/// The place of this daemon in the order of keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    /// Number of daemons before it.
    preceding: usize,
    /// Version of the list of daemons.
    daemons: u64,
}

impl Kept {
    fn new(now: Moment, ask: &Ask, place: Place, tolerance: Tolerance) -> Kept {
        let (workspace, version, declared) = (ask.workspace.clone(), ask.version, ask.limit);
        info!(
            "event=quota_account workspace={workspace} version={version} per_s={} burst={} \
             preceding={}",
            declared.per_s, declared.burst, place.preceding
        );
        let account = Account::new(now, tolerance.kept(declared, place.preceding));
        Kept { workspace, version, declared, place, account }
    }

    /// Takes over the limit of a later version, a changed tolerance and a changed place. While the
    /// list of daemons was another one, another daemon may have kept the account and granted what
    /// has come in here since.
    fn update(&mut self, now: Moment, ask: &Ask, place: Place, tolerance: Tolerance) {
        let before = (self.declared, self.place.preceding);
        if ask.version > self.version {
            (self.version, self.declared) = (ask.version, ask.limit);
        }
        if place != self.place {
            self.account.empty(now);
            self.place = place;
        }
        self.account.set_limit(now, tolerance.kept(self.declared, place.preceding));
        if before != (self.declared, place.preceding) {
            info!(
                "event=quota_changed workspace={} version={} per_s={} burst={} preceding={}",
                self.workspace,
                self.version,
                self.declared.per_s,
                self.declared.burst,
                place.preceding
            );
        }
    }
}

/// Key by which the daemons are ranked that keep the account of a workspace.
fn account_key(workspace: &str) -> String {
    format!("quota/{}", digest::hash64(&[workspace]) % KEEPER_GROUPS)
}
