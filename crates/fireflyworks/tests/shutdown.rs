//! The end of a `route` process: SIGTERM while callers connect, book on kept connections and are in
//! the middle of a request, and while the store answers late.
//!
//! Guards against a process that ends while it serves connections that it has let in, so that a
//! booking runs and its caller gets no answer.

use {
    ffw_http::connection::Connection,
    ffw_runtime::{executor, timer},
    ffw_soak::{
        client,
        daemon::{Daemon, Ports},
        store::Store,
        wire::IO_TIMEOUT,
        worker::{Log, Role, Worker},
    },
    ffw_support::permit,
    rstest::rstest,
    rustix::process::Signal,
    serde_json::{Value, json},
    smol::Task,
    std::{
        fs,
        net::SocketAddr,
        num::NonZero,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Processor cores for each run.
const CORES: NonZero<usize> = NonZero::new(1).expect("not zero");

/// Time after SIGTERM by which the process must have ended.
const GRACE: Duration = Duration::from_secs(8);

/// Time for which the listener stays open after SIGTERM.
const LISTEN_TIME: Duration = Duration::from_millis(3_200);

struct Fixture {
    daemon: Daemon,
    store: Store,
    server: Worker,
    log: Log,
}

/// How a booking ended.
struct Booking {
    id: String,
    /// Status of the response; `None` if the connection ended without a whole one.
    status: Option<u16>,
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "r", "host": "h", "pathPrefix": "/r/", "type": "non_idempotent",
            "timeoutMs": 4000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": 1,
            "service": "app"}],
        "services": [{"name": "app"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

fn configuration_with_limit(timeout_ms: u64) -> Value {
    let mut configuration = configuration();
    configuration["routes"][0]["timeoutMs"] = json!(timeout_ms);
    configuration
}

impl Fixture {
    async fn start(name: &str) -> Fixture {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("shutdown-{name}"));
        fs::create_dir_all(&folder).expect("a folder");
        let (store, store_address) = Store::start().await.expect("a store");
        store.put("config", "main", configuration());
        let log = Log::default();
        let server = Worker::start("server", "app", Role::Plain, &log).await.expect("a server");
        let entry = json!({"service": "app", "address": server.address, "zone": "a",
            "state": "ready", "slots": 16});
        store.put("servers", "server", entry);
        let ports = Ports::choose().expect("ports");
        let seeds = [ports.peers()];
        let daemon = Daemon::new(&folder, 0, ports, &seeds, store_address).expect("settings");
        let set_grace = |file: &mut Value| {
            file["bounds"]["graceS"] = json!(GRACE.as_secs());
        };
        daemon.change_settings(set_grace).expect("settings");
        Fixture { daemon, store, server, log }
    }

    fn spawn(&mut self) {
        let program = Path::new(env!("CARGO_BIN_EXE_fireflyworks"));
        self.daemon.start(program).expect("a daemon");
    }

    async fn wait_until_it_serves(&self) {
        let started_at = Instant::now();
        while book(self.daemon.caller_address, "first").await.status != Some(200) {
            assert!(started_at.elapsed() < Duration::from_secs(15), "the daemon does not serve");
            timer::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Books in the background.
    fn begin_booking(&self, id: &str) -> Task<Booking> {
        let (address, id) = (self.daemon.caller_address, id.to_owned());
        executor::spawn(async move { book(address, &id).await })
    }

    /// Waits until the process ends; returns the time since `since`.
    async fn wait_for_end(&mut self, since: Instant) -> Duration {
        loop {
            if let Some(code) = self.daemon.take_exit_code() {
                assert_eq!(code, 0, "exit code");
                return since.elapsed();
            }
            assert!(since.elapsed() < GRACE, "the process outlives its grace period");
            timer::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Checks that each booking that ran was answered.
    fn check(&self, bookings: &[Booking]) {
        let runs = self.log.runs();
        for booking in bookings.iter().filter(|booking| booking.status.is_none()) {
            let has_run = runs.iter().any(|run| run.id == booking.id);
            assert!(!has_run, "{} ran and has no answer", booking.id);
        }
    }
}

async fn book(address: SocketAddr, id: &str) -> Booking {
    let answer = client::send(address, &request(id)).await;
    Booking { id: id.to_owned(), status: answer.map(|head| head.status) }
}

fn request(id: &str) -> String {
    format!(
        "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

async fn open(address: SocketAddr) -> Connection {
    client::open(address).await.expect("a connection")
}

async fn sleep_until(moment: Instant) {
    timer::sleep(moment.saturating_duration_since(Instant::now())).await;
}

/// Nothing is open when the time of the listener is over, the store takes 300 ms to remove the
/// entry, and callers still connect. Their bookings take longer than the removal.
#[test]
fn a_booking_that_comes_when_the_listener_closes_is_answered_or_not_run() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fixture = Fixture::start("late").await;
        fixture.spawn();
        fixture.wait_until_it_serves().await;
        fixture.store.set_response_delay(Duration::from_millis(300));
        let stopped_at = Instant::now();
        fixture.daemon.signal(Signal::TERM);
        sleep_until(stopped_at + LISTEN_TIME - Duration::from_millis(250)).await;
        let mut bookings = vec![fixture.begin_booking("before").await];
        assert_eq!(bookings[0].status, Some(200));
        fixture.server.set_plain_time(Duration::from_millis(600));
        sleep_until(stopped_at + LISTEN_TIME + Duration::from_millis(60)).await;
        let mut late = Vec::new();
        for number in 0..8 {
            late.push(fixture.begin_booking(&format!("late-{number}")));
            timer::sleep(Duration::from_millis(20)).await;
        }
        for booking in late {
            bookings.push(booking.await);
        }
        fixture.wait_for_end(stopped_at).await;
        fixture.check(&bookings);
    });
}

/// Callers use kept connections, connect, and are in the middle of a request when the listener
/// closes. The settings are reloaded right before SIGTERM, which is repeated, and the store has
/// gone silent.
#[test]
fn what_was_let_in_is_answered_though_signals_repeat_and_the_store_is_away() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fixture = Fixture::start("signals").await;
        fixture.spawn();
        fixture.wait_until_it_serves().await;
        let address = fixture.daemon.caller_address;
        fixture.store.set_response_delay(Duration::from_secs(60));
        fixture.server.set_plain_time(Duration::from_millis(200));
        fixture.daemon.signal(Signal::HUP);
        let stopped_at = Instant::now();
        fixture.daemon.signal(Signal::TERM);
        let flow = executor::spawn(async move {
            let mut bookings = Vec::new();
            while stopped_at.elapsed() < LISTEN_TIME + Duration::from_millis(300) {
                let id = format!("flow-{}", bookings.len());
                bookings.push(executor::spawn(async move { book(address, &id).await }));
                timer::sleep(Duration::from_millis(7)).await;
            }
            bookings
        });
        let kept = executor::spawn(async move {
            let mut connection = open(address).await;
            sleep_until(stopped_at + Duration::from_millis(2_000)).await;
            client::send_on(&mut connection, &request("kept")).await.map(|head| head.status)
        });
        let half_sent = executor::spawn(async move {
            sleep_until(stopped_at + LISTEN_TIME - Duration::from_millis(100)).await;
            let mut connection = open(address).await;
            let request = request("half");
            let (first, rest) = request.split_at(30);
            connection.write(first.as_bytes(), IO_TIMEOUT).await.expect("written");
            timer::sleep(Duration::from_millis(900)).await;
            connection.write(rest.as_bytes(), IO_TIMEOUT).await.expect("written");
            client::read_answer(&mut connection).await.map(|head| head.status)
        });
        for after in [1_000, 3_100, 3_300] {
            sleep_until(stopped_at + Duration::from_millis(after)).await;
            fixture.daemon.signal(Signal::TERM);
            fixture.daemon.signal(Signal::HUP);
        }
        assert_eq!(half_sent.await, Some(200), "a request that is half sent");
        assert_eq!(kept.await, Some(200), "a connection that turns busy late");
        let mut bookings = Vec::new();
        for booking in flow.await {
            bookings.push(booking.await);
        }
        fixture.wait_for_end(stopped_at).await;
        let answered = bookings.iter().filter(|booking| booking.status == Some(200)).count();
        assert!(answered * 10 >= bookings.len() * 7, "{answered} of {} answered", bookings.len());
        fixture.check(&bookings);
    });
}

/// What a caller has sent of its request when the listener closes.
#[derive(Clone, Copy, Debug)]
enum Sent {
    HalfHead,
    Head,
}

/// A request that began before the listener closed is complete only late in the grace period, and
/// its server takes longer than what is left of that. Guards against a request that is passed on
/// and cut off without an answer.
#[rstest]
#[case::half_a_head(Sent::HalfHead)]
#[case::a_head_without_its_body(Sent::Head)]
fn a_request_that_is_complete_late_in_the_grace_period_is_not_run(#[case] sent: Sent) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fixture = Fixture::start(&format!("late-{sent:?}")).await;
        fixture.store.put("config", "main", configuration_with_limit(14_000));
        fixture.spawn();
        fixture.wait_until_it_serves().await;
        fixture.server.set_plain_time(Duration::from_millis(3_500));
        let stopped_at = Instant::now();
        fixture.daemon.signal(Signal::TERM);
        sleep_until(stopped_at + LISTEN_TIME - Duration::from_millis(100)).await;
        let mut connection = open(fixture.daemon.caller_address).await;
        let request = request("late").replace("Deadline-Ms: 4000", "Deadline-Ms: 14000");
        let head = request.len() - "hi".len();
        let (first, rest) = match sent {
            Sent::HalfHead => request.split_at(head / 2),
            Sent::Head => request.split_at(head),
        };
        connection.write(first.as_bytes(), IO_TIMEOUT).await.expect("written");
        sleep_until(stopped_at + Duration::from_millis(5_500)).await;
        connection.write(rest.as_bytes(), IO_TIMEOUT).await.expect("written");
        let status = client::read_answer(&mut connection).await.map(|head| head.status);
        fixture.wait_for_end(stopped_at).await;
        assert_eq!(status, Some(503));
        assert!(!fixture.log.runs().iter().any(|run| run.id == "late"), "the request ran");
    });
}

/// A request that came right after SIGTERM still runs when the grace period is over. Guards
/// against the end of its connection without a word.
#[test]
fn work_that_outlasts_the_grace_period_is_answered_as_unknown() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fixture = Fixture::start("outlasting").await;
        fixture.store.put("config", "main", configuration_with_limit(14_000));
        fixture.spawn();
        fixture.wait_until_it_serves().await;
        fixture.server.set_plain_time(Duration::from_secs(12));
        let stopped_at = Instant::now();
        fixture.daemon.signal(Signal::TERM);
        let address = fixture.daemon.caller_address;
        let request = request("long").replace("Deadline-Ms: 4000", "Deadline-Ms: 14000");
        let mut connection = open(address).await;
        connection.write(request.as_bytes(), IO_TIMEOUT).await.expect("written");
        let reading = connection.read_response(1 << 16);
        let head = timer::timeout(GRACE, reading).await.expect("an answer in time");
        assert_eq!(head.expect("an answer").status, 504);
        fixture.wait_for_end(stopped_at).await;
    });
}

/// Requests wait behind others on their connections when SIGTERM comes. Each that ran is answered;
/// the others are not run.
#[test]
fn pipelined_requests_are_answered_or_not_run() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fixture = Fixture::start("pipelined").await;
        fixture.spawn();
        fixture.wait_until_it_serves().await;
        fixture.server.set_plain_time(Duration::from_millis(400));
        let stopped_at = Instant::now() + Duration::from_millis(300);
        let mut callers = Vec::new();
        for number in 0..6 {
            let address = fixture.daemon.caller_address;
            callers.push(executor::spawn(async move {
                let mut connection = open(address).await;
                let ids: Vec<String> = (0..4).map(|n| format!("{number}-{n}")).collect();
                let requests: String = ids.iter().map(|id| request(id)).collect();
                connection.write(requests.as_bytes(), IO_TIMEOUT).await.expect("written");
                let mut bookings = Vec::new();
                for id in ids {
                    let answer = client::read_answer(&mut connection).await;
                    bookings.push(Booking { id, status: answer.map(|head| head.status) });
                }
                bookings
            }));
        }
        sleep_until(stopped_at).await;
        fixture.daemon.signal(Signal::TERM);
        let mut bookings = Vec::new();
        for caller in callers {
            bookings.extend(caller.await);
        }
        fixture.wait_for_end(stopped_at).await;
        assert!(bookings.iter().any(|booking| booking.status.is_none()), "all were answered");
        fixture.check(&bookings);
    });
}

/// SIGTERM arrives while the process starts, before or while it writes its entry. The entry must
/// not be left behind.
#[test]
fn a_stop_during_the_start_leaves_no_entry() {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        for delay_ms in [30, 60, 120, 240] {
            let mut fixture = Fixture::start(&format!("start-{delay_ms}")).await;
            fixture.store.set_response_delay(Duration::from_millis(40));
            fixture.spawn();
            timer::sleep(Duration::from_millis(delay_ms)).await;
            let stopped_at = Instant::now();
            fixture.daemon.signal(Signal::TERM);
            fixture.wait_for_end(stopped_at).await;
            let entries = fixture.store.objects("fireflyworks-daemons");
            assert!(entries.is_empty(), "stopped after {delay_ms} ms: {entries:?}");
        }
    });
}

/// A caller sends a body in chunks, one each 100 ms, when SIGTERM comes. What is complete in time is
/// answered; what is not complete at the end of the grace period has not run, or gets no 2xx.
#[rstest]
#[case::complete_in_time(25, Some(200))]
#[case::never_complete(200, None)]
fn an_upload_across_a_stop_is_answered_or_not_run(
    #[case] chunks: usize,
    #[case] expected: Option<u16>,
) {
    smol::block_on(async {
        let _permit = permit::acquire(CORES).await;
        let mut fixture = Fixture::start(&format!("upload-{chunks}")).await;
        fixture.store.put("config", "main", configuration_with_limit(14_000));
        fixture.spawn();
        fixture.wait_until_it_serves().await;
        let mut connection = open(fixture.daemon.caller_address).await;
        let head = "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: upload\r\nDeadline-Ms: 14000\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        connection.write(head.as_bytes(), IO_TIMEOUT).await.expect("written");
        let uploading = executor::spawn(async move {
            let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
            for _ in 0..chunks {
                connection.write(chunk.as_bytes(), IO_TIMEOUT).await.ok()?;
                timer::sleep(Duration::from_millis(100)).await;
            }
            connection.write(b"0\r\n\r\n", IO_TIMEOUT).await.ok()?;
            client::read_answer(&mut connection).await.map(|head| head.status)
        });
        timer::sleep(Duration::from_millis(500)).await;
        let stopped_at = Instant::now();
        fixture.daemon.signal(Signal::TERM);
        fixture.wait_for_end(stopped_at).await;
        let status = uploading.await;
        let has_run = fixture.log.runs().iter().any(|run| run.id == "upload");
        match expected {
            Some(expected) => assert_eq!(status, Some(expected)),
            None => assert!(!has_run, "ran, and was answered {status:?}"),
        }
    });
}
