//! Serves calls to plain services.
//!
//! Servers are selected round robin. An idempotent call is retried within the retry budget. Any
//! other call runs at most once: it is sent again only if no byte of it was sent before, and it
//! continues after the caller disconnects, so that its outcome is recorded. If the request has an
//! idempotency key, a claim object in the platform's store extends this to repeated requests with
//! the same key, at any daemon.

use {
    crate::{
        entry::{Entry, OpenRequest},
        exchange::Exchange,
        record::{Delivery, Recorder},
    },
    ffw_backend::plain,
    ffw_control::{claim, identity},
    ffw_decide::{
        attempts::Attempts,
        claim::{Answer, Finish, Outcome},
    },
    ffw_http::{
        client::{Call, Header},
        fault::Fault,
        server::{self, CallerConnection},
    },
    ffw_protocol::{
        admission::Server,
        declaration::Repeat,
        digest,
        error::{Error, Kind, Result, Run},
        instance::Role,
        ledger::Event,
    },
    ffw_runtime::{executor, timer},
    http_types::{Method, Response},
    log::{info, warn},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Maximum number of sends of one call.
const SENDS_MAX: u32 = 3;

/// Maximum length of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 200;

/// A call to a plain service, with the data needed to send it.
#[derive(Clone, Debug)]
struct PlainCall {
    entry: Arc<Entry>,
    recorder: Recorder,
    method: Method,
    target: Arc<str>,
    content_type: Option<Arc<str>>,
    body: Arc<[u8]>,
    /// Time from arrival of the request to its deadline.
    time_limit: Duration,
}

/// Serves a call to a plain service.
///
/// # Errors
/// [`Kind::Malformed`] for an invalid idempotency key; otherwise the errors of the backend server,
/// the claim, or a disconnected caller.
pub async fn serve(
    entry: &Arc<Entry>,
    exchange: &mut Exchange,
    target: &str,
    caller: CallerConnection,
) -> Result<Response> {
    let recorder = Recorder::new(&entry.daemon, exchange)?;
    let repeat = recorder.service.repeat_for_path(target);
    let plain_call = PlainCall {
        entry: entry.clone(),
        method: exchange.method,
        target: target.into(),
        content_type: exchange.header("content-type").map(Into::into),
        body: exchange.body.clone(),
        time_limit: recorder.service.deadline(),
        recorder,
    };
    // Plain calls are counted in bytes.
    let body_bytes = plain_call.body.len() as u32;
    plain_call.recorder.record_event(0, Event::Arrived { tokens_in: body_bytes, tokens_out: 0 });
    let key: Option<Arc<str>> = exchange.header("idempotency-key").map(Into::into);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES_MAX) {
        let message = format!("`idempotency-key` must have 1 to {KEY_BYTES_MAX} bytes");
        return Err(Error::new(Kind::Malformed, message));
    }
    let permit = exchange.permit.take();
    // A call that is not idempotent continues after the caller disconnects, because its outcome
    // must be recorded. It stays counted as open until it ends.
    let open_request = OpenRequest::new(&entry.daemon);
    let task = executor::spawn(async move {
        let _counted = (permit, open_request);
        match (repeat, key) {
            (Repeat::Idempotent, _) => call_with_retries(&plain_call).await,
            (Repeat::AtMostOnce, Some(key)) => call_claimed(plain_call, &key).await,
            (Repeat::AtMostOnce, None) => {
                to_response(&plain_call, send_until_reached(plain_call.clone()).await)
            }
        }
    });
    if repeat == Repeat::Idempotent {
        let disconnect = async {
            caller.closed().await;
            Err(Error::new(Kind::CallerGone, "the caller closed the connection"))
        };
        return smol::future::or(task, disconnect).await;
    }
    let (sender, receiver) = smol::channel::bounded(1);
    executor::detach(async move {
        sender.try_send(task.await).ok();
    });
    receiver
        .recv()
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::Internal, "the call ended without a result")))
}

/// Sends the call until a server responds, within [`SENDS_MAX`], the deadline and the retry budget.
async fn call_with_retries(plain_call: &PlainCall) -> Result<Response> {
    plain_call.entry.retry_budget().record_call();
    let attempts = Attempts::default();
    let mut sends = 0;
    loop {
        sends += 1;
        let server = select_server(plain_call).map_err(|error| attempts.qualify(error))?;
        attempts.begin();
        let fault = match plain::call(&http_call(plain_call, &server)).await {
            Ok(answer) => return Ok(respond(plain_call, &to_answer(answer))),
            Err(fault) => fault,
        };
        if fault.proves_not_run() {
            attempts.prove_not_run();
        }
        warn!(
            "event=plain_call_failed request={} server={} error=\"{fault}\"",
            plain_call.recorder.request_id, server.name
        );
        let is_late = identity::now().since(plain_call.recorder.arrived) >= plain_call.time_limit;
        if sends >= SENDS_MAX || is_late || !plain_call.entry.retry_budget().take() {
            return Err(attempts.qualify(fault.to_error(&server.name)));
        }
        timer::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends the call under a claim object in the platform's store, so that it runs at most once for
/// each idempotency key of the workspace and service.
async fn call_claimed(plain_call: PlainCall, key: &str) -> Result<Response> {
    let recorder = &plain_call.recorder;
    let parts = [&*recorder.workspace, &*recorder.service.name, key];
    let name = digest::hex(parts.join("\0").as_bytes());
    let mut digested = format!("{} {}\0", plain_call.method, plain_call.target).into_bytes();
    digested.extend_from_slice(&plain_call.body);
    let call = claim::Call {
        name: format!("{}-{name}", plain_call.entry.daemon.deployment).into(),
        digest: digest::hex(&digested),
        request: recorder.request_id.clone(),
        limit: plain_call.time_limit,
    };
    let sent_call = plain_call.clone();
    let send = move || send_until_reached(sent_call);
    match claim::run(plain_call.entry.daemon.clone(), call, send).await {
        Finish::Answer(answer) => Ok(respond(&plain_call, &answer)),
        Finish::Error(kind, run) => {
            Err(Error::new(kind, error_message(kind, &plain_call)).run(run))
        }
    }
}

fn error_message(kind: Kind, plain_call: &PlainCall) -> String {
    let service = &plain_call.recorder.service.name;
    match kind {
        Kind::KeyReused => "this idempotency key was used before with a different call".to_owned(),
        Kind::StoreUnavailable => {
            format!("service {service}: the claim could not be created, so the call was not sent")
        }
        Kind::OutcomeUnknown => {
            format!(
                "service {service}: a call with this key was sent, and its outcome is not known"
            )
        }
        _ => format!("service {service}: the call failed"),
    }
}

/// Sends the call to servers in turn, until one of them is reached or [`SENDS_MAX`] servers were
/// selected. Does not try again once any byte of the request was sent, since the call may have run.
async fn send_until_reached(plain_call: PlainCall) -> Outcome {
    let mut sends = 0;
    loop {
        sends += 1;
        let server = match select_server(&plain_call) {
            Ok(server) => server,
            Err(error) => return Outcome::NotRun(error.kind),
        };
        match plain::call(&http_call(&plain_call, &server)).await {
            Ok(answer) => return Outcome::Answered(to_answer(answer)),
            Err(Fault::Unreached(_)) if sends < SENDS_MAX => {}
            Err(fault) => {
                let error = fault.to_error(&server.name);
                warn!(
                    "event=plain_call_failed request={} error=\"{error}\"",
                    plain_call.recorder.request_id
                );
                let kind = error.kind;
                let not_run = fault.proves_not_run();
                return if not_run { Outcome::NotRun(kind) } else { Outcome::Unknown(kind) };
            }
        }
    }
}

fn to_response(plain_call: &PlainCall, outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Answered(answer) => Ok(respond(plain_call, &answer)),
        Outcome::NotRun(kind) => {
            Err(Error::new(kind, error_message(kind, plain_call)).run(Run::Not))
        }
        Outcome::Unknown(kind) => {
            Err(Error::new(kind, error_message(kind, plain_call)).run(Run::Unknown))
        }
    }
}

fn select_server(plain_call: &PlainCall) -> Result<Server> {
    let daemon = &plain_call.entry.daemon;
    let pool = &plain_call.recorder.service.pool;
    // No servers are passed that report their own leaving: the instance list and the configuration
    // alone determine which plain servers are leaving.
    let members = daemon.view.members(pool, Role::Plain, &[]);
    let live: Vec<Server> =
        members.into_iter().filter(|member| !member.leaving).map(|member| member.server).collect();
    let turn = daemon.turn.fetch_add(1, Ordering::Relaxed) as usize;
    let count = live.len().max(1);
    live.into_iter().nth(turn % count).ok_or_else(|| {
        Error::new(Kind::NoBackend, format!("pool {pool} has no live backend server"))
    })
}

fn http_call(plain_call: &PlainCall, server: &Server) -> Call {
    let mut call = Call::new(server.address, plain_call.method, plain_call.target.clone())
        .limit(plain_call.time_limit);
    call.body = plain_call.body.clone();
    let header = |name: &str, value: &str| Header { name: name.into(), value: value.into() };
    call.headers.push(header("fireflyworks-request", &plain_call.recorder.request_id.to_string()));
    call.headers.push(header("fireflyworks-workspace", &plain_call.recorder.workspace));
    if let Some(content_type) = &plain_call.content_type {
        call.headers.push(header("content-type", content_type));
    }
    call
}

fn to_answer(answer: plain::Answer) -> Answer {
    Answer { status: answer.status, media: answer.media, body: answer.body }
}

fn respond(plain_call: &PlainCall, answer: &Answer) -> Response {
    let delivery = Delivery {
        delivered: answer.body.len() as u64,
        first_token_at: Some(identity::now()),
        last_token_at: None,
    };
    plain_call.recorder.record_answered(1, &delivery);
    let (request, service) = (&plain_call.recorder.request_id, &plain_call.recorder.service.name);
    info!("event=request_answered request={request} service={service} status={}", answer.status);
    let mut response = server::text_response(answer.status, &answer.media, &answer.body);
    response.insert_header("fireflyworks-run", Run::Ran.word());
    response
}
