//! Plain requests: sent to one server, and to another one only if the first is known not to have
//! run it, or if running it twice does no harm.

use {
    crate::{
        caller::Exchange,
        dialect::Step,
        router::Router,
        transport::{self, Failure, Outgoing, Whole},
    },
    ffw_control::identity,
    ffw_decide::balance::{Candidate, Outcome},
    ffw_http::message::Response,
    ffw_protocol::{
        admission::Server,
        declaration::Repeat,
        error::{Error, Kind, Run},
        instance::{Instance, Role},
    },
    log::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Largest answer of a plain server, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Idle time up to which a kept connection carries a request that may be repeated.
const REUSE_REPEATABLE: Duration = Duration::from_secs(2);

/// Idle time up to which a kept connection carries a request that may run once at most.
const REUSE_ONCE: Duration = Duration::from_millis(250);

/// Time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A whole answer for the caller.
pub(crate) struct Served {
    pub(crate) head: Response,
    pub(crate) body: Vec<u8>,
}

/// Serves a plain request.
///
/// # Errors
/// What the caller is told instead of a server's answer.
pub(crate) async fn serve(router: &Router, exchange: &Exchange) -> Result<Served, Error> {
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut sends = 0;
    let message = format!("no server of pool {} can take the request", exchange.pool);
    let mut fallback = Err(Error::new(Kind::NoBackend, message).retry_after(RETRY_AFTER));
    loop {
        let Some(server) = choose(router, exchange, &tried) else { return fallback };
        tried.push(server.name.clone());
        let began = Instant::now();
        let result = send(router, exchange, &server).await;
        record_end(router, &server, began, &result);
        sends += u32::from(!matches!(result, Err(Failure::Unreached(_))));
        let is_last = sends >= exchange.route.attempts || exchange.is_over();
        let (cause, outcome) = match judge(exchange, &server, result) {
            Judged::Final(served) => {
                log_served(exchange, &server, sends, &served);
                return served;
            }
            Judged::Again(error) => (error.to_string(), Err(error)),
            Judged::Failed(served) => (format!("answered {}", served.head.status), Ok(served)),
        };
        fallback = worse(fallback, outcome);
        let id = &exchange.request_info.id;
        info!("event=attempt_failed request={id} server={} error=\"{cause}\"", server.name);
        let is_unsent = sends == 0;
        if is_last || !is_unsent && !router.take_repeat(&exchange.pool, 1) {
            return fallback;
        }
    }
}

fn log_served(exchange: &Exchange, server: &Server, sends: u32, served: &Result<Served, Error>) {
    let Ok(served) = served else { return };
    let Exchange { request_info, route, began, snapshot, .. } = exchange;
    info!(
        "event=request_served request={} route={} server={} status={} sends={sends} ms={} config={}",
        request_info.id,
        route.name,
        server.name,
        served.head.status,
        began.elapsed().as_millis(),
        snapshot.version.number,
    );
}

/// What the caller is told of two attempts: that it did not run only if neither ran it, and a
/// server's own answer rather than an error.
fn worse(known: Result<Served, Error>, new: Result<Served, Error>) -> Result<Served, Error> {
    match (known, new) {
        (_, Ok(served)) | (Ok(served), Err(_)) => Ok(served),
        (Err(known), Err(_)) if known.run != Run::Not => Err(known),
        (Err(_), Err(new)) => Err(new),
    }
}

/// What an attempt means for the caller.
enum Judged {
    /// This is its answer.
    Final(Result<Served, Error>),
    /// Another server may be tried; the error if none is.
    Again(Error),
    /// The server failed the request; another one may be tried, or this is the answer.
    Failed(Served),
}

fn judge(exchange: &Exchange, server: &Server, result: Result<Whole, Failure>) -> Judged {
    let may_repeat = exchange.route.repeat == Repeat::Idempotent;
    let failed = |kind: Kind, message: String, run: Run| {
        let message = format!("backend server {}: {message}", server.name);
        let error = Error::new(kind, message).run(run).retry_after(RETRY_AFTER);
        let again = run == Run::Not || may_repeat && kind != Kind::Timeout;
        if again { Judged::Again(error) } else { Judged::Final(Err(error)) }
    };
    match result {
        Err(Failure::Unreached(cause)) => failed(Kind::BackendRefused, cause, Run::Not),
        Err(Failure::Broken(cause)) => failed(Kind::BackendFailed, cause, Run::Unknown),
        Err(Failure::Late) => failed(Kind::Timeout, "no answer in time".into(), Run::Unknown),
        Ok(whole) if whole.response_info.is_not_run => {
            failed(Kind::BackendRefused, format!("refused with {}", whole.head.status), Run::Not)
        }
        Ok(whole) => match whole.fault() {
            Some(fault) => failed(Kind::BackendFailed, fault.into(), Run::Unknown),
            // These statuses promise that the request did not run, which the server has not said.
            None if matches!(whole.head.status, 408 | 421 | 429 | 503) => {
                let message = format!("answered {} without saying more", whole.head.status);
                failed(Kind::BackendFailed, message, Run::Unknown)
            }
            None if whole.head.status >= 500 && may_repeat => {
                Judged::Failed(Served { head: whole.head, body: whole.body })
            }
            None => Judged::Final(Ok(Served { head: whole.head, body: whole.body })),
        },
    }
}

async fn send(router: &Router, exchange: &Exchange, server: &Server) -> Result<Whole, Failure> {
    let may_repeat = exchange.route.repeat == Repeat::Idempotent;
    let outgoing = Outgoing {
        server,
        head: &exchange.head,
        body: &exchange.body,
        id: &exchange.request_info.id,
        step: Step::Run,
        last_event: exchange.request_info.last_event,
        deadline: exchange.deadline,
        head_by: exchange.deadline,
        reuse: if may_repeat { REUSE_REPEATABLE } else { REUSE_ONCE },
    };
    let answer = transport::call(router, &outgoing).await?;
    if let Some(load) = answer.response_info.load {
        let slots = f64::from(load.slots.max(1));
        let share = f64::from(load.running + load.waiting) / slots;
        router.balancer().record_load(identity::now(), &server.name, share);
    }
    answer.into_whole(router, ANSWER_BYTES, exchange.deadline).await
}

fn record_end(router: &Router, server: &Server, began: Instant, result: &Result<Whole, Failure>) {
    let outcome = match result {
        Ok(whole) if whole.response_info.is_not_run => Outcome::Rejected,
        Ok(whole) if whole.fault().is_some() || whole.head.status >= 500 => Outcome::Failed,
        Ok(_) => Outcome::Answered(began.elapsed()),
        Err(_) => Outcome::Failed,
    };
    router.balancer().end(identity::now(), &server.name, outcome);
}

fn choose(router: &Router, exchange: &Exchange, tried: &[Arc<str>]) -> Option<Server> {
    let roster = router.daemon.view.roster();
    let is_candidate = |one: &&Instance| {
        one.role == Role::Plain
            && one.pool == exchange.pool
            && !router.daemon.view.is_leaving(one, &[])
    };
    let open: Vec<&Instance> = roster.instances.iter().filter(is_candidate).collect();
    let own = &router.daemon.identity.data_centre;
    let to_candidate =
        |one: &&Instance| Candidate { name: one.name.clone(), is_local: one.data_centre == *own };
    let candidates: Vec<Candidate> = open.iter().map(to_candidate).collect();
    let turn = router.next_turn();
    let name = router.balancer().choose(identity::now(), &candidates, tried, turn)?;
    let chosen = open.iter().find(|one| one.name == name)?;
    Some(Server { name, address: chosen.address })
}
