//! The daemons under test: real processes, ended by their own ids.

use {
    crate::wire,
    eyre::{Result, WrapErr as _},
    rustix::process::{Pid, Signal, kill_process},
    serde_json::json,
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command},
    },
};

/// Time between SIGTERM and the end of a process, in seconds.
pub const GRACE_S: u64 = 4;

/// A daemon and its process, if one runs.
#[derive(Debug)]
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness.
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers, readiness, and other daemons.
    pub all: [SocketAddr; 3],
}

/// Free addresses for daemons.
///
/// # Errors
/// No port is free.
pub async fn addresses(count: usize) -> Result<Vec<Addresses>> {
    let mut held = Vec::new();
    let mut found = Vec::new();
    for _ in 0..count {
        let mut all = Vec::new();
        for _ in 0..3 {
            let (listener, address) = wire::bind().await?;
            held.push(listener);
            all.push(address);
        }
        found.push(Addresses { all: [all[0], all[1], all[2]] });
    }
    Ok(found)
}

impl Daemon {
    /// Writes a daemon's settings; it does not run yet.
    ///
    /// # Errors
    /// The folder can't be written.
    pub fn new(
        folder: &Path,
        number: usize,
        own: Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Result<Daemon> {
        let name = format!("daemon-{number}");
        let [callers, readiness, peers] = own.all;
        let document = json!({
            "nodeName": name, "zone": "a",
            "listen": {"frontend": callers, "readiness": readiness, "controlPlane": peers},
            "seedNodes": seeds, "limits": {"memoryMb": 256, "maxFds": 4000},
            "bounds": {"graceS": GRACE_S, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                "budgetSlack": 56},
            "platform": {"address": store},
        });
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, document.to_string()).wrap_err("settings")?;
        let log = folder.join(format!("{name}.log"));
        Ok(Daemon { name, callers, readiness, settings, log, child: None })
    }

    /// Starts the process.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self, program: &Path) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("route")
            .env("FIREFLYWORKS_NODE_FILE", &self.settings)
            .env("FIREFLYWORKS_PEER_SECRET", "a-shared-key-for-the-soak")
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("starting the daemon")?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            // A process that has just ended needs no signal.
            let _ended = kill_process(id, signal);
        }
    }

    /// Whether the process has ended; its exit code then, 0 if it was ended by a signal.
    pub fn ended(&mut self) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok().flatten()?;
        self.child = None;
        Some(status.code().unwrap_or(0))
    }

    /// Whether a process runs.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
