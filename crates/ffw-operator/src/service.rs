//! Implementation of the operators' RPC. Every call needs an operator key.
//!
//! The daemon that receives a call executes it. `status` and `burn` ask every live daemon; a daemon
//! that does not answer in time is reported as such and does not fail the call.

pub mod convert;
pub mod explain;

use {
    crate::{
        generated::{
            ApplyRequest, BurnReply, BurnRequest, Chain, ChangeReply, CheckReply, CheckRequest,
            Daemon as DaemonState, DrainRequest, ExplainReply, ExplainRequest, GetRequest,
            HistoryReply, HistoryRequest, PlanReply, PlanRequest, StatusReply, StatusRequest,
            VerifyLedgerReply, VerifyLedgerRequest, Version, operator_server::Operator,
        },
        key::{self, Key},
    },
    convert::{status_of, to_burn, to_daemon, to_version},
    ffw_control::{
        burn, calls,
        change::{self, Outcome},
        daemon::Daemon,
        freshness::Arrival,
        identity, ledger, relay,
    },
    ffw_decide::config::{Change, Edit},
    ffw_peer::service::{Burn, Status as PeerStatus},
    ffw_protocol::{
        config,
        declaration::Deployment,
        error::{Error, Kind},
        instance::{Instance, Role},
        ledger::{Segment, verify},
    },
    ffw_runtime::timer,
    log::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tonic::{Request, Response, Status},
};

/// Time limit for a call to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two offers of a version to the daemons that have not confirmed it.
const OFFER_PAUSE: Duration = Duration::from_millis(100);

/// Maximum time for which a change waits for confirmations, whatever the operator asks for.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(60);

/// The operators' RPC as served by one daemon.
#[derive(Clone, Debug)]
pub struct Service {
    daemon: Arc<Daemon>,
    keys: Arc<[Key]>,
}

type Reply<T> = Result<Response<T>, Status>;

impl Service {
    /// A service that accepts calls with any of the given keys.
    pub fn new(daemon: Arc<Daemon>, keys: Arc<[Key]>) -> Service {
        Service { daemon, keys }
    }

    /// Name of the operator whose key the call carries; an error if the key is missing or unknown.
    fn author<T>(&self, request: &Request<T>) -> Result<Arc<str>, Status> {
        let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
        let sent = header.and_then(|text| text.strip_prefix("Bearer "));
        let key = sent.and_then(|sent| key::find(&self.keys, sent.trim()));
        key.map(|key| key.name.clone()).ok_or_else(|| {
            let message = "the operator key is missing or unknown";
            status_of(&Error::new(Kind::Unauthenticated, message))
        })
    }

    /// Makes a change and, if it was accepted, distributes the new version. If another change came
    /// first, the reply contains the version in force and what this change would alter in it.
    async fn apply_change(&self, change: Change, wait: Duration) -> Reply<ChangeReply> {
        check_reason_and_id(&change).map_err(|error| status_of(&error))?;
        let edit = change.edit.clone();
        let (id, author) = (change.id.clone(), change.author.clone());
        let outcome = change::apply(&self.daemon, change).await.map_err(|err| status_of(&err))?;
        match outcome {
            Outcome::Accepted(version) => {
                let number = version.number;
                info!("event=config_accepted version={number} change={id} author={author}");
                self.daemon.update_config_apart(version.clone(), Arrival::offered()).await;
                let (confirmed, unconfirmed) = self.distribute(number, wait).await;
                Ok(Response::new(ChangeReply {
                    accepted: true,
                    version: Some(to_version(&version)),
                    difference: String::new(),
                    confirmed,
                    unconfirmed,
                }))
            }
            Outcome::Conflict(version) => {
                let in_force = version.as_ref().map_or("", |version| &*version.declaration);
                let difference = match &edit {
                    Edit::Declare(text) => config::difference(in_force, text),
                    Edit::Drain(names) => format!("drained: {names:?}\n"),
                };
                Ok(Response::new(ChangeReply {
                    accepted: false,
                    version: version.as_ref().map(to_version),
                    difference,
                    confirmed: Vec::new(),
                    unconfirmed: Vec::new(),
                }))
            }
        }
    }

    /// Offers a version to all live daemons until each has it in force, or until `wait` (at most
    /// [`MAX_CONFIRMATION_WAIT`]) has passed. Returns the names of the daemons that have it in
    /// force, and of the live daemons that do not.
    async fn distribute(&self, number: u64, wait: Duration) -> (Vec<String>, Vec<String>) {
        let start = Instant::now();
        let mut confirmed = Vec::new();
        loop {
            confirmed = relay::distribute(&self.daemon, number, confirmed).await;
            let missing = self.live_daemons().into_iter().filter(|name| !confirmed.contains(name));
            let missing: Vec<Arc<str>> = missing.collect();
            if missing.is_empty() || start.elapsed() >= wait.min(MAX_CONFIRMATION_WAIT) {
                return (to_strings(&confirmed), to_strings(&missing));
            }
            timer::sleep(OFFER_PAUSE).await;
        }
    }

    fn live_daemons(&self) -> Vec<Arc<str>> {
        self.daemons().into_iter().map(|daemon| daemon.name).collect()
    }

    /// The live daemons of the instance list.
    fn daemons(&self) -> Vec<Instance> {
        let roster = self.daemon.view.roster();
        let instances = roster.instances.iter();
        instances
            .filter(|instance| instance.role == Role::Entry && instance.is_live())
            .cloned()
            .collect()
    }

    /// State of one daemon; `None` if it does not answer within [`PEER_TIMEOUT`].
    async fn status_of_daemon(&self, daemon: &Instance) -> Option<PeerStatus> {
        if daemon.name == self.daemon.identity.instance {
            return Some(calls::status(&self.daemon));
        }
        let calling =
            self.daemon.peers.call(daemon.address, PEER_TIMEOUT, async move |peer, context| {
                peer.status(context).await
            });
        calling.await.ok()
    }

    /// Service-level counts of one daemon; `None` if it does not answer within [`PEER_TIMEOUT`].
    async fn burn_of_daemon(&self, daemon: &Instance) -> Option<Vec<Burn>> {
        if daemon.name == self.daemon.identity.instance {
            return Some(burn::rows(&self.daemon));
        }
        let calling =
            self.daemon.peers.call(daemon.address, PEER_TIMEOUT, async move |peer, context| {
                peer.burn(context).await
            });
        calling.await.ok()
    }
}

fn to_strings(names: &[Arc<str>]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn check_reason_and_id(change: &Change) -> Result<(), Error> {
    let missing = [("reason", &change.reason), ("change", &change.id)];
    for (field, value) in missing {
        if value.trim().is_empty() {
            let message = format!("`{field}` is empty; each change must have a reason and an id");
            return Err(Error::new(Kind::Invalid, message));
        }
    }
    Ok(())
}

/// What is wrong with a declaration for a daemon of this deployment; empty if it can be applied.
fn problems(declaration: &str, deployment: &str) -> Vec<String> {
    match Deployment::parse_submitted(declaration) {
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
        Ok(parsed) if *parsed.deployment != *deployment => {
            let declared = &parsed.deployment;
            vec![format!("deployment: is `{declared}`, but this daemon serves `{deployment}`")]
        }
        Ok(_) => Vec::new(),
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn check(&self, request: Request<CheckRequest>) -> Reply<CheckReply> {
        self.author(&request)?;
        let declaration = request.into_inner().declaration;
        let problems = problems(&declaration, &self.daemon.deployment);
        Ok(Response::new(CheckReply { problems }))
    }

    async fn plan(&self, request: Request<PlanRequest>) -> Reply<PlanReply> {
        self.author(&request)?;
        let declaration = request.into_inner().declaration;
        let current = change::current(&self.daemon).await.map_err(|err| status_of(&err))?;
        let in_force = current.as_ref().map_or("", |version| &*version.declaration);
        Ok(Response::new(PlanReply {
            problems: problems(&declaration, &self.daemon.deployment),
            in_force: current.as_ref().map_or(0, |version| version.number),
            difference: config::difference(in_force, &declaration),
        }))
    }

    async fn apply(&self, request: Request<ApplyRequest>) -> Reply<ChangeReply> {
        let author = self.author(&request)?;
        let request = request.into_inner();
        let problems = problems(&request.declaration, &self.daemon.deployment);
        if !problems.is_empty() {
            return Err(status_of(&Error::new(Kind::Invalid, problems.join("; "))));
        }
        let change = Change {
            id: request.change.into(),
            author,
            reason: request.reason.into(),
            expected: request.expected,
            at_ms: identity::unix_ms(),
            edit: Edit::Declare(request.declaration.into()),
        };
        self.apply_change(change, Duration::from_millis(request.wait_ms)).await
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Reply<ChangeReply> {
        let author = self.author(&request)?;
        let request = request.into_inner();
        let server: Arc<str> = request.server.into();
        let roster = self.daemon.view.roster();
        let is_backend =
            |instance: &Instance| instance.name == server && instance.role != Role::Entry;
        if !request.undo && !roster.instances.iter().any(is_backend) {
            let message = format!("no backend server `{server}` is in the instance list");
            return Err(status_of(&Error::new(Kind::NotFound, message)));
        }
        let current = change::current(&self.daemon).await.map_err(|err| status_of(&err))?;
        let mut drained = current.map(|version| version.drained.clone()).unwrap_or_default();
        drained.retain(|name| *name != server);
        if !request.undo {
            drained.push(server);
            drained.sort();
        }
        let change = Change {
            id: request.change.into(),
            author,
            reason: request.reason.into(),
            expected: request.expected,
            at_ms: identity::unix_ms(),
            edit: Edit::Drain(drained),
        };
        self.apply_change(change, Duration::from_millis(request.wait_ms)).await
    }

    async fn get(&self, request: Request<GetRequest>) -> Reply<Version> {
        self.author(&request)?;
        let number = request.into_inner().number;
        let history = change::history(&self.daemon).await.map_err(|err| status_of(&err))?;
        let version = match number {
            0 => history.last(),
            _ => history.iter().find(|version| version.number == number),
        };
        let reply = version.map(to_version).map(Response::new);
        reply.ok_or_else(|| status_of(&Error::new(Kind::NotFound, "no such version")))
    }

    async fn history(&self, request: Request<HistoryRequest>) -> Reply<HistoryReply> {
        self.author(&request)?;
        let history = change::history(&self.daemon).await.map_err(|err| status_of(&err))?;
        let broken_at = config::verify(&history).err().unwrap_or(0);
        let versions = history.iter().map(to_version).collect();
        Ok(Response::new(HistoryReply { versions, broken_at }))
    }

    async fn status(&self, request: Request<StatusRequest>) -> Reply<StatusReply> {
        self.author(&request)?;
        let mut daemons: Vec<DaemonState> = Vec::new();
        for daemon in self.daemons() {
            let status = self.status_of_daemon(&daemon).await;
            daemons.push(to_daemon(&daemon, status));
        }
        Ok(Response::new(StatusReply { daemons }))
    }

    async fn explain(&self, request: Request<ExplainRequest>) -> Reply<ExplainReply> {
        self.author(&request)?;
        let request = request.into_inner();
        let reply = explain::run(&self.daemon, &request).await;
        reply.map(Response::new).map_err(|err| status_of(&err))
    }

    async fn verify_ledger(
        &self,
        request: Request<VerifyLedgerRequest>,
    ) -> Reply<VerifyLedgerReply> {
        self.author(&request)?;
        let segments = ledger::read_stored(&self.daemon, "").await;
        let segments = segments.map_err(|err| status_of(&err))?;
        Ok(Response::new(VerifyLedgerReply { chains: verify_chains(segments) }))
    }

    async fn burn(&self, request: Request<BurnRequest>) -> Reply<BurnReply> {
        self.author(&request)?;
        let (mut counts, mut answered, mut silent) = (Vec::new(), Vec::new(), Vec::new());
        for daemon in self.daemons() {
            match self.burn_of_daemon(&daemon).await {
                Some(rows) => {
                    counts.extend(rows);
                    answered.push(daemon.name.to_string());
                }
                None => silent.push(daemon.name.to_string()),
            }
        }
        let rows = to_burn(&self.daemon, counts);
        Ok(Response::new(BurnReply { rows, answered, silent }))
    }
}

/// Verifies the records of each incarnation of each instance as one chain.
fn verify_chains(mut segments: Vec<Segment>) -> Vec<Chain> {
    segments.sort_by(|a, b| (&a.instance, a.incarnation).cmp(&(&b.instance, b.incarnation)));
    let chains =
        segments.chunk_by(|a, b| a.instance == b.instance && a.incarnation == b.incarnation);
    let to_chain = |chain: &[Segment]| {
        let verified = verify(chain);
        Chain {
            instance: chain[0].instance.to_string(),
            incarnation: chain[0].incarnation,
            records: *verified.as_ref().unwrap_or(&0),
            broken: verified
                .err()
                .map_or(String::new(), |fault| format!("record {}: {}", fault.number, fault.what)),
        }
    };
    chains.map(to_chain).collect()
}
