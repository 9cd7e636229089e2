//! A stand-in for a plain server. It counts how often each call was run, so that tests can check
//! that no call is run twice.

use {
    crate::handler,
    ffw_http::server::{self, CallerConnection, Limits},
    ffw_protocol::error::Error,
    ffw_runtime::{listener::Tracker, timer},
    http_types::{Method, Request, Response},
    serde::{Deserialize, Serialize},
    serde_json::json,
    smol::net::TcpListener,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time between the run of a call and its response, in milliseconds.
    pub work_ms: u64,
    /// Number of next calls that are run but whose response is delayed by 60 s.
    pub lost_answers: u32,
}

/// Number of runs of one call; calls are identified by their body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Body of the call.
    pub body: Arc<str>,
    /// Number of runs.
    pub count: u32,
}

#[derive(Debug, Default)]
struct Data {
    runs: Vec<Runs>,
    faults: Faults,
}

/// A plain server; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    data: Arc<Mutex<Data>>,
}

impl Plain {
    /// Serves until the tracker is closed.
    pub async fn serve(self, listener: TcpListener, tracker: Tracker) {
        let handler = move |request, _: CallerConnection| self.clone().handle(request);
        server::serve(listener, Limits::default(), tracker, handler).await;
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// All runs since the start, sorted by body.
    pub fn runs(&self) -> Vec<Runs> {
        self.lock().runs.clone()
    }

    /// Number of runs of the call with this body.
    pub fn count(&self, body: &str) -> u32 {
        let data = self.lock();
        let found = data.runs.binary_search_by(|runs| (*runs.body).cmp(body));
        found.map_or(0, |index| data.runs[index].count)
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, mut request: Request) -> Response {
        handler::response(self.call(&mut request).await)
    }

    async fn call(&self, request: &mut Request) -> Result<Response, Error> {
        let path = request.url().path().to_owned();
        match (request.method(), &*path) {
            (Method::Get, "/control/counters") => {
                return Ok(server::json_response(200, &self.runs()));
            }
            (Method::Post, "/control/faults") => {
                self.set_faults(handler::json_body(request).await?);
                return Ok(server::json_response(200, &json!({})));
            }
            _ => {}
        }
        let bytes = server::read_body(request, &Limits::default()).await?;
        let body: Arc<str> = String::from_utf8_lossy(&bytes).into();
        let (work_ms, loses_response) = self.take_faults();
        self.record_run(&body);
        timer::sleep(Duration::from_millis(work_ms)).await;
        if loses_response {
            timer::sleep(Duration::from_secs(60)).await;
        }
        let answer = json!({ "path": path, "confirmed": &*body });
        Ok(server::json_response(200, &answer))
    }

    /// The time of a call in milliseconds, and whether its response is lost.
    fn take_faults(&self) -> (u64, bool) {
        let mut data = self.lock();
        let loses_response = data.faults.lost_answers > 0;
        if loses_response {
            data.faults.lost_answers -= 1;
        }
        (data.faults.work_ms, loses_response)
    }

    fn record_run(&self, body: &Arc<str>) {
        let mut data = self.lock();
        match data.runs.binary_search_by(|runs| runs.body.cmp(body)) {
            Ok(index) => data.runs[index].count += 1,
            Err(index) => data.runs.insert(index, Runs { body: body.clone(), count: 1 }),
        }
    }
}
