//! A plain service that counts how often it ran each call.

use {
    crate::route,
    ffw_http::server::{self, CallerConnection, Handle, Limits},
    ffw_protocol::error::Error,
    ffw_runtime::timer,
    http_types::{Method, Request, Response},
    serde::{Deserialize, Serialize},
    serde_json::json,
    smol::net::TcpListener,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Faults to bring about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that each call takes, in milliseconds.
    pub work_ms: u64,
    /// Calls still to come that run and whose answer is lost.
    pub lost_answers: u32,
}

/// Runs of one call, told apart by its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Body of the call.
    pub body: Arc<str>,
    /// How often it ran.
    pub count: u32,
}

#[derive(Debug, Default)]
struct Data {
    runs: Vec<Runs>,
    faults: Faults,
}

/// The service's state, shared by its handlers.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    data: Arc<Mutex<Data>>,
}

impl Plain {
    /// Serves until the handle stops.
    pub async fn serve(self, listener: TcpListener, handle: Handle) {
        let handler = move |request, _: CallerConnection| self.clone().handle(request);
        server::serve(listener, Limits::default(), handle, handler).await;
    }

    /// Sets the faults to bring about.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Runs so far, in order of body.
    pub fn runs(&self) -> Vec<Runs> {
        self.lock().runs.clone()
    }

    /// How often the call with this body ran.
    pub fn count(&self, body: &str) -> u32 {
        let data = self.lock();
        let found = data.runs.binary_search_by(|one| (*one.body).cmp(body));
        found.map_or(0, |at| data.runs[at].count)
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, mut request: Request) -> Response {
        route::answer(self.call(&mut request).await)
    }

    async fn call(&self, request: &mut Request) -> Result<Response, Error> {
        let path = request.url().path().to_owned();
        match (request.method(), &*path) {
            (Method::Get, "/control/counters") => {
                return Ok(server::json_response(200, &self.runs()));
            }
            (Method::Post, "/control/faults") => {
                self.set_faults(route::body(request).await?);
                return Ok(server::json_response(200, &json!({})));
            }
            _ => {}
        }
        let bytes = server::read_body(request, &Limits::default()).await?;
        let body: Arc<str> = String::from_utf8_lossy(&bytes).into();
        let (work_ms, is_lost) = self.begin();
        self.run(&body);
        timer::sleep(Duration::from_millis(work_ms)).await;
        if is_lost {
            timer::sleep(Duration::from_secs(60)).await;
        }
        let answer = json!({ "path": path, "confirmed": &*body });
        Ok(server::json_response(200, &answer))
    }

    fn begin(&self) -> (u64, bool) {
        let mut data = self.lock();
        let is_lost = data.faults.lost_answers > 0;
        if is_lost {
            data.faults.lost_answers -= 1;
        }
        (data.faults.work_ms, is_lost)
    }

    fn run(&self, body: &Arc<str>) {
        let mut data = self.lock();
        match data.runs.binary_search_by(|one| one.body.cmp(body)) {
            Ok(at) => data.runs[at].count += 1,
            Err(at) => data.runs.insert(at, Runs { body: body.clone(), count: 1 }),
        }
    }
}
