//! Daemons: processes of the project's program, started as the deploy file says.

use {
    crate::{
        net::{self, Connection},
        World,
    },
    std::{
        fs::{self, File},
        io,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// A daemon. Its process is killed when it is dropped.
pub struct Daemon {
    name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Starts daemons, and waits until they are ready.
pub fn start(world: &World, count: usize, store: SocketAddr) -> io::Result<Vec<Daemon>> {
    let peers: Vec<SocketAddr> = (0..count).map(|_| net::free_port()).collect();
    let mut daemons = Vec::new();
    for (index, own) in peers.iter().enumerate() {
        let name = format!("frontend-akl-a-{}", index + 1);
        let (callers, readiness) = (net::free_port(), net::free_port());
        let seeds: Vec<String> = peers.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let settings = world.folder.join(format!("{name}.json"));
        // The settings of mds-showgrid, as the pages show them.
        let text = format!(
            r#"{{"nodeName": "{name}", "role": "router", "machineClass": "frontend",
"serves": ["frontend", "control_plane"], "ip": "127.0.0.1", "zone": "akl-a", "region": "nz-north",
"zones": {{"akl-a": "nz-north", "akl-b": "nz-north", "hlz-c": "nz-north"}},
"listen": {{"frontend": "{callers}", "readiness": "{readiness}", "controlPlane": "{own}"}},
"internalPorts": [], "seedNodes": [{}], "bootstrap": true, "inTolerance": false,
"limits": {{"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
"dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"],
"faultTolerance": {{"machines": 2, "zones": 0, "regions": 0}},
"bounds": {{"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
"drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
"maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "recoveryS": 12,
"maxTransitMs": 120, "retryAfterS": 3, "requireFencing": false, "leaseMs": 3000, "thawSlackMs": 300}},
"platform": {{"address": "{store}", "form": "objects", "writesPerS": 400, "readsPerS": 2000,
"historyS": 20, "maxValueBytes": 1048576, "minTtlMs": 1000}}}}"#,
            seeds.join(", ")
        );
        fs::write(&settings, text)?;
        let log = world.folder.join(format!("{name}.log"));
        let program = world.program.clone();
        let mut daemon = Daemon { name, callers, readiness, settings, log, program, child: None };
        daemon.spawn(world)?;
        daemons.push(daemon);
    }
    daemons.iter().try_for_each(Daemon::wait_ready)?;
    Ok(daemons)
}

impl Daemon {
    /// Starts its process, as the deploy file says.
    pub fn spawn(&mut self, world: &World) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("route")
            .env_clear()
            .env("FIREFLYWORKS_NODE_FILE", &self.settings)
            .env("FIREFLYWORKS_PEER_SECRET", "replace-this-shared-key-by-your-own")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        world.record.line(&format!("daemon {}: started", self.name));
        Ok(())
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(format!("daemon {} is not ready", self.name)))
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut connection = Connection::open(self.readiness)?;
        connection.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")?;
        Ok(connection.head()?.status() == 200)
    }

    /// Kills its process and waits for its end.
    pub fn kill(&mut self, world: &World) {
        if let Some(child) = &mut self.child {
            net::signal(child.id(), net::SIGKILL);
            child.wait().ok();
            world.record.line(&format!("daemon {}: killed", self.name));
        }
        self.child = None;
        // The next start is not the first one of the whole system.
        if let Ok(text) = fs::read_to_string(&self.settings) {
            let text = text.replace("\"bootstrap\": true", "\"bootstrap\": false");
            fs::write(&self.settings, text).ok();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self, world: &World) {
        if let Some(child) = &self.child {
            net::signal(child.id(), net::SIGTERM);
            world.record.line(&format!("daemon {}: SIGTERM", self.name));
        }
    }

    /// Waits for the end of its process, and kills it after `limit`; returns whether it ended by itself.
    pub fn wait_end(&mut self, world: &World, limit: Duration) -> bool {
        let Some(child) = &mut self.child else { return true };
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                world.record.line(&format!("daemon {}: has ended, {status}", self.name));
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill(world);
        false
    }
}
