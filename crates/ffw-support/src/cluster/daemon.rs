//! A daemon process of a cluster: starts, signals and kills it, and reads its log and resource
//! usage.

use {
    super::Plan,
    crate::port::Port,
    ffw_http::client::{self, Call},
    ffw_protocol::digest,
    ffw_runtime::timer,
    http_types::Method,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::OpenOptions,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key of the operator named `operator`.
pub const OPERATOR_KEY: &str = "test-operator-key";

/// Key of the operator named `other`.
pub const OTHER_OPERATOR_KEY: &str = "other-operator-key";

/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and kernel mode since the process started.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// A daemon process with its addresses. Dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for health and metrics.
    pub health: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    #[allow(dead_code, reason = "held for the locks")]
    ports: [Port; 4],
    child: Child,
    command: Vec<String>,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon on free ports; its output goes to a file in the temporary directory.
    pub fn start(
        plan: &Plan,
        name: &Arc<str>,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Daemon {
        let ports = [(); 4].map(|()| Port::choose().expect("a free port"));
        let [callers, health, peers, operators] = ports.each_ref().map(|port| port.address);
        let digest = |key: &str| digest::hex(key.as_bytes());
        let mut command: Vec<String> = vec![plan.binary.into(), "serve".into()];
        let mut push = |flag: &str, value: String| {
            command.push(format!("--{flag}"));
            command.push(value);
        };
        push("instance", name.to_string());
        push("data-centre", "nz-north-a".into());
        push("deployment", plan.deployment());
        push("platform", platform.to_string());
        push("peer-secret", "a-shared-key-for-tests".into());
        push("operator-key", format!("operator={}", digest(OPERATOR_KEY)));
        push("operator-key", format!("other={}", digest(OTHER_OPERATOR_KEY)));
        push("listen", callers.to_string());
        push("listen-health", health.to_string());
        push("listen-peers", peers.to_string());
        push("listen-operators", operators.to_string());
        push("drain-lag-ms", "200".into());
        if !plan.arguments.contains(&"--log-level") {
            push("log-level", std::env::var("FIREFLYWORKS_TEST_LOG").unwrap_or("info".into()));
        }
        seeds.iter().for_each(|seed| push("seed-peer", seed.to_string()));
        command.extend(plan.arguments.iter().map(|argument| (*argument).to_owned()));
        let file = format!("fireflyworks-{}-{}.log", std::process::id(), callers.port());
        let log = std::env::temp_dir().join(file);
        let child = spawn(&command, &log);
        Daemon { name: name.clone(), callers, health, peers, operators, ports, child, command, log }
    }

    /// Kills the process and starts it again with the same addresses.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.command, &self.log);
    }

    /// Waits until the daemon is ready for callers; panics after 20 s.
    pub async fn wait_ready(&self) {
        let begin = Instant::now();
        while !self.is_ready().await {
            assert!(begin.elapsed() < Duration::from_secs(20), "{} is not ready", self.name);
            timer::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Whether the daemon is ready for callers.
    pub async fn is_ready(&self) -> bool {
        let sent = client::send(&Call::new(self.health, Method::Get, "/readyz")).await;
        sent.is_ok_and(|response| u16::from(response.status()) == 200)
    }

    /// Sends SIGKILL to the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a process of this test");
    }

    /// Waits until the process has ended; panics after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> ExitStatus {
        let begin = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a process of this test") {
                return status;
            }
            assert!(begin.elapsed() < limit, "{} is still running", self.name);
            timer::sleep(Duration::from_millis(30)).await;
        }
    }
}

fn spawn(command: &[String], log: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let errors = log.try_clone().expect("a handle");
    Command::new(&command[0])
        .args(&command[1..])
        .stdout(log)
        .stdin(Stdio::null())
        .stderr(errors)
        .spawn()
        .expect("the binary starts")
}

impl Daemon {
    /// Resource usage of the process so far; zero if `/proc` can't be read.
    pub fn usage(&self) -> Usage {
        let pid = self.child.id();
        let read =
            |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let stat = read("stat");
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field =
            |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0);
        // User and kernel time, fields 14 and 15 of the whole line.
        let ticks: u64 = field(11) + field(12);
        let status = read("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        Usage {
            cpu: Duration::from_millis(ticks * 1_000 / CLOCK_TICKS_PER_SECOND),
            memory: kilobytes.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * 1_024,
        }
    }

    /// Output of the process, over all of its restarts.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Kills the process. Fails the test if the daemon logged a broken invariant or a panic: the daemon
/// checks its invariants itself. If the test has already failed, prints the log instead.
impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let log = self.log();
        if std::thread::panicking() {
            eprintln!("log of {}:\n{log}", self.name);
            return;
        }
        std::fs::remove_file(&self.log).ok();
        for mark in ["invariant_broken", "panicked at"] {
            let line = log.lines().find(|line| line.contains(mark));
            assert!(line.is_none(), "{}: {line:?}", self.name);
        }
    }
}
