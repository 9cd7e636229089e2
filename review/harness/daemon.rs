//! Starts daemons with the command of the deploy file, and stops them.

use {
    crate::{http::Connection, record::Record, store::Store},
    std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Settings of a daemon that differ between cases.
#[derive(Clone, Debug)]
pub struct Settings {
    pub memory_mb: u32,
    pub bootstrap: bool,
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { memory_mb: 260, bootstrap: true, seeds: Vec::new() }
    }
}

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
}

pub struct Daemon {
    pub name: String,
    pub addresses: Addresses,
    pub log: PathBuf,
    file: PathBuf,
    child: Child,
    record: Record,
}

/// Three free ports.
///
/// # Panics
/// No port is free.
pub fn free_addresses() -> Addresses {
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("no free port")).collect();
    let address = |index: usize| {
        let listener: &TcpListener = &listeners[index];
        listener.local_addr().expect("a bound listener has an address")
    };
    Addresses { callers: address(0), readiness: address(1), control: address(2) }
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Panics
    /// The program of the deploy file is not built.
    pub fn start(
        name: &str,
        folder: &Path,
        store: &Store,
        settings: &Settings,
        addresses: Addresses,
        record: &Record,
    ) -> Daemon {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, to_json(name, store, settings, addresses)).expect("the settings file");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&file, &log);
        record.line(&format!("daemon {name} started, callers at {}", addresses.callers));
        let record = record.clone();
        Daemon { name: name.into(), addresses, log, file, child, record }
    }

    /// Starts the daemon again after its end, with another value of `bootstrap`.
    ///
    /// # Panics
    /// The settings file can't be replaced.
    pub fn restart_as(&mut self, bootstrap: bool) {
        let text = fs::read_to_string(&self.file).expect("the settings file");
        let before = format!("\"bootstrap\":{}", !bootstrap);
        let text = text.replace(&before, &format!("\"bootstrap\":{bootstrap}"));
        fs::write(&self.file, text).expect("the settings file");
        self.restart();
    }

    /// Starts the daemon again after its end.
    pub fn restart(&mut self) {
        self.child.wait().ok();
        self.child = spawn(&self.file, &self.log);
        self.record.line(&format!("daemon {} started again", self.name));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // The process is a child that was not waited for, so that its id is not given out again.
        unsafe { kill(self.child.id() as i32, signal) };
        self.record.line(&format!("daemon {} got signal {signal}", self.name));
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Whether the platform would count it as ready now.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(stream) = TcpStream::connect_timeout(&self.addresses.readiness, limit) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        connection.set_read_timeout(limit);
        let request = b"GET /api/ready HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
        connection.write(request).is_ok()
            && connection.head().ok().flatten().is_some_and(|head| head.status() == 200)
    }

    /// Waits until it is ready; returns whether it was in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Memory that the process holds, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(file: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("the log file");
    let errors = output.try_clone().expect("the log file");
    let keep = ["PATH", "HOME", "LANG"];
    let kept = keep.iter().filter_map(|name| Some((*name, std::env::var(name).ok()?)));
    Command::new("target/release/fireflyworks")
        .arg("route")
        .env_clear()
        .envs(kept)
        .env("FIREFLYWORKS_PEER_SECRET", "replace-this-shared-key-by-your-own")
        .env("FIREFLYWORKS_NODE_FILE", file)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("target/release/fireflyworks is not built")
}

fn to_json(name: &str, store: &Store, settings: &Settings, addresses: Addresses) -> String {
    let Addresses { callers, readiness, control } = addresses;
    let Settings { memory_mb, bootstrap, seeds } = settings;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "{{\"nodeName\":\"{name}\",\"role\":\"router\",\"machineClass\":\"frontend\",\
         \"serves\":[\"frontend\",\"control_plane\"],\"ip\":\"127.0.0.1\",\"zone\":\"mu-west-a\",\
         \"region\":\"mu-west\",\"zones\":{{\"mu-west-a\":\"mu-west\"}},\
         \"listen\":{{\"frontend\":\"{callers}\",\"readiness\":\"{readiness}\",\
         \"controlPlane\":\"{control}\"}},\"internalPorts\":[7660,7675],\
         \"seedNodes\":[{}],\"bootstrap\":{bootstrap},\"inTolerance\":false,\
         \"limits\":{{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":{memory_mb},\"maxFds\":4100,\
         \"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"platform\",\
         \"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\
         \"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"],\
         \"faultTolerance\":{{\"machines\":2,\"zones\":0,\"regions\":0}},\
         \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":3000,\"ackMs\":4000,\
         \"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\
         \"rollbackSlackMs\":250,\"maxSkewMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\
         \"budgetSlack\":56,\"recoveryS\":12,\"maxTransitMs\":120,\"retryAfterS\":3,\
         \"requireFencing\":false,\"leaseMs\":3000,\"thawSlackMs\":300}},\
         \"platform\":{{\"address\":\"{}\",\"form\":\"objects\",\"writesPerS\":400,\
         \"readsPerS\":2000,\"historyS\":20,\"maxValueBytes\":1048576,\"minTtlMs\":1000}}}}",
        seeds.join(","),
        store.address
    )
}
