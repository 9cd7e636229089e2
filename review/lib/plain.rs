//! Stand-in for workers of a plain service.

use super::{
    http::{self, Connection, Request, answer},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// A request that a worker began to run, and when.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
}

/// A worker. Clones share its state.
#[derive(Clone)]
pub struct Plain {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// The entry of a plain worker in the store.
pub fn entry(service: &str, address: SocketAddr, state: &str, sequence: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"niagara\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"coldRemainingMs\":0,\
         \"sequence\":{sequence},\"born\":1790000000000}}"
    )
}

impl Plain {
    /// Starts a worker and puts its entry into the store. `answering` writes the answer of a request
    /// that runs, and returns whether the connection stays open.
    pub fn start(
        id: &str,
        service: &str,
        store: &Store,
        answering: impl Fn(&Plain, &Request, &mut Connection) -> bool + Send + Sync + 'static,
    ) -> Plain {
        let (listener, address) = http::bind();
        let plain = Plain { id: id.to_owned(), address, runs: Arc::default() };
        let serving = plain.clone();
        http::serve(listener, move |request, connection| {
            let head = &request.head;
            let expected = head.get("Expect-Instance");
            let id = head.get("Request-Id");
            if !expected.is_empty() && expected != serving.id {
                let fields = [("Request-Id", id), ("Not-Executed", "1")];
                return connection.write(&answer(421, &fields, b"")).is_ok();
            }
            answering(&serving, request, connection)
        });
        store.put("servers", id, &entry(service, address, "ready", 1));
        plain
    }

    /// Records that a request begins to run.
    pub fn begin(&self, request: &Request) {
        let (id, worker) = (request.head.get("Request-Id").to_owned(), self.id.clone());
        self.runs.lock().unwrap().push(Run { id, worker });
    }

    /// Runs a request for `work` and writes a sound answer.
    pub fn run(&self, request: &Request, connection: &mut Connection, work: Duration) -> bool {
        self.begin(request);
        thread::sleep(work);
        connection.write(&self.sound_answer(request)).is_ok()
    }

    pub fn sound_answer(&self, request: &Request) -> Vec<u8> {
        let id = request.head.get("Request-Id");
        let signature = format!("sig.{}", self.id);
        let fields = [("Request-Id", id), ("Server-Signature", &*signature)];
        answer(200, &fields, format!("{id} by {}", self.id).as_bytes())
    }
}
