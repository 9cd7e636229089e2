//! A daemon process with lowered limits, for tests that look at what the process holds.

use {
    ffw_runtime::timer,
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
    },
    serde_json::Value,
    std::{
        fs,
        net::SocketAddr,
        num::NonZero,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Processor cores for each run: all, so that only one runs at a time.
pub(crate) const CORES: NonZero<usize> = NonZero::new(1_024).expect("not zero");

const PROGRAM: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Time for which an ordinary request is tried again. It is far longer than any limit of the
/// daemon, and bounds only the run of a test that fails.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Resident memory that a process must not exceed, in kilobytes: `memoryMb` less a tenth.
pub(crate) const fn memory_kb_max(memory_mb: u64) -> u64 {
    memory_mb * 1_000 * 1_000 / 1_024 * 9 / 10
}

/// Starts a daemon with changed settings.
pub(crate) fn start(
    name: &str,
    ports: Ports,
    seeds: &[SocketAddr],
    store: SocketAddr,
    change: impl FnOnce(&mut Value),
) -> Daemon {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("a folder");
    let mut daemon = Daemon::new(&folder, 0, ports, seeds, store).expect("settings");
    daemon.change_settings(change).expect("settings");
    daemon.start(Path::new(PROGRAM)).expect("a daemon");
    daemon
}

/// Sends ordinary requests until one is answered. `build` builds a request with an id.
pub(crate) async fn wait_until_serving(daemon: &Daemon, id: &str, build: impl Fn(&str) -> String) {
    let started_at = Instant::now();
    let mut number = 0;
    let mut last = None;
    while last != Some(200) {
        let elapsed = started_at.elapsed();
        assert!(elapsed < ANSWER_TIMEOUT, "an ordinary request is answered: {last:?}");
        number += 1;
        let request = build(&format!("{id}-{number}"));
        let answer = client::send(daemon.caller_address, &request).await;
        last = answer.map(|answer| answer.status);
        timer::sleep(Duration::from_millis(50)).await;
    }
}

/// Peak resident memory of a process, in kilobytes; fails if the process has ended.
pub(crate) fn peak_kb(daemon: &Daemon) -> u64 {
    let id = daemon.process_id().expect("a process");
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let text = line.expect("the process lives").trim().trim_end_matches(" kB");
    text.parse().expect("a number")
}
