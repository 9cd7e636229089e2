//! A stand-in for a plain server. It counts how often each call was run, so that tests can check
//! that no call is run twice.

use {
    crate::handler,
    ffw_http::server::{self, CallerConnection, Limits},
    ffw_protocol::error::Error,
    ffw_runtime::{listener::Tracker, timer},
    futures_lite::{AsyncRead, AsyncReadExt as _, io::BufReader},
    http_types::{Body, Method, Request, Response},
    serde::{Deserialize, Serialize},
    serde_json::json,
    smol::net::TcpListener,
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll},
        time::Duration,
    },
};

/// Stated length of the body of a response that is cut, in bytes.
const CUT_BODY_BYTES: usize = 100;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time between the run of a call and its response, in milliseconds.
    pub work_ms: u64,
    /// Number of next calls that are run but whose response is delayed by 60 s.
    pub lost_answers: u32,
    /// Whether the connection of each call is closed after the run, in the middle of the response.
    pub cuts_answers: bool,
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
        let faults = self.take_faults();
        self.record_run(&body);
        timer::sleep(Duration::from_millis(faults.work_ms)).await;
        if faults.lost_answers > 0 {
            timer::sleep(Duration::from_secs(60)).await;
        }
        if faults.cuts_answers {
            return Ok(cut_response());
        }
        let answer = json!({ "path": path, "confirmed": &*body });
        Ok(server::json_response(200, &answer))
    }

    /// The faults of this call; `lost_answers` counts for the next calls as well.
    fn take_faults(&self) -> Faults {
        let mut data = self.lock();
        let faults = data.faults;
        data.faults.lost_answers = faults.lost_answers.saturating_sub(1);
        faults
    }

    fn record_run(&self, body: &Arc<str>) {
        let mut data = self.lock();
        match data.runs.binary_search_by(|runs| runs.body.cmp(body)) {
            Ok(index) => data.runs[index].count += 1,
            Err(index) => data.runs.insert(index, Runs { body: body.clone(), count: 1 }),
        }
    }
}

/// A response whose body fails after its first bytes, on which the server closes the connection.
fn cut_response() -> Response {
    let mut response = Response::new(200);
    let body = b"{".chain(FailingBody);
    response.set_body(Body::from_reader(BufReader::new(body), Some(CUT_BODY_BYTES)));
    response
}

struct FailingBody;

impl AsyncRead for FailingBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}
