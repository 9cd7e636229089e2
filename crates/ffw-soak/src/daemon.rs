//! The daemons under test, each a process of its own. Signals go to the id of the child process,
//! and a daemon that is dropped kills its process.

use {
    eyre::{Result, WrapErr as _},
    ffw_support::port::Port,
    rustix::process::{Pid, Signal, kill_process},
    serde_json::{Value, json},
    std::{
        fs::{self, File},
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command},
    },
};

/// Longest time in seconds between SIGTERM and the exit of a daemon (its setting `graceS`).
pub const SHUTDOWN_GRACE_S: u64 = 4;

/// Key that daemons share unless one of them is given another.
const PEER_SECRET: &str = "a-shared-key-for-the-soak";

/// A daemon and its process, if it is running.
#[derive(Debug)]
pub struct Daemon {
    /// Node name, `daemon-` and its number.
    pub name: String,
    /// Address on which it serves callers.
    pub caller_address: SocketAddr,
    /// Address of its readiness endpoint, on which it listens from its start.
    pub readiness_address: SocketAddr,
    #[allow(dead_code, reason = "held for the locks")]
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    peer_secret: &'static str,
    child: Option<Child>,
}

/// Ports on which a daemon listens: for callers, for the readiness probe, and for other daemons.
#[derive(Debug)]
pub struct Ports([Port; 3]);

impl Ports {
    /// Chooses free ports for a daemon.
    ///
    /// # Errors
    /// No port is free.
    pub fn choose() -> io::Result<Ports> {
        Ok(Ports([Port::choose()?, Port::choose()?, Port::choose()?]))
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.0[0].address
    }

    /// Address of the readiness endpoint.
    pub fn readiness(&self) -> SocketAddr {
        self.0[1].address
    }

    /// Address for other daemons.
    pub fn peers(&self) -> SocketAddr {
        self.0[2].address
    }
}

impl Daemon {
    /// Writes the settings file of a daemon, without starting its process.
    ///
    /// # Errors
    /// The settings file can't be written.
    pub fn new(
        folder: &Path,
        number: usize,
        ports: Ports,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Result<Daemon> {
        let name = format!("daemon-{number}");
        let node_file = json!({
            "nodeName": name, "zone": "a",
            "listen": {"frontend": ports.callers(), "readiness": ports.readiness(),
                "controlPlane": ports.peers()},
            "seedNodes": seeds, "limits": {"memoryMb": 256, "maxFds": 4000},
            "bounds": {"graceS": SHUTDOWN_GRACE_S, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                "budgetSlack": 56},
            "platform": {"address": store},
        });
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, node_file.to_string()).wrap_err("settings")?;
        let log = folder.join(format!("{name}.log"));
        let (caller_address, readiness_address) = (ports.callers(), ports.readiness());
        Ok(Daemon {
            name,
            caller_address,
            readiness_address,
            ports,
            settings,
            log,
            peer_secret: PEER_SECRET,
            child: None,
        })
    }

    /// Gives the daemon a key of its own from its next start on, so that it and the others refuse
    /// each other's connections.
    pub fn set_peer_secret(&mut self, secret: &'static str) {
        self.peer_secret = secret;
    }

    /// Changes the settings file; a running process reads it again within seconds, or on SIGHUP.
    ///
    /// # Errors
    /// The settings file can't be read or written.
    pub fn change_settings(&self, change: impl FnOnce(&mut Value)) -> Result<()> {
        let mut node_file = serde_json::from_str(&fs::read_to_string(&self.settings)?)?;
        change(&mut node_file);
        fs::write(&self.settings, node_file.to_string()).wrap_err("settings")
    }

    /// Starts the process and appends its output to the log file.
    ///
    /// # Errors
    /// The log file can't be opened or the program can't be started.
    pub fn start(&mut self, program: &Path) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("route")
            .env("FIREFLYWORKS_NODE_FILE", &self.settings)
            .env("FIREFLYWORKS_PEER_SECRET", self.peer_secret)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("the daemon's program can't be started")?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            // The process may have exited in the meantime, in which case the signal isn't needed.
            let _not_running = kill_process(id, signal);
        }
    }

    /// Id of the process, if it is running.
    pub fn process_id(&self) -> Option<u32> {
        Some(self.child.as_ref()?.id())
    }

    /// Resident memory of the process in kilobytes, if it is running.
    pub fn memory_kb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Returns the exit code if the process has exited since the last call, 0 if a signal ended it.
    /// `None` if it is still running or was not started.
    pub fn take_exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok().flatten()?;
        self.child = None;
        Some(status.code().unwrap_or(0))
    }

    /// What its processes have logged so far, in this run and in earlier ones in the same folder.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The last line that the process has logged.
    pub fn last_log_line(&self) -> String {
        self.log().lines().last().unwrap_or_default().to_owned()
    }

    /// Whether a process was started whose exit has not been seen by
    /// [`take_exit_code`](Daemon::take_exit_code).
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing fails if the process has already exited; waiting reaps it in either case.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
