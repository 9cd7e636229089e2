//! The operators' calls, each carried out by the daemon that receives it.

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

/// Time for another daemon to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two offers of a version to those that have not confirmed.
const OFFER_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a change waits for confirmations.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// The service of one daemon.
#[derive(Clone, Debug)]
pub struct Service {
    daemon: Arc<Daemon>,
    keys: Arc<[Key]>,
}

type Reply<T> = Result<Response<T>, Status>;

impl Service {
    /// A service that answers to the holders of the keys.
    pub fn new(daemon: Arc<Daemon>, keys: Arc<[Key]>) -> Service {
        Service { daemon, keys }
    }

    /// Name of the operator that calls.
    fn author<T>(&self, request: &Request<T>) -> Result<Arc<str>, Status> {
        let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
        let sent = header.and_then(|text| text.strip_prefix("Bearer "));
        let found = sent.and_then(|sent| key::find(&self.keys, sent.trim()));
        found.map(|key| key.name.clone()).ok_or_else(|| {
            let message = "the operator key is missing or unknown";
            status_of(&Error::new(Kind::Unauthenticated, message))
        })
    }

    async fn make(&self, change: Change, wait: Duration) -> Reply<ChangeReply> {
        check_account(&change).map_err(|error| status_of(&error))?;
        let edit = change.edit.clone();
        let (id, author) = (change.id.clone(), change.author.clone());
        let outcome = change::make(&self.daemon, change).await.map_err(|err| status_of(&err))?;
        match outcome {
            Outcome::Accepted(version) => {
                let number = version.number;
                info!("event=config_accepted version={number} change={id} author={author}");
                self.daemon.update_config(version.clone());
                let (confirmed, unconfirmed) = self.spread(number, wait).await;
                Ok(Response::new(ChangeReply {
                    accepted: true,
                    version: Some(to_version(&version)),
                    difference: String::new(),
                    confirmed,
                    unconfirmed,
                }))
            }
            Outcome::Conflict(version) => {
                let in_force = version.as_ref().map_or("", |one| &*one.declaration);
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

    /// Offers a version to all daemons until each live one has it in force, or the time is over.
    async fn spread(&self, number: u64, wait: Duration) -> (Vec<String>, Vec<String>) {
        let began = Instant::now();
        let mut confirmed = Vec::new();
        loop {
            confirmed = relay::spread(&self.daemon, number, confirmed).await;
            let missing = self.live_daemons().into_iter().filter(|one| !confirmed.contains(one));
            let missing: Vec<Arc<str>> = missing.collect();
            if missing.is_empty() || began.elapsed() >= wait.min(WAIT_MAX) {
                return (to_strings(&confirmed), to_strings(&missing));
            }
            timer::sleep(OFFER_PAUSE).await;
        }
    }

    fn live_daemons(&self) -> Vec<Arc<str>> {
        self.daemons().into_iter().map(|one| one.name).collect()
    }

    fn daemons(&self) -> Vec<Instance> {
        let roster = self.daemon.view.roster();
        let entries = roster.instances.iter();
        entries.filter(|one| one.role == Role::Entry && one.is_live()).cloned().collect()
    }

    /// State of one daemon; none if it does not answer.
    async fn status_of_daemon(&self, one: &Instance) -> Option<PeerStatus> {
        if one.name == self.daemon.identity.instance {
            return Some(calls::status(&self.daemon));
        }
        let asked =
            self.daemon.peers.call(one.address, PEER_TIMEOUT, async move |peer, context| {
                peer.status(context).await
            });
        asked.await.ok()
    }

    /// Service-level counts of one daemon; none if it does not answer.
    async fn burn_of_daemon(&self, one: &Instance) -> Option<Vec<Burn>> {
        if one.name == self.daemon.identity.instance {
            return Some(burn::rows(&self.daemon));
        }
        let asked =
            self.daemon.peers.call(one.address, PEER_TIMEOUT, async move |peer, context| {
                peer.burn(context).await
            });
        asked.await.ok()
    }
}

fn to_strings(names: &[Arc<str>]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn check_account(change: &Change) -> Result<(), Error> {
    let missing = [("reason", &change.reason), ("change", &change.id)];
    for (field, value) in missing {
        if value.trim().is_empty() {
            let message = format!("`{field}` is empty; each change must be accounted for");
            return Err(Error::new(Kind::Invalid, message));
        }
    }
    Ok(())
}

fn problems(declaration: &str, deployment: &str) -> Vec<String> {
    match Deployment::parse(declaration) {
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
        Ok(parsed) if *parsed.deployment != *deployment => {
            let named = &parsed.deployment;
            vec![format!("deployment: is `{named}`, but this daemon serves `{deployment}`")]
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
        let asked = request.into_inner();
        let problems = problems(&asked.declaration, &self.daemon.deployment);
        if !problems.is_empty() {
            return Err(status_of(&Error::new(Kind::Invalid, problems.join("; "))));
        }
        let change = Change {
            id: asked.change.into(),
            author,
            reason: asked.reason.into(),
            expected: asked.expected,
            at_ms: identity::unix_ms(),
            edit: Edit::Declare(asked.declaration.into()),
        };
        self.make(change, Duration::from_millis(asked.wait_ms)).await
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Reply<ChangeReply> {
        let author = self.author(&request)?;
        let asked = request.into_inner();
        let server: Arc<str> = asked.server.into();
        let roster = self.daemon.view.roster();
        let is_backend = |one: &Instance| one.name == server && one.role != Role::Entry;
        if !asked.undo && !roster.instances.iter().any(is_backend) {
            let message = format!("no backend server `{server}` is in the instance list");
            return Err(status_of(&Error::new(Kind::NotFound, message)));
        }
        let current = change::current(&self.daemon).await.map_err(|err| status_of(&err))?;
        let mut drained = current.map(|one| one.drained.clone()).unwrap_or_default();
        drained.retain(|one| *one != server);
        if !asked.undo {
            drained.push(server);
            drained.sort();
        }
        let change = Change {
            id: asked.change.into(),
            author,
            reason: asked.reason.into(),
            expected: asked.expected,
            at_ms: identity::unix_ms(),
            edit: Edit::Drain(drained),
        };
        self.make(change, Duration::from_millis(asked.wait_ms)).await
    }

    async fn get(&self, request: Request<GetRequest>) -> Reply<Version> {
        self.author(&request)?;
        let number = request.into_inner().number;
        let history = change::history(&self.daemon).await.map_err(|err| status_of(&err))?;
        let found = match number {
            0 => history.last(),
            _ => history.iter().find(|version| version.number == number),
        };
        let found = found.map(to_version).map(Response::new);
        found.ok_or_else(|| status_of(&Error::new(Kind::NotFound, "no such version")))
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
        for one in self.daemons() {
            let status = self.status_of_daemon(&one).await;
            daemons.push(to_daemon(&one, status));
        }
        Ok(Response::new(StatusReply { daemons }))
    }

    async fn explain(&self, request: Request<ExplainRequest>) -> Reply<ExplainReply> {
        self.author(&request)?;
        let asked = request.into_inner();
        let reply = explain::run(&self.daemon, &asked).await;
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
        for one in self.daemons() {
            match self.burn_of_daemon(&one).await {
                Some(rows) => {
                    counts.extend(rows);
                    answered.push(one.name.to_string());
                }
                None => silent.push(one.name.to_string()),
            }
        }
        let rows = to_burn(&self.daemon, counts);
        Ok(Response::new(BurnReply { rows, answered, silent }))
    }
}

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
                .map_or(String::new(), |found| format!("record {}: {}", found.number, found.what)),
        }
    };
    chains.map(to_chain).collect()
}
