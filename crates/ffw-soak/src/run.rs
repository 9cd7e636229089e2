//! One run: stand-ins, daemons, callers, the steps of the plan, and the verdict.

use {
    crate::{
        caller::{self, Book},
        check::{self, Left, Moved},
        daemon::{self, Daemon, GRACE_S},
        plan::{self, Step},
        proxy::{Harm, Proxy},
        store::Store,
        worker::{Log, Work, Worker},
    },
    eyre::{Result, ensure},
    ffw_runtime::{executor, timer},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{
        fs,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Kind of the entries of servers.
const SERVERS: &str = "servers";

/// Pause between two steps.
const STEP_PAUSE: Duration = Duration::from_millis(250);

/// Time after the last fault until callers must be served well again.
const RECOVERY: Duration = Duration::from_secs(6);

/// Time for which they must be, before the run ends.
const CALM: Duration = Duration::from_secs(3);

/// Time from a harm until daemons count as untouched by it again.
const TOUCHED: Duration = Duration::from_secs(4);

/// Time for the daemons to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Steps of the plan.
    pub steps: usize,
    /// Daemons.
    pub daemons: usize,
    /// Program of the daemons.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Requests that were sent.
    pub requests: usize,
    /// Of these, answered well.
    pub served: usize,
    /// Broken promises, a line each.
    pub broken: Vec<String>,
}

struct Bench {
    options: Options,
    store: Store,
    store_proxy: Proxy,
    log: Log,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    left: Vec<Left>,
    moved: Vec<Moved>,
    version: u64,
    service: &'static str,
    next_server: usize,
    /// Until when something harms the daemons, or has lately.
    touched_until: Instant,
}

struct Server {
    worker: Worker,
    proxy: Proxy,
}

/// Plays a run.
///
/// # Errors
/// The stand-ins or daemons can't be started.
pub async fn play(options: Options) -> Result<Verdict> {
    fs::create_dir_all(&options.folder)?;
    let mut bench = Bench::start(options).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let book = Book::default();
    let addresses: Vec<_> = bench.daemons.iter().map(|one| one.callers).collect();
    let mut callers = Vec::new();
    for number in 0..bench.daemons.len() * 3 {
        let random = ChaCha8Rng::seed_from_u64(bench.options.seed ^ number as u64);
        let (addresses, book, stop) = (addresses.clone(), book.clone(), stop.clone());
        callers.push(executor::spawn(caller::run(number, addresses, book, stop, random)));
    }
    let options = &bench.options;
    let steps = plan::draw(options.seed, options.steps, bench.daemons.len(), bench.servers.len());
    let text: Vec<String> = steps.iter().map(Step::to_string).collect();
    fs::write(options.folder.join("plan.txt"), text.join("\n"))?;
    for step in steps {
        bench.play(step).await?;
        timer::sleep(STEP_PAUSE).await;
        bench.revive()?;
    }
    bench.heal().await?;
    timer::sleep(RECOVERY).await;
    bench.revive()?;
    let calm = Instant::now();
    timer::sleep(CALM).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await;
    }
    bench.judge(&book, calm).await
}

impl Bench {
    async fn start(options: Options) -> Result<Bench> {
        let (store, address) = Store::start().await?;
        let store_proxy = Proxy::start(address).await?;
        let mut bench = Bench {
            store,
            store_proxy,
            log: Log::default(),
            servers: Vec::new(),
            daemons: Vec::new(),
            left: Vec::new(),
            moved: Vec::new(),
            version: 0,
            service: "app-a",
            next_server: 0,
            touched_until: Instant::now(),
            options,
        };
        for (service, work) in [
            ("app-a", Work::Plain),
            ("app-a", Work::Plain),
            ("app-b", Work::Plain),
            ("app-b", Work::Plain),
            ("llm", Work::Prefill),
            ("llm", Work::Prefill),
            ("llm", Work::Decode),
            ("llm", Work::Decode),
            ("llm", Work::Decode),
        ] {
            let server = bench.new_server(service, work).await?;
            bench.servers.push(server);
        }
        bench.configure();
        bench.start_daemons().await?;
        Ok(bench)
    }

    async fn new_server(&mut self, service: &str, work: Work) -> Result<Server> {
        self.next_server += 1;
        let name = format!("server-{}", self.next_server);
        let worker = Worker::start(&name, service, work, &self.log).await?;
        let proxy = Proxy::start(worker.address).await?;
        let server = Server { worker, proxy };
        self.store.put(SERVERS, &name, entry(&server, "ready"));
        Ok(server)
    }

    async fn start_daemons(&mut self) -> Result<()> {
        let addresses = daemon::addresses(self.options.daemons).await?;
        let seeds: Vec<_> = addresses.iter().take(3).map(|one| one.all[2]).collect();
        for (number, own) in addresses.into_iter().enumerate() {
            let folder = &self.options.folder;
            let store = self.store_proxy.address;
            let mut daemon = Daemon::new(folder, number, own, &seeds, store)?;
            daemon.start(&self.options.program)?;
            self.daemons.push(daemon);
        }
        let began = Instant::now();
        while !self.all_ready().await {
            ensure!(began.elapsed() < READY_LIMIT, "the daemons did not become ready");
            timer::sleep(STEP_PAUSE).await;
        }
        self.touched_until = Instant::now() + Duration::from_secs(1);
        Ok(())
    }

    async fn all_ready(&self) -> bool {
        for daemon in &self.daemons {
            if smol::net::TcpStream::connect(daemon.readiness).await.is_err() {
                return false;
            }
        }
        true
    }

    fn configure(&mut self) {
        self.version += 3;
        let plain = |name: &str, kind: &str| {
            json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "type": kind,
                "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2,
                "service": self.service})
        };
        let stream = |name: &str, resumable: bool| {
            json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"),
                "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 900,
                "targetGapMs": 300, "priority": 1, "maxAttempts": 2, "service": "llm",
                "resumable": resumable})
        };
        let engine = json!({"slots": 16, "kvCapacity": 70_000, "kvTokenBytes": 35_136,
            "linkMbps": 5_900_000.0, "stride": 50, "kvHoldS": 0.5, "models": [{"name": "m"}]});
        let configuration = json!({
            "version": self.version,
            "routes": [plain("once", "non_idempotent"), plain("again", "idempotent"),
                stream("stream", false), stream("resumable", true)],
            "services": [{"name": "app-a"}, {"name": "app-b"}, {"name": "llm", "engine": engine}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        });
        self.store.put("config", "main", configuration);
    }

    /// Notes that the daemons are harmed for a time.
    fn touch(&mut self, span: Duration) {
        let until = Instant::now() + span + TOUCHED;
        self.touched_until = self.touched_until.max(until);
        let now = Instant::now();
        // What was to hold until further notice holds until this harm only.
        self.moved.iter_mut().for_each(|one| one.until = one.until.min(now));
        self.left.retain(|one| now.saturating_duration_since(one.at) > check::DRAIN_BOUND);
    }

    fn is_touched(&self) -> bool {
        Instant::now() < self.touched_until
    }

    async fn play(&mut self, step: Step) -> Result<()> {
        match step {
            Step::Restart(at) => {
                self.touch(Duration::from_secs(GRACE_S));
                self.daemons[at].signal(Signal::TERM);
            }
            Step::Kill(at) => {
                self.touch(Duration::ZERO);
                self.daemons[at].signal(Signal::KILL);
            }
            Step::KillAll => {
                self.touch(Duration::ZERO);
                self.daemons.iter().for_each(|one| one.signal(Signal::KILL));
            }
            Step::Pause(at, span) => {
                self.touch(span);
                self.daemons[at].signal(Signal::STOP);
                timer::sleep(span).await;
                self.daemons[at].signal(Signal::CONT);
            }
            Step::Reload(at) => self.daemons[at].signal(Signal::HUP),
            Step::Store(harm, span) => {
                self.touch(span);
                after(span, self.store_proxy.clone(), harm);
            }
            Step::Compact => self.store.compact(),
            Step::LoseAnswers(span) => {
                let store = self.store.clone();
                store.lose_answers(true);
                executor::detach(async move {
                    timer::sleep(span).await;
                    store.lose_answers(false);
                });
            }
            Step::Server(at, harm, span) => after(span, self.servers[at].proxy.clone(), harm),
            Step::BreakOff(at, span) => flag(span, &self.servers[at].worker.breaks_off),
            Step::Full(at, span) => flag(span, &self.servers[at].worker.is_full),
            Step::Replace(at, says_so) => self.replace(at, says_so).await?,
            Step::MoveRoutes => self.move_routes(),
            Step::Rest(span) => timer::sleep(span).await,
        }
        Ok(())
    }

    async fn replace(&mut self, at: usize, says_so: bool) -> Result<()> {
        let (service, work) = {
            let worker = &self.servers[at].worker;
            (worker.service.clone(), worker.work)
        };
        let new = self.new_server(&service, work).await?;
        let old = std::mem::replace(&mut self.servers[at], new);
        let name = old.worker.name.clone();
        if says_so {
            self.store.put(SERVERS, &name, entry(&old, "draining"));
        } else {
            self.store.remove(SERVERS, &name);
        }
        if !self.is_touched() {
            self.left.push(Left { server: name, at: Instant::now() });
        }
        Ok(())
    }

    fn move_routes(&mut self) {
        let now = Instant::now();
        self.moved.iter_mut().for_each(|one| one.until = one.until.min(now));
        self.service = if self.service == "app-a" { "app-b" } else { "app-a" };
        self.configure();
        if !self.is_touched() {
            let until = now + Duration::from_secs(3_600);
            self.moved.push(Moved { service: self.service.into(), at: Instant::now(), until });
        }
    }

    /// Starts daemons that have ended again.
    fn revive(&mut self) -> Result<()> {
        let program = self.options.program.clone();
        for daemon in &mut self.daemons {
            if daemon.ended().is_some() || !daemon.runs() {
                daemon.start(&program)?;
            }
        }
        Ok(())
    }

    async fn heal(&mut self) -> Result<()> {
        self.store_proxy.set(Harm::None);
        self.store.lose_answers(false);
        for server in &self.servers {
            server.proxy.set(Harm::None);
            server.worker.breaks_off.store(false, Ordering::SeqCst);
            server.worker.is_full.store(false, Ordering::SeqCst);
        }
        timer::sleep(Duration::from_secs(GRACE_S) + STEP_PAUSE).await;
        self.revive()
    }

    async fn judge(&self, book: &Book, calm: Instant) -> Result<Verdict> {
        timer::sleep(Duration::from_secs(1)).await;
        let (got, ran) = (book.all(), self.log.ran());
        let mut broken = check::all(&got, &ran, &self.left, &self.moved, calm);
        if self.log.running() > 0 {
            broken.push(format!("{} runs go on although nobody waits", self.log.running()));
        }
        let served = got.iter().filter(|one| one.status == Some(200) && one.is_whole).count();
        Ok(Verdict { requests: got.len(), served, broken })
    }
}

fn entry(server: &Server, state: &str) -> Value {
    let Worker { service, work, .. } = &server.worker;
    let mut entry = json!({"service": service, "address": server.proxy.address, "zone": "a",
        "state": state, "slots": 16});
    match work {
        Work::Plain => {}
        Work::Prefill => entry["stage"] = json!("prefill"),
        Work::Decode => entry["stage"] = json!("decode"),
    }
    entry
}

fn after(span: Duration, proxy: Proxy, harm: Harm) {
    proxy.set(harm);
    executor::detach(async move {
        timer::sleep(span).await;
        proxy.set(Harm::None);
    });
}

fn flag(span: Duration, flag: &Arc<AtomicBool>) {
    let flag = flag.clone();
    flag.store(true, Ordering::SeqCst);
    executor::detach(async move {
        timer::sleep(span).await;
        flag.store(false, Ordering::SeqCst);
    });
}

/// A folder for a run under a base.
pub fn folder(base: &Path, seed: u64) -> PathBuf {
    let suffix: u32 = rand::thread_rng().gen_range(0..1_000_000);
    base.join(format!("soak-{seed}-{suffix}"))
}
