//! Daemon processes among stand-ins, on loopback. The stand-ins run in the test's own process, so
//! that a test can bring faults about and read counters; the daemons are processes of their own, so
//! that a test can kill and pause them.

pub mod daemon;
pub mod operator;

use {
    daemon::Daemon,
    ffw_http::{
        client::{self, Call},
        server::{self, Handle},
    },
    ffw_protocol::{
        declaration::Deployment,
        instance::{Instance, Role, State},
    },
    ffw_runtime::{executor, timer},
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
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key of the workspace `matariki` in the bundled declarations.
pub const KEY: &str = "matariki-demo-key";

/// Key of the workspace `kahurangi`.
pub const OTHER_KEY: &str = "kahurangi-demo-key";

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the `fireflyworks` binary.
    pub binary: &'static str,
    /// Daemons.
    pub daemons: usize,
    /// Prefill engines.
    pub prefills: usize,
    /// Decode engines.
    pub decodes: usize,
    /// Servers of the plain service.
    pub plains: usize,
    /// Sizes of the engines; the role is set for each.
    pub engine: engine::Settings,
    /// Pool of the engines.
    pub pool: &'static str,
    /// Declaration to apply at the start.
    pub declaration: Arc<str>,
    /// Further arguments of each daemon.
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

/// A stand-in that serves.
#[derive(Clone, Debug)]
pub struct Node<T> {
    /// Name in the instance list.
    pub name: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// The stand-in.
    pub service: T,
    handle: Handle,
}

impl<T> Node<T> {
    /// Stops serving: new connections are refused.
    pub fn stop(&self) {
        self.handle.stop();
    }
}

/// A running cluster. Dropping it ends its processes.
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
}

impl Cluster {
    /// Starts everything, applies the declaration, and waits until each daemon is ready.
    pub async fn start(plan: Plan) -> Cluster {
        let platform = Platform::default();
        let node = start_node("platform", platform.clone(), |one, listener, handle| {
            one.serve(listener, handle)
        });
        let mut cluster = Cluster {
            platform: node.await,
            prefills: Vec::new(),
            decodes: Vec::new(),
            plains: Vec::new(),
            daemons: Vec::new(),
            plan: plan.clone(),
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
        cluster.wait_settled().await;
        cluster
    }

    /// Starts an engine and lists it.
    pub async fn add_engine(&mut self, role: Role, n: usize) {
        let (kind, settings) = match role {
            Role::Prefill => ("prefill", engine::Settings { role, ..self.plan.engine }),
            _ => ("decode", engine::Settings { role, ..self.plan.engine }),
        };
        let name: Arc<str> = format!("notes-{kind}-{n}").into();
        let listener = bind().await;
        let address = listener.local_addr().expect("a bound listener");
        let handle = Handle::default();
        let service = Engine::new(settings, address);
        executor::detach(service.clone().serve(listener, handle.clone()));
        self.list(&name, role, address, self.plan.pool);
        let node = Node { name, address, service, handle };
        if role == Role::Prefill { self.prefills.push(node) } else { self.decodes.push(node) }
    }

    async fn add_plain(&mut self, n: usize) {
        let name = format!("booking-{n}");
        let node = start_node(&name, Plain::default(), |one, listener, handle| {
            one.serve(listener, handle)
        });
        let node = node.await;
        self.list(&node.name, Role::Plain, node.address, "booking");
        self.plains.push(node);
    }

    /// Starts a daemon and lists it.
    pub fn add_daemon(&mut self, n: usize) {
        let name: Arc<str> = format!("entry-{n}").into();
        let seeds: Vec<SocketAddr> = self.daemons.iter().map(|one| one.peers).collect();
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
        });
    }

    /// Marks an instance of the list as leaving.
    pub fn mark_leaving(&self, node: &Node<Engine>, role: Role) {
        self.platform.service.put_instance(Instance {
            name: node.name.clone(),
            role,
            data_centre: "nz-north-a".into(),
            address: node.address,
            pool: self.plan.pool.into(),
            state: State::Leaving,
        });
    }

    /// Applies a declaration against an expected version, through the first daemon.
    pub async fn apply(&self, declaration: &str, expected: u64) {
        let reply = operator::apply(&self.daemons[0], declaration, expected, "change").await;
        assert!(reply.accepted, "{reply:?}");
    }

    /// Waits until the shard of the model pool has settled at its owner.
    async fn wait_settled(&self) {
        timer::sleep(Duration::from_millis(700)).await;
    }

    /// Index of the daemon that owns the model pool's shard.
    pub async fn owner(&self) -> usize {
        let begin = Instant::now();
        loop {
            let status = operator::status(&self.daemons[0]).await;
            let owns = |name: &str| {
                status.daemons.iter().any(|one| one.instance == *name && !one.shards.is_empty())
            };
            if let Some(at) = self.daemons.iter().position(|one| owns(&one.name)) {
                return at;
            }
            assert!(begin.elapsed() < Duration::from_secs(10), "nobody owns the shard");
            timer::sleep(Duration::from_millis(50)).await;
        }
    }

    /// A completion for a daemon; the prompt carries the number.
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

    /// A booking for a daemon.
    pub fn booking(&self, daemon: usize, body: &str, key: Option<&str>) -> PlainCall {
        PlainCall {
            address: self.daemons[daemon].callers,
            key: KEY.into(),
            path: "/services/booking/confirm".into(),
            idempotency_key: key.map(Into::into),
            body: body.into(),
        }
    }

    /// Attempts that hold memory of any engine.
    pub fn held(&self) -> usize {
        let engines = self.prefills.iter().chain(&self.decodes);
        engines.map(|node| node.service.held().len()).sum()
    }

    /// Waits until a condition holds.
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

/// Sends all calls at once and waits for the answers, in the same order.
pub async fn send_all(calls: Vec<Completion>) -> Vec<Answer> {
    let tasks = calls.into_iter().map(|call| executor::spawn(async move { call.send().await }));
    let tasks: Vec<_> = tasks.collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

/// Text that a path answers with; empty if it does not.
pub async fn text_of(address: SocketAddr, path: &str) -> String {
    let call = Call::new(address, Method::Get, path);
    let Ok(mut response) = client::send(&call).await else { return String::new() };
    let bytes = client::read_body(&mut response, call.limit).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn bind() -> smol::net::TcpListener {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    server::bind(address).await.expect("a free port")
}

async fn start_node<T, Fut>(
    name: &str,
    service: T,
    serve: impl FnOnce(T, smol::net::TcpListener, Handle) -> Fut,
) -> Node<T>
where
    T: Clone,
    Fut: Future<Output = ()> + Send + 'static,
{
    let listener = bind().await;
    let address = listener.local_addr().expect("a bound listener");
    let handle = Handle::default();
    executor::detach(serve(service.clone(), listener, handle.clone()));
    Node { name: name.into(), address, service, handle }
}
