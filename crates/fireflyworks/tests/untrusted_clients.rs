//! Crowds of callers that send requests of allowed size in costly forms, or leave them unfinished
//! or their responses unread, beside a daemon with lowered limits.
//!
//! Guards against a process that such callers terminate, that holds more memory or descriptors
//! than its settings allow, or that serves no ordinary request afterwards. Nothing here depends on
//! the speed of the machine: no times and no shares of served requests are checked.

#[path = "support/limits.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod limits;

use {
    ffw_runtime::{executor, timer},
    ffw_soak::{
        daemon::{Daemon, Ports},
        store::Store,
        worker::{Log, Role, Worker},
    },
    ffw_support::permit,
    rstest::rstest,
    serde_json::{Value, json},
    smol::{
        Task,
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Lowered `limits.memoryMb` of the daemon.
const MEMORY_MB: u64 = 56;

/// Resident memory that the process must not exceed.
const MEMORY_KB_MAX: u64 = limits::memory_kb_max(MEMORY_MB);

/// Lowered `limits.maxFds` of the daemon.
const DESCRIPTORS: usize = 1_200;

/// Connections of a crowd, fewer than the descriptors allow.
const CROWD: usize = 400;

/// Time for which a crowd holds its connections open after it has sent all it can.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// Pause between two looks at the process.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// What a crowd sends on each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// A head of 16 kB made of lines of 4 bytes, complete.
    ShortLines,
    /// The same, but the head never ends.
    EndlessHead,
    /// A body in chunks of 1 byte that stops short of its end.
    SmallChunks,
    /// A body of nearly 4 MB in chunks of 1 MB that stops short of its end.
    LargeChunks,
    /// Many requests one after the other, whose responses stay unread.
    Pipelined,
}

const LOADS: [Load; 5] =
    [Load::ShortLines, Load::EndlessHead, Load::SmallChunks, Load::LargeChunks, Load::Pipelined];

/// Header lines of 4 bytes that fill a head of at most `bytes`.
fn short_lines(bytes: usize) -> String {
    "a:\r\n".repeat(bytes / 4)
}

fn head(id: &str, rest: &str) -> String {
    format!("POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\n{rest}")
}

impl Load {
    async fn send(self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        match self {
            Load::ShortLines => {
                let request = head(id, &short_lines(16_000));
                stream.write_all(format!("{request}Content-Length: 2\r\n\r\nhi").as_bytes()).await
            }
            Load::EndlessHead => stream.write_all(head(id, &short_lines(16_000)).as_bytes()).await,
            Load::SmallChunks => {
                let request = head(id, "Transfer-Encoding: chunked\r\n\r\n");
                stream.write_all(request.as_bytes()).await?;
                for _ in 0..100 {
                    stream.write_all("1\r\nx\r\n".repeat(1_000).as_bytes()).await?;
                }
                Ok(())
            }
            Load::LargeChunks => {
                let request = head(id, "Transfer-Encoding: chunked\r\n\r\n");
                stream.write_all(request.as_bytes()).await?;
                let chunk = "x".repeat(1_000_000);
                for _ in 0..4 {
                    stream.write_all(b"f4240\r\n").await?;
                    stream.write_all(chunk.as_bytes()).await?;
                    stream.write_all(b"\r\n").await?;
                }
                Ok(())
            }
            Load::Pipelined => {
                for number in 0..6_000 {
                    let request = head(&format!("{id}-{number:x}"), "Content-Length: 2\r\n\r\nhi");
                    stream.write_all(request.as_bytes()).await?;
                }
                Ok(())
            }
        }
    }
}

/// Sends a load on a connection of its own, and holds the connection open until `end`.
async fn attack(address: SocketAddr, load: Load, id: String, end: Instant) {
    let attacking = async {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        // The daemon may refuse the client or close its connection at any time.
        load.send(&mut stream, &id).await.ok();
        timer::sleep(end.saturating_duration_since(Instant::now())).await;
    };
    timer::timeout(end.saturating_duration_since(Instant::now()), attacking).await;
}

/// A daemon with lowered limits before a store and a server.
struct Deployment {
    daemon: Daemon,
    _store: Store,
    _server: Worker,
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "type": "non_idempotent",
            "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
            "service": "app"}],
        "services": [{"name": "app"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

impl Deployment {
    async fn start(name: &str) -> Deployment {
        let (store, address) = Store::start().await.expect("a store");
        store.put("config", "main", configuration());
        let log = Log::default();
        let server = Worker::start("app-1", "app", Role::Plain, &log);
        let server = server.await.expect("a server");
        let entry = json!({"service": "app", "address": server.address, "zone": "a",
            "state": "ready", "slots": 16});
        store.put("servers", "app-1", entry);
        let ports = Ports::choose().expect("ports");
        let seeds = [ports.peers()];
        let lower = |file: &mut Value| {
            file["limits"] = json!({"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS});
        };
        let daemon = limits::start(&format!("untrusted-{name}"), ports, &seeds, address, lower);
        let deployment = Deployment { daemon, _store: store, _server: server };
        deployment.wait_until_serving("start").await;
        deployment
    }

    /// Sends ordinary requests until one is answered.
    async fn wait_until_serving(&self, id: &str) {
        let build = |id: &str| head(id, "Connection: close\r\nContent-Length: 2\r\n\r\nhi");
        limits::wait_until_serving(&self.daemon, id, build).await;
    }

    fn descriptors(&self) -> usize {
        let id = self.daemon.process_id().expect("a process");
        fs::read_dir(format!("/proc/{id}/fd")).expect("the process lives").count()
    }

    /// Looks at the process until the crowd has ended; returns the largest number of descriptors.
    async fn watch(&self, crowd: Vec<Task<()>>) -> usize {
        let mut descriptors_max = 0;
        while crowd.iter().any(|task| !task.is_finished()) {
            descriptors_max = descriptors_max.max(self.descriptors());
            timer::sleep(SAMPLE_PERIOD).await;
        }
        descriptors_max
    }
}

/// Sends a crowd's load, and checks the process meanwhile and afterwards.
async fn check(name: &str, loads: &[Load]) {
    let _permit = permit::acquire(limits::CORES).await;
    let mut deployment = Deployment::start(name).await;
    let (address, end) = (deployment.daemon.caller_address, Instant::now() + HOLD_TIME);
    let crowd = (0..CROWD).map(|number| {
        let load = loads[number % loads.len()];
        executor::spawn(attack(address, load, format!("c{number:x}"), end))
    });
    let descriptors_max = deployment.watch(crowd.collect()).await;
    deployment.wait_until_serving("after").await;
    let peak_kb = limits::peak_kb(&deployment.daemon);
    println!("{name}: peak {peak_kb} kB, {descriptors_max} descriptors");
    assert_eq!(deployment.daemon.take_exit_code(), None, "the process lives");
    assert!(peak_kb <= MEMORY_KB_MAX, "{peak_kb} kB are resident, {MEMORY_KB_MAX} kB are allowed");
    assert!(descriptors_max <= DESCRIPTORS, "{descriptors_max} descriptors are open");
}

/// Guards against a process that one kind of costly request or unfinished exchange terminates or
/// makes grow beyond its settings.
#[rstest]
#[case::short_lines("short-lines", Load::ShortLines)]
#[case::endless_heads("endless-heads", Load::EndlessHead)]
#[case::small_chunks("small-chunks", Load::SmallChunks)]
#[case::large_chunks("large-chunks", Load::LargeChunks)]
#[case::pipelined("pipelined", Load::Pipelined)]
fn a_process_stays_within_its_limits_beside_a_crowd(#[case] name: &str, #[case] load: Load) {
    smol::block_on(check(name, &[load]));
}

/// Guards against kinds that stay within a limit of their own each, and exceed the process's
/// together.
#[test]
fn a_process_stays_within_its_limits_beside_a_mixed_crowd() {
    smol::block_on(check("mixed", &LOADS));
}

/// Status of the response to a request; `None` without a readable one.
async fn status_of(address: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    timer::timeout(limits::ANSWER_TIMEOUT, stream.read_to_end(&mut answer)).await;
    std::str::from_utf8(&answer).ok()?.split(' ').nth(1)?.parse().ok()
}

/// Guards against a limit on the number of header lines below the limit on the bytes of a head, and
/// against a head beyond the limit on bytes that reaches a server or gets no response.
#[rstest]
#[case::lines_400("lines-400", 400, 1, 200)]
#[case::lines_3000("lines-3000", 3_000, 1, 200)]
#[case::beyond_the_bytes("lines-5000", 5_000, 1, 413)]
#[case::one_line_beyond_the_bytes("line-long", 1, 20_000, 413)]
fn a_head_is_limited_by_its_bytes(
    #[case] name: &str,
    #[case] lines: usize,
    #[case] value_bytes: usize,
    #[case] expected: u16,
) {
    smol::block_on(async {
        let _permit = permit::acquire(limits::CORES).await;
        let deployment = Deployment::start(name).await;
        let line = format!("a:{}\r\n", "v".repeat(value_bytes));
        let rest =
            format!("{}Connection: close\r\nContent-Length: 2\r\n\r\nhi", line.repeat(lines));
        let status = status_of(deployment.daemon.caller_address, &head("1", &rest)).await;
        assert_eq!(status, Some(expected));
    });
}
