//! Calls of plain services: repeated within a budget where they may be, and at most once where they
//! may not.

use {
    crate::{
        entry::{Entry, Open},
        exchange::Exchange,
        record::{Account, Delivery},
    },
    ffw_backend::plain,
    ffw_control::{claim, identity},
    ffw_decide::claim::{Answer, Finish, Outcome},
    ffw_http::{
        client::{Call, Header},
        fault::Fault,
        server::{self, Caller},
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

/// Most servers that one call is offered to.
const TRIES_MAX: u32 = 3;

/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 200;

/// A plain call with all that it needs.
#[derive(Clone, Debug)]
struct Work {
    entry: Arc<Entry>,
    account: Account,
    method: Method,
    path: Arc<str>,
    media: Option<Arc<str>>,
    body: Arc<[u8]>,
    limit: Duration,
}

/// Serves a plain call.
///
/// # Errors
/// As the service or its claim gives them.
pub async fn serve(
    entry: &Arc<Entry>,
    exchange: &mut Exchange,
    path: &str,
    caller: Caller,
) -> Result<Response> {
    let account = Account::new(&entry.daemon, exchange)?;
    let repeat = account.service.repeat_of(path);
    let work = Work {
        entry: entry.clone(),
        method: exchange.method,
        path: path.into(),
        media: exchange.header("content-type").map(Into::into),
        body: exchange.body.clone(),
        limit: account.service.deadline(),
        account,
    };
    let tokens_in = work.body.len() as u32;
    work.account.note(0, Event::Arrived { tokens_in, tokens_out: 0 });
    let key: Option<Arc<str>> = exchange.header("idempotency-key").map(Into::into);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_MAX) {
        let message = format!("`idempotency-key` must have 1 to {KEY_MAX} bytes");
        return Err(Error::new(Kind::Malformed, message));
    }
    let permit = exchange.permit.take();
    // The call goes on without its caller: its outcome must be recorded.
    let open = Open::new(&entry.daemon);
    let task = executor::spawn(async move {
        let _counted = (permit, open);
        match (repeat, key) {
            (Repeat::Idempotent, _) => call_repeatedly(&work).await,
            (Repeat::AtMostOnce, Some(key)) => call_claimed(work, &key).await,
            (Repeat::AtMostOnce, None) => finish(&work, send_once(work.clone()).await),
        }
    });
    if repeat == Repeat::Idempotent {
        let leaving = async {
            caller.gone().await;
            Err(Error::new(Kind::CallerGone, "the caller closed the connection"))
        };
        return smol::future::or(task, leaving).await;
    }
    let (sender, receiver) = smol::channel::bounded(1);
    executor::detach(async move {
        sender.try_send(task.await).ok();
    });
    receiver.recv().await.unwrap_or_else(|_| Err(Error::new(Kind::Internal, "the call was lost")))
}

/// Calls until a server answers, within the retry budget.
async fn call_repeatedly(work: &Work) -> Result<Response> {
    work.entry.retries().count_call();
    let mut tries = 0;
    loop {
        tries += 1;
        let server = choose(work)?;
        let fault = match plain::call(&call_of(work, &server)).await {
            Ok(answer) => return Ok(respond(work, &to_answer(answer))),
            Err(fault) => fault,
        };
        warn!(
            "event=plain_call_failed request={} server={} error=\"{fault}\"",
            work.account.request, server.name
        );
        let is_late = identity::now().since(work.account.arrived) >= work.limit;
        if tries >= TRIES_MAX || is_late || !work.entry.retries().take() {
            return Err(fault.to_error(&server.name));
        }
        timer::sleep(Duration::from_millis(20)).await;
    }
}

/// Calls under a claim of the platform, so that the call runs at most once.
async fn call_claimed(work: Work, key: &str) -> Result<Response> {
    let account = &work.account;
    let parts = [&*account.workspace, &*account.service.name, key];
    let name = digest::hex(parts.join("\0").as_bytes());
    let mut digested = format!("{} {}\0", work.method, work.path).into_bytes();
    digested.extend_from_slice(&work.body);
    let call = claim::Call {
        name: format!("{}-{name}", work.entry.daemon.deployment).into(),
        digest: digest::hex(&digested),
        request: account.request.clone(),
        limit: work.limit,
    };
    let sending = work.clone();
    let send = move || send_once(sending);
    match claim::run(work.entry.daemon.clone(), call, send).await {
        Finish::Answer(answer) => Ok(respond(&work, &answer)),
        Finish::Error(kind, run) => Err(Error::new(kind, message_of(kind, &work)).run(run)),
    }
}

fn message_of(kind: Kind, work: &Work) -> String {
    let service = &work.account.service.name;
    match kind {
        Kind::KeyReused => "this idempotency key came with another call before".to_owned(),
        Kind::StoreUnavailable => {
            format!("service {service}: the claim could not be made, so the call was not sent")
        }
        Kind::OutcomeUnknown => {
            format!(
                "service {service}: a call with this key was sent, and its outcome is not known"
            )
        }
        _ => format!("service {service}: the call failed"),
    }
}

/// Sends the call to one server. Another one is tried only if no byte was handed over.
async fn send_once(work: Work) -> Outcome {
    let mut tries = 0;
    loop {
        tries += 1;
        let server = match choose(&work) {
            Ok(server) => server,
            Err(error) => return Outcome::NotRun(error.kind),
        };
        match plain::call(&call_of(&work, &server)).await {
            Ok(answer) => return Outcome::Answered(to_answer(answer)),
            Err(Fault::Unreached(_)) if tries < TRIES_MAX => {}
            Err(fault) => {
                let error = fault.to_error(&server.name);
                warn!("event=plain_call_failed request={} error=\"{error}\"", work.account.request);
                let kind = error.kind;
                let not_run = fault.proves_not_run();
                return if not_run { Outcome::NotRun(kind) } else { Outcome::Unknown(kind) };
            }
        }
    }
}

fn finish(work: &Work, outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Answered(answer) => Ok(respond(work, &answer)),
        Outcome::NotRun(kind) => Err(Error::new(kind, message_of(kind, work)).run(Run::Not)),
        Outcome::Unknown(kind) => Err(Error::new(kind, message_of(kind, work)).run(Run::Unknown)),
    }
}

fn choose(work: &Work) -> Result<Server> {
    let daemon = &work.entry.daemon;
    let pool = &work.account.service.pool;
    let members = daemon.view.members(pool, Role::Plain, &[]);
    let live: Vec<Server> =
        members.into_iter().filter(|one| !one.leaving).map(|one| one.server).collect();
    let turn = daemon.turn.fetch_add(1, Ordering::Relaxed) as usize;
    let count = live.len().max(1);
    live.into_iter().nth(turn % count).ok_or_else(|| {
        Error::new(Kind::NoBackend, format!("pool {pool} has no live backend server"))
    })
}

fn call_of(work: &Work, server: &Server) -> Call {
    let mut call = Call::new(server.address, work.method, work.path.clone()).limit(work.limit);
    call.body = work.body.clone();
    let header = |name: &str, value: &str| Header { name: name.into(), value: value.into() };
    call.headers.push(header("fireflyworks-request", &work.account.request.to_string()));
    call.headers.push(header("fireflyworks-workspace", &work.account.workspace));
    if let Some(media) = &work.media {
        call.headers.push(header("content-type", media));
    }
    call
}

fn to_answer(answer: plain::Answer) -> Answer {
    Answer { status: answer.status, media: answer.media, body: answer.body }
}

fn respond(work: &Work, answer: &Answer) -> Response {
    let delivery =
        Delivery { delivered: answer.body.len() as u64, first: Some(identity::now()), last: None };
    work.account.answered(1, &delivery);
    let (request, service) = (&work.account.request, &work.account.service.name);
    info!("event=request_answered request={request} service={service} status={}", answer.status);
    let mut response = server::text_response(answer.status, &answer.media, &answer.body);
    response.insert_header("fireflyworks-run", Run::Ran.word());
    response
}
