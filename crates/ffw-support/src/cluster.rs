//! A cluster of daemons and stand-ins on loopback. The stand-ins run in the test's process, so that
//! a test can inject faults and read counters. Each daemon is a separate process, so that a test
//! can kill and pause it.

pub mod daemon;
pub mod operator;

use {
    crate::permit::{self, Permit},
    daemon::Daemon,
    ffw_http::client::{self, Call},
    ffw_protocol::{
        declaration::Deployment,
        instance::{Instance, Role, State},
    },
    ffw_runtime::{
        executor,
        listener::{self, Tracker},
        timer,
    },
    ffw_standin::{
        caller::{Answer, Completion, Plain as PlainCall},
        engine::{self, Engine},
        plain::Plain,
        platform::Platform,
    },
    http_types::Method,
    std::{
        future::Future,
        net::SocketAddr,
        num::NonZero,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key of the workspace `matariki` in the bundled declarations.
pub const KEY: &str = "matariki-demo-key";

/// Key of the workspace `kahurangi`.
pub const OTHER_KEY: &str = "kahurangi-demo-key";

/// Size and settings of a cluster to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the `fireflyworks` binary.
    pub binary: &'static str,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of prefill engines.
    pub prefills: usize,
    /// Number of decode engines.
    pub decodes: usize,
    /// Number of servers of the plain service.
    pub plains: usize,
    /// Settings of each engine; its role is replaced.
    pub engine: engine::Settings,
    /// Name of the engines' pool.
    pub pool: &'static str,
    /// Declaration that is applied at the start.
    pub declaration: Arc<str>,
    /// Additional arguments of each daemon.
    pub arguments: Vec<&'static str>,
}

impl Plan {
    /// Two daemons, two engines of each role and one plain server for the bundled deployment.
    pub fn new(binary: &'static str) -> Plan {
        let declaration = include_str!("../../../examples/matariki.toml");
        Plan {
            binary,
            daemons: 2,
            prefills: 2,
            decodes: 2,
            plains: 1,
            engine: engine::Settings { fences: true, ..engine::Settings::default() },
            pool: "notes",
            declaration: declaration.into(),
            arguments: Vec::new(),
        }
    }
}

impl Plan {
    /// Name of the declared deployment.
    pub fn deployment(&self) -> String {
        let parsed = Deployment::parse(&self.declaration).expect("a valid declaration");
        parsed.deployment.to_string()
    }
}

/// A stand-in that listens for connections.
#[derive(Clone, Debug)]
pub struct Node<T> {
    /// Name in the instance list.
    pub name: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// State of the stand-in, shared with its server task.
    pub service: T,
    tracker: Tracker,
}

impl<T> Node<T> {
    /// Closes the listener, so that new connections are refused.
    pub fn stop(&self) {
        self.tracker.close();
    }
}

/// A running cluster. Dropping it kills the daemon processes.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: Node<Platform>,
    /// Prefill engines.
    pub prefills: Vec<Node<Engine>>,
    /// Decode engines.
    pub decodes: Vec<Node<Engine>>,
    /// Servers of the plain service.
    pub plains: Vec<Node<Plain>>,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    plan: Plan,
    /// Allows the cluster to run; the next one starts once it is dropped.
    _permit: Permit,
}

/// Processor cores for each cluster that runs at once in a test process.
const CORES: NonZero<usize> = NonZero::new(4).expect("not zero");

impl Cluster {
    /// Starts the stand-ins and the daemons, applies the declaration, and waits until each daemon
    /// is ready and the recovery of the model pool's shard is over. Waits first while as many
    /// clusters run in this process as the cores carry.
    pub async fn start(plan: Plan) -> Cluster {
        let permit = permit::acquire(CORES).await;
        let platform = Platform::default();
        let node = start_node("platform", platform.clone(), |service, listener, tracker| {
            service.serve(listener, tracker)
        });
        let mut cluster = Cluster {
            platform: node.await,
            prefills: Vec::new(),
            decodes: Vec::new(),
            plains: Vec::new(),
            daemons: Vec::new(),
            plan: plan.clone(),
            _permit: permit,
        };
        for n in 1..=plan.prefills {
            cluster.add_engine(Role::Prefill, n).await;
        }
        for n in 1..=plan.decodes {
            cluster.add_engine(Role::Decode, n).await;
        }
        for n in 1..=plan.plains {
            cluster.add_plain(n).await;
        }
        for n in 1..=plan.daemons {
            cluster.add_daemon(n);
        }
        cluster.apply(&plan.declaration, 0).await;
        for daemon in &cluster.daemons {
            daemon.wait_ready().await;
        }
        cluster.wait_recovered().await;
        cluster
    }

    /// Starts an engine and adds it to the instance list.
    pub async fn add_engine(&mut self, role: Role, n: usize) {
        let (kind, settings) = match role {
            Role::Prefill => ("prefill", engine::Settings { role, ..self.plan.engine }),
            _ => ("decode", engine::Settings { role, ..self.plan.engine }),
        };
        let name: Arc<str> = format!("notes-{kind}-{n}").into();
        let listener = bind().await;
        let address = listener.local_addr().expect("a bound listener");
        let tracker = Tracker::default();
        let service = Engine::new(settings, address);
        executor::detach(service.clone().serve(listener, tracker.clone()));
        self.list(&name, role, address, self.plan.pool);
        let node = Node { name, address, service, tracker };
        if role == Role::Prefill { self.prefills.push(node) } else { self.decodes.push(node) }
    }

    async fn add_plain(&mut self, n: usize) {
        let name = format!("booking-{n}");
        let node = start_node(&name, Plain::default(), |service, listener, tracker| {
            service.serve(listener, tracker)
        });
        let node = node.await;
        self.list(&node.name, Role::Plain, node.address, "booking");
        self.plains.push(node);
    }

    /// Starts a daemon and adds it to the instance list; the daemons that already run are its seed
    /// peers.
    pub fn add_daemon(&mut self, n: usize) {
        let name: Arc<str> = format!("entry-{n}").into();
        let seeds: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.peers).collect();
        let platform = self.platform.address;
        let daemon = Daemon::start(&self.plan, &name, platform, &seeds);
        self.list(&name, Role::Entry, daemon.peers, "");
        self.daemons.push(daemon);
    }

    fn list(&self, name: &Arc<str>, role: Role, address: SocketAddr, pool: &str) {
        self.platform.service.put_instance(Instance {
            name: name.clone(),
            role,
            data_centre: "nz-north-a".into(),
            address,
            pool: pool.into(),
            state: State::Live,
            capacity: 0,
        });
    }

    /// Marks an engine as leaving in the instance list.
    pub fn mark_leaving(&self, node: &Node<Engine>, role: Role) {
        let leaving = self.engine_instance(node, role, State::Leaving);
        self.platform.service.put_instance(leaving);
    }

    /// States the software version of an engine in the instance list.
    pub fn set_software(&self, node: &Node<Engine>, role: Role, version: &str) {
        let live = self.engine_instance(node, role, State::Live);
        self.platform.service.put_instance_of_version(live, Some(version));
    }

    fn engine_instance(&self, node: &Node<Engine>, role: Role, state: State) -> Instance {
        Instance {
            name: node.name.clone(),
            role,
            data_centre: "nz-north-a".into(),
            address: node.address,
            pool: self.plan.pool.into(),
            state,
            capacity: 0,
        }
    }

    /// Applies a declaration against an expected version, through the first daemon. Panics if the
    /// change is not accepted.
    pub async fn apply(&self, declaration: &str, expected: u64) {
        let reply = operator::apply(&self.daemons[0], declaration, expected, "change").await;
        assert!(reply.accepted, "{reply:?}");
    }

    /// Waits longer than the recovery of the model pool's shard takes.
    async fn wait_recovered(&self) {
        timer::sleep(Duration::from_millis(700)).await;
    }

    /// Index of the first daemon that reports a shard as its own. Panics if none does within 10 s.
    pub async fn owner(&self) -> usize {
        let begin = Instant::now();
        loop {
            let status = operator::status(&self.daemons[0]).await;
            let owns = |name: &str| {
                status
                    .daemons
                    .iter()
                    .any(|daemon| daemon.instance == *name && !daemon.shards.is_empty())
            };
            if let Some(index) = self.daemons.iter().position(|daemon| owns(&daemon.name)) {
                return index;
            }
            assert!(begin.elapsed() < Duration::from_secs(10), "no daemon owns the shard");
            timer::sleep(Duration::from_millis(50)).await;
        }
    }

    /// A streamed completion request to the daemon with the given index. `number` is part of the
    /// prompt, so that requests with different numbers have different prompts.
    pub fn completion(&self, daemon: usize, number: usize, max_tokens: u32) -> Completion {
        Completion {
            address: self.daemons[daemon].callers,
            key: KEY.into(),
            service: "show-notes".into(),
            model: "season-notes".into(),
            prompt: format!("Programme {number}: {}", "winter sky ".repeat(20)).into(),
            max_tokens,
            stream: true,
            leave_after: None,
        }
    }

    /// A call of the booking service through the daemon with the given index; `key` is the
    /// idempotency key.
    pub fn booking(&self, daemon: usize, body: &str, key: Option<&str>) -> PlainCall {
        PlainCall {
            address: self.daemons[daemon].callers,
            key: KEY.into(),
            path: "/services/booking/confirm".into(),
            idempotency_key: key.map(Into::into),
            body: body.into(),
        }
    }

    /// Number of attempts that hold memory, summed over all engines.
    pub fn held(&self) -> usize {
        let engines = self.prefills.iter().chain(&self.decodes);
        engines.map(|node| node.service.held().len()).sum()
    }

    /// Waits until a condition holds; panics after `limit` with a message that starts with `what`.
    pub async fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Cluster) -> bool,
    ) {
        let begin = Instant::now();
        while !condition(self) {
            assert!(begin.elapsed() < limit, "{what}: not within {limit:?}");
            timer::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends all calls concurrently and returns their answers in the order of the calls.
pub async fn send_all(calls: Vec<Completion>) -> Vec<Answer> {
    let tasks = calls.into_iter().map(|call| executor::spawn(async move { call.send().await }));
    let tasks: Vec<_> = tasks.collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

/// Body of the response to `GET path`; empty if the request fails.
pub async fn text_of(address: SocketAddr, path: &str) -> String {
    let call = Call::new(address, Method::Get, path);
    let Ok(mut response) = client::send(&call).await else { return String::new() };
    let bytes = client::read_body(&mut response, call.time_limit).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn bind() -> smol::net::TcpListener {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    listener::bind(address).await.expect("a free port")
}

/// Starts a stand-in on a free loopback port.
pub async fn start_node<T, Fut>(
    name: &str,
    service: T,
    serve: impl FnOnce(T, smol::net::TcpListener, Tracker) -> Fut,
) -> Node<T>
where
    T: Clone,
    Fut: Future<Output = ()> + Send + 'static,
{
    let listener = bind().await;
    let address = listener.local_addr().expect("a bound listener");
    let tracker = Tracker::default();
    executor::detach(serve(service.clone(), listener, tracker.clone()));
    Node { name: name.into(), address, service, tracker }
}
