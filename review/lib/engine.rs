//! Stand-in for model workers: they read prompts (stage `prefill`) or make tokens (stage `decode`).

use super::{
    http::{self, Connection, Request, answer},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// What became of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
}

/// What a decode worker does with a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Habit {
    /// Streams all events.
    Sound,
    /// Runs it, and its answer is lost: the connection stays open without a byte.
    AnswerLost,
    /// Answers with bytes that are no events, in small chunks, without end until its caller closes.
    Endless(usize),
}

/// A worker. Clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub stage: &'static str,
    pub runs: Arc<Mutex<Vec<Run>>>,
    handles: Arc<AtomicU64>,
}

/// Events of a stream, and the time between two.
pub const EVENTS: u32 = 6;
pub const EVENT_MS: u64 = 30;

impl Engine {
    /// Starts a worker of a service and puts its entry into the store. `habit` tells what becomes of
    /// each run.
    pub fn start(
        id: &str,
        service: &str,
        stage: &'static str,
        store: &Store,
        habit: impl Fn(&Request) -> Habit + Send + Sync + 'static,
    ) -> Engine {
        let (listener, address) = http::bind();
        let (runs, handles) = (Arc::default(), Arc::new(AtomicU64::new(1)));
        let engine = Engine { id: id.to_owned(), address, stage, runs, handles };
        let serving = engine.clone();
        http::serve(listener, move |request, connection| {
            serving.serve(request, connection, &habit).is_some()
        });
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"niagara\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":1,\"born\":1790000000000}}"
        );
        store.put("servers", id, &entry);
        engine
    }

    fn serve(
        &self,
        request: &Request,
        connection: &mut Connection,
        habit: &impl Fn(&Request) -> Habit,
    ) -> Option<()> {
        let head = &request.head;
        let id = head.get("Request-Id");
        let expected = head.get("Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            let fields = [("Request-Id", id), ("Not-Executed", "1")];
            return connection.write(&answer(421, &fields, b"")).ok();
        }
        if head.target() == "/api/report" {
            let body = format!(
                "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\
                 \"kvTotal\":90000,\"kvHandles\":0,\"born\":1790000000000}}",
                self.stage
            );
            let fields = [("Content-Type", "application/json")];
            return connection.write(&answer(200, &fields, body.as_bytes())).ok();
        }
        if head.target() == "/api/order" {
            return connection.write(&answer(202, &[], b"")).ok();
        }
        if head.target().starts_with("/api/") {
            return connection.write(&answer(404, &[], b"")).ok();
        }
        if head.get("Serving-Stage") == "prefill" {
            thread::sleep(Duration::from_millis(5));
            let number = self.handles.fetch_add(1, Ordering::SeqCst);
            let body = format!("{{\"kvHandle\":\"h{number:x}\",\"tokens\":100,\"version\":1}}");
            let fields = [("Request-Id", id), ("Content-Type", "application/json")];
            return connection.write(&answer(200, &fields, body.as_bytes())).ok();
        }
        let first = head.get("Last-Event-Id").parse().map_or(0, |last: u32| last + 1);
        let at = Instant::now();
        let run = Run { id: id.to_owned(), worker: self.id.clone() };
        self.runs.lock().unwrap().push(run);
        let limit: u64 = head.get("Deadline-Ms").parse().unwrap_or(14_000);
        let kind = habit(request);
        match kind {
            Habit::AnswerLost => {
                // It works on, to the deadline that it was given, or until its caller has left.
                while at.elapsed() < Duration::from_millis(limit) && !connection.is_closed() {
                    thread::sleep(Duration::from_millis(5));
                }
                while !connection.is_closed() {
                    thread::sleep(Duration::from_millis(20));
                }
                return None;
            }
            Habit::Sound | Habit::Endless(_) => {}
        }
        let signature = format!("sig.{}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {signature}\r\n\
             Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes()).ok()?;
        if let Habit::Endless(size) = kind {
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            let bytes = chunk.into_bytes().repeat(4_000);
            while connection.write(&bytes).is_ok() {}
            return None;
        }
        for number in first..EVENTS {
            thread::sleep(Duration::from_millis(EVENT_MS));
            if connection.is_closed() {
                return None;
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.write(chunk.as_bytes()).ok()?;
        }
        connection.write(b"0\r\n\r\n").ok()
    }
}
