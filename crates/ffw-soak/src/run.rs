//! One soak run: starts stand-ins, daemons and callers, executes the steps of the plan, clears the
//! faults, and checks the guarantees to callers. The time bounds of removals and route changes are
//! not checked while a daemon is down or paused or its connections to the store have a fault, nor
//! shortly afterwards, because a daemon may see a change too late then.

mod limits;
mod objects;
mod releases;
mod restarts;
mod steps;

use {
    crate::{
        caller::{self, Habits, Outcomes},
        check::{self, Disturbance, Kill, Removal, Reroute},
        daemon::{Daemon, Ports, SHUTDOWN_GRACE_S},
        plan::{self, Step},
        proxy::{Fault, Proxy},
        store::Store,
        worker::{Log, Role, Worker},
    },
    eyre::{Result, bail, ensure},
    ffw_runtime::{executor, timer},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
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

/// Pause between two steps.
const STEP_PAUSE: Duration = Duration::from_millis(250);

/// Time after the end of the faults until callers must be served again.
const STABILIZATION_TIME: Duration = Duration::from_secs(6);

/// Length of the stable phase at the end of a run, in which callers must be served.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time limit for the daemons to listen on the addresses of their readiness endpoints.
const LISTEN_LIMIT: Duration = Duration::from_secs(15);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Number of steps of the plan.
    pub steps: usize,
    /// Whether the store is restored from copies of itself, in addition to the steps.
    pub restores: bool,
    /// Whether some streams have a part in their prompts under which decode servers crash.
    pub crashing_part: bool,
    /// Whether they crash just after the first event of such a stream, and not before it.
    pub crash_after_event: bool,
    /// Time between two streams with that part; zero for one of a few streams of each caller.
    pub crashing_period: Duration,
    /// Whether there are odd answers, odd objects and silences of the store, in addition to the
    /// steps.
    pub oddities: bool,
    /// Whether what is sent on connections to the store is lost at times, in addition to the steps.
    pub losses: bool,
    /// Whether responses of the store fall silent in their middle at times, in addition to the
    /// steps.
    pub cut_answers: bool,
    /// Whether the plan consists of restarts alone, under steady bookings. None that ran may be
    /// without its answer.
    pub only_restarts: bool,
    /// Whether plain servers state rate limits for a time.
    pub rate_limits: bool,
    /// Whether new software versions of the servers are released, and callers take broken streams up
    /// at other daemons.
    pub releases: bool,
    /// Whether all daemons are killed, or all but one that was stopped, in the middle of releases, and
    /// callers come back until their streams go on.
    pub release_kills: bool,
    /// Time by which each response of the store is late. If there is one, the configuration is
    /// nearly as large as an object of the store may be.
    pub store_delay: Duration,
    /// Number of daemons.
    pub daemons: usize,
    /// Program of the daemons.
    pub program: PathBuf,
    /// Folder for the settings, the plan and the logs.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of requests that callers made.
    pub requests: usize,
    /// Number of these that got a complete response with status 200.
    pub served: usize,
    /// Violated guarantees, a line each.
    pub violations: Vec<String>,
}

struct Harness {
    options: Options,
    store: Store,
    store_proxy: Proxy,
    log: Log,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    removals: Vec<Removal>,
    reroutes: Vec<Reroute>,
    version: u64,
    service: &'static str,
    last_server_number: usize,
    /// Time until which the daemons count as disturbed by a fault.
    disturbed_until: Instant,
    disturbances: Vec<Disturbance>,
    kills: Vec<Kill>,
    limits: Vec<limits::Limit>,
}

struct Server {
    worker: Worker,
    proxy: Proxy,
}

/// Executes a run.
///
/// # Errors
/// The stand-ins or daemons can't be started, or the folder can't be written.
pub async fn execute(options: Options) -> Result<Verdict> {
    fs::create_dir_all(&options.folder)?;
    let mut harness = Harness::start(options).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Outcomes::default();
    let addresses: Vec<_> = harness.daemons.iter().map(|daemon| daemon.caller_address).collect();
    if harness.options.rate_limits {
        harness.state_limits();
    }
    if harness.options.only_restarts {
        harness.prepare_restarts();
    }
    let mut callers = Vec::new();
    for number in 0..harness.daemons.len() * 3 {
        let random = ChaCha8Rng::seed_from_u64(harness.options.seed ^ number as u64);
        let (addresses, outcomes, stop) = (addresses.clone(), outcomes.clone(), stop.clone());
        let habits = Habits {
            sends_crashing_part: harness.options.crashing_part
                && harness.options.crashing_period.is_zero(),
            only_bookings: harness.options.only_restarts,
            takes_up: harness.options.releases,
            persists: harness.options.release_kills,
        };
        callers
            .push(executor::spawn(caller::run(number, addresses, outcomes, stop, random, habits)));
    }
    if !harness.options.crashing_period.is_zero() {
        let (outcomes, stop) = (outcomes.clone(), stop.clone());
        let period = harness.options.crashing_period;
        let sending = caller::run_crashing(addresses, outcomes, stop, period, Habits::default());
        callers.push(executor::spawn(sending));
    }
    let steps = harness.draw_plan();
    let text: Vec<String> = steps.iter().map(Step::to_string).collect();
    fs::write(harness.options.folder.join("plan.txt"), text.join("\n"))?;
    for step in steps {
        harness.execute(step).await?;
        timer::sleep(STEP_PAUSE).await;
        harness.restart_exited()?;
        harness.replace_crashed().await?;
    }
    harness.clear_faults().await?;
    harness.replace_crashed().await?;
    harness.end_limits();
    harness.rest(STABILIZATION_TIME).await?;
    harness.restart_exited()?;
    let stable_since = Instant::now();
    harness.rest(STABLE_TIME).await?;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await;
    }
    harness.evaluate(&outcomes, stable_since).await
}

impl Harness {
    async fn start(options: Options) -> Result<Harness> {
        let (store, address) = Store::start().await?;
        store.set_era(1);
        store.set_response_delay(options.store_delay);
        let store_proxy = Proxy::start(address).await?;
        let mut harness = Harness {
            store,
            store_proxy,
            log: Log::default(),
            servers: Vec::new(),
            daemons: Vec::new(),
            removals: Vec::new(),
            reroutes: Vec::new(),
            version: 0,
            service: "app-a",
            last_server_number: 0,
            disturbed_until: Instant::now(),
            disturbances: Vec::new(),
            kills: Vec::new(),
            limits: Vec::new(),
            options,
        };
        for (service, role) in [
            ("app-a", Role::Plain),
            ("app-a", Role::Plain),
            ("app-b", Role::Plain),
            ("app-b", Role::Plain),
            ("llm", Role::Prefill),
            ("llm", Role::Prefill),
            ("llm", Role::Decode),
            ("llm", Role::Decode),
            ("llm", Role::Decode),
        ] {
            let has_version = harness.options.releases && role != Role::Plain;
            let version = has_version.then(|| releases::FIRST_VERSION.to_owned());
            let server = harness.new_server(service, role, version).await?;
            harness.servers.push(server);
        }
        harness.configure();
        harness.start_daemons().await?;
        Ok(harness)
    }

    fn draw_plan(&self) -> Vec<Step> {
        let Options { seed, steps, .. } = self.options;
        if self.options.only_restarts {
            return plan::restarts(steps, self.daemons.len());
        }
        let mut steps = plan::draw(seed, steps, self.daemons.len(), self.servers.len());
        if self.options.restores {
            steps = plan::add_restores(seed, steps);
        }
        if self.options.losses {
            steps = plan::add_losses(seed, steps, &[Fault::Loss, Fault::LossOfAnswers]);
        }
        if self.options.cut_answers {
            steps = plan::add_losses(seed, steps, &[Fault::LossWithinAnswers]);
        }
        if self.options.releases {
            steps = plan::add_releases(seed, steps);
        }
        if self.options.release_kills {
            steps = plan::add_release_kills(seed, steps, self.daemons.len());
        }
        if self.options.oddities {
            steps = plan::add_oddities(seed, steps, self.servers.len());
        }
        steps
    }

    async fn new_server(
        &mut self,
        service: &str,
        role: Role,
        version: Option<String>,
    ) -> Result<Server> {
        self.last_server_number += 1;
        let name = format!("server-{}", self.last_server_number);
        let worker = Worker::start(&name, service, role, &self.log).await?;
        let proxy = Proxy::start(worker.address).await?;
        worker.set_version(version.as_deref());
        worker.set_crashes_after_event(self.options.crash_after_event);
        let server = Server { worker, proxy };
        if self.options.releases {
            releases::vary(&server, self.last_server_number);
        }
        self.store.put(objects::SERVER_KIND, &name, objects::server(&server, "ready"));
        Ok(server)
    }

    async fn start_daemons(&mut self) -> Result<()> {
        let mut ports = Vec::new();
        for _ in 0..self.options.daemons {
            ports.push(Ports::choose()?);
        }
        let seeds: Vec<_> = ports.iter().take(3).map(Ports::peers).collect();
        for (number, ports) in ports.into_iter().enumerate() {
            let folder = &self.options.folder;
            let store = self.store_proxy.address;
            let mut daemon = Daemon::new(folder, number, ports, &seeds, store)?;
            if self.options.only_restarts {
                restarts::lengthen_grace(&daemon)?;
            }
            daemon.start(&self.options.program)?;
            self.daemons.push(daemon);
        }
        let started_at = Instant::now();
        while !self.all_listening().await {
            for daemon in &mut self.daemons {
                if let Some(code) = daemon.take_exit_code() {
                    bail!("{} ended with {code}: {}", daemon.name, daemon.last_log_line());
                }
            }
            ensure!(
                started_at.elapsed() < LISTEN_LIMIT,
                "the daemons did not start to listen in time"
            );
            timer::sleep(STEP_PAUSE).await;
        }
        self.disturbed_until = Instant::now() + Duration::from_secs(1);
        Ok(())
    }

    async fn all_listening(&self) -> bool {
        for daemon in &self.daemons {
            if smol::net::TcpStream::connect(daemon.readiness_address).await.is_err() {
                return false;
            }
        }
        true
    }

    fn configure(&mut self) {
        self.version += 3;
        let is_large = !self.options.store_delay.is_zero();
        let configuration = objects::configuration(self.version, self.service, is_large);
        self.store.put("config", "main", configuration);
    }

    /// Injects no fault for a time; servers that crash are replaced.
    async fn rest(&mut self, duration: Duration) -> Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            timer::sleep(STEP_PAUSE).await;
            self.replace_crashed().await?;
        }
        Ok(())
    }

    /// Replaces servers that have crashed by new ones. The objects of the old ones lapse.
    async fn replace_crashed(&mut self) -> Result<()> {
        for index in 0..self.servers.len() {
            let worker = self.servers[index].worker.clone();
            if worker.has_crashed() {
                let new = self.new_server(&worker.service, worker.role, worker.version()).await?;
                self.store.remove(objects::SERVER_KIND, &worker.name);
                self.servers[index] = new;
            }
        }
        Ok(())
    }

    /// Starts daemons again whose process has exited.
    fn restart_exited(&mut self) -> Result<()> {
        let program = self.options.program.clone();
        let has_exited =
            |daemon: &mut Daemon| daemon.take_exit_code().is_some() || !daemon.is_running();
        let exited: Vec<bool> = self.daemons.iter_mut().map(has_exited).collect();
        if exited.iter().all(|exited| *exited) {
            self.record_disturbance(Duration::ZERO);
        }
        for (daemon, exited) in self.daemons.iter_mut().zip(exited) {
            if exited {
                daemon.start(&program)?;
            }
        }
        Ok(())
    }

    async fn clear_faults(&mut self) -> Result<()> {
        self.store_proxy.set_fault(Fault::None);
        self.store.set_loses_responses(false);
        self.store.set_repeat_after(Duration::ZERO);
        for server in &self.servers {
            server.proxy.set_fault(Fault::None);
            server.worker.aborts_responses.store(false, Ordering::SeqCst);
            server.worker.is_full.store(false, Ordering::SeqCst);
            server.worker.set_oddity(None);
        }
        timer::sleep(Duration::from_secs(SHUTDOWN_GRACE_S) + STEP_PAUSE).await;
        self.restart_exited()
    }

    async fn evaluate(&self, outcomes: &Outcomes, stable_since: Instant) -> Result<Verdict> {
        timer::sleep(Duration::from_secs(1)).await;
        let (outcomes, runs) = (outcomes.all(), self.log.runs());
        let mut violations =
            check::find_violations(&outcomes, &runs, &self.removals, &self.reroutes, stable_since);
        self.check_limits(&mut violations);
        if self.options.release_kills {
            check::check_kills(&outcomes, &self.kills, &mut violations);
        }
        check::check_timeouts(&outcomes, &self.disturbances, &mut violations);
        if self.options.only_restarts {
            check::check_answers(&outcomes, &runs, &mut violations);
        }
        let crashing = self.log.crashing();
        check::check_crashing(&crashing, &outcomes, &self.disturbances, &mut violations);
        if self.log.running_count() > 0 {
            violations.push(format!(
                "{} requests still run after all callers have stopped",
                self.log.running_count()
            ));
        }
        fs::write(self.options.folder.join("violations.txt"), violations.join("\n"))?;
        let served = outcomes
            .iter()
            .filter(|outcome| outcome.status == Some(200) && outcome.is_whole)
            .count();
        Ok(Verdict { requests: outcomes.len(), served, violations })
    }
}

/// Returns a path for the folder of a run under `base`. A random suffix keeps runs with the same
/// seed apart.
pub fn folder(base: &Path, seed: u64) -> PathBuf {
    let suffix: u32 = rand::thread_rng().gen_range(0..1_000_000);
    base.join(format!("soak-{seed}-{suffix}"))
}
