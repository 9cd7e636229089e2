//! Serves plain requests: each is sent to one plain server, and to another one only if the first is
//! known not to have run it, or if the route declares that requests may run twice and the deadline
//! has not passed.
//!
//! A server with a rate limit gets a request if a permit is at hand. If all servers have one, the
//! request waits for a permit, for a part of its time, or is refused with the time to come back.
//!
//! A request whose outcome is unknown is not sent again on a route without that declaration, as it
//! could then run twice. Every call after the first one that reached a server is charged to the
//! retry budget, so that failing servers do not multiply the load.

use {
    crate::{
        body::Payload,
        caller::RoutedRequest,
        dialect::Step,
        locality,
        router::Router,
        transport::{self, Failure, FullResponse, OutgoingRequest, Permit},
    },
    ffw_control::{identity, rate},
    ffw_decide::{
        attempts::Attempts,
        balance::{Candidate, Outcome, Preference},
        permits,
    },
    ffw_http::message::Response,
    ffw_peer::service::Roster,
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

/// Largest body of a plain server's response, in bytes.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// Longest idle time of a kept connection that carries a request that may run twice.
const REUSE_IDLE_MAX_IDEMPOTENT: Duration = Duration::from_secs(2);

/// Longest idle time of a kept connection that carries a request that may run at most once.
const REUSE_IDLE_MAX_AT_MOST_ONCE: Duration = Duration::from_millis(250);

/// Retry-After of a request that no server has run.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Least and largest Retry-After of a request that got no permit. A daemon that reaches no other
/// one has permits so rarely that a caller does better to try another daemon.
const PERMIT_RETRY_MIN: Duration = Duration::from_millis(50);
const PERMIT_RETRY_MAX: Duration = Duration::from_secs(5);

/// Message to callers whose requests still run when this process ends.
pub(crate) const ENDING: &str = "this daemon shuts down before the request has finished";

/// A whole response for the caller.
pub(crate) struct PlainResponse {
    pub(crate) head: Response,
    pub(crate) body: Payload,
}

/// Serves a plain request.
///
/// # Errors
/// The error with which the caller is answered if there is no server's response to pass on.
pub(crate) async fn serve(
    router: &Router,
    request: &RoutedRequest,
) -> Result<PlainResponse, Error> {
    let attempts = Attempts::default();
    let running = run_attempts(router, request, &attempts);
    let ending = async {
        router.requests_ending().await;
        Err(Error::new(Kind::Timeout, ENDING))
    };
    let served = smol::future::or(running, ending).await;
    served.map_err(|error| attempts.qualify(error))
}

async fn run_attempts(
    router: &Router,
    request: &RoutedRequest,
    attempts: &Attempts,
) -> Result<PlainResponse, Error> {
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut sends = 0;
    let message = format!("no server of pool {} can take the request", request.pool);
    let pushback = rate::pushback(&router.daemon, &request.pool, Role::Plain);
    let retry_after = pushback.unwrap_or(RETRY_AFTER);
    let mut fallback = Err(Error::new(Kind::NoBackend, message).retry_after(retry_after));
    loop {
        let (server, permit) = match choose(router, request, &tried) {
            Some(chosen) => chosen,
            None => match wait_for_permit(router, request, &tried).await {
                Ok(Some(server)) => (server, Permit::Taken),
                Ok(None) => return fallback,
                Err(error) => return combine_results(fallback, Err(error)),
            },
        };
        tried.push(server.name.clone());
        let started_at = Instant::now();
        let result = send(router, request, &server, permit, attempts).await;
        let outcome = record_outcome(router, &server, started_at, &result);
        let response_bytes = result.as_ref().map_or(0, |response| response.body.len());
        locality::record(router, request, &server.name, outcome, response_bytes);
        sends += u32::from(!matches!(result, Err(Failure::Unreached(_) | Failure::Withheld(_))));
        let is_last = sends >= request.route.attempts || request.is_expired();
        let (cause, outcome) = match classify(request, &server, result) {
            AttemptOutcome::Final(served) => {
                log_served(request, &server, sends, &served);
                return served;
            }
            AttemptOutcome::Retry(error) => (error.to_string(), Err(error)),
            AttemptOutcome::Failed(served) => {
                (format!("answered {}", served.head.status), Ok(served))
            }
        };
        fallback = combine_results(fallback, outcome);
        let id = &request.request_info.id;
        info!("event=attempt_failed request={id} server={} error=\"{cause}\"", server.name);
        let is_unsent = sends == 0;
        if is_last || !is_unsent && !router.take_retries(&request.pool, 1) {
            return fallback;
        }
    }
}

fn log_served(
    request: &RoutedRequest,
    server: &Server,
    sends: u32,
    served: &Result<PlainResponse, Error>,
) {
    let Ok(served) = served else { return };
    let RoutedRequest { request_info, route, started_at, snapshot, .. } = request;
    info!(
        "event=request_served request={} route={} server={} status={} sends={sends} ms={} config={}",
        request_info.id,
        route.name,
        server.name,
        served.head.status,
        started_at.elapsed().as_millis(),
        snapshot.version.number,
    );
}

/// Combines the results of two attempts. Prefers a server's response to an error, and an error of
/// an attempt that may have run the request to one that states that the request did not run.
fn combine_results(
    earlier: Result<PlainResponse, Error>,
    later: Result<PlainResponse, Error>,
) -> Result<PlainResponse, Error> {
    match (earlier, later) {
        (_, Ok(served)) | (Ok(served), Err(_)) => Ok(served),
        (Err(earlier), Err(_)) if earlier.run != Run::Not => Err(earlier),
        (Err(_), Err(later)) => Err(later),
    }
}

/// What follows from the result of an attempt.
enum AttemptOutcome {
    /// The caller is answered with this result.
    Final(Result<PlainResponse, Error>),
    /// Another server may be tried; if none is, the caller gets this error or the result of an
    /// earlier attempt.
    Retry(Error),
    /// The server answered with an error; another server may be tried, and this response is passed
    /// on if none is.
    Failed(PlainResponse),
}

fn classify(
    request: &RoutedRequest,
    server: &Server,
    result: Result<FullResponse, Failure>,
) -> AttemptOutcome {
    let is_idempotent = request.route.repeat == Repeat::Idempotent;
    let failed = |kind: Kind, message: String, run: Run| {
        let message = format!("backend server {}: {message}", server.name);
        let error = Error::new(kind, message).run(run).retry_after(RETRY_AFTER);
        let is_retryable = run == Run::Not || is_idempotent && kind != Kind::Timeout;
        if is_retryable { AttemptOutcome::Retry(error) } else { AttemptOutcome::Final(Err(error)) }
    };
    match result {
        Err(Failure::Unreached(cause)) => failed(Kind::BackendRefused, cause, Run::Not),
        Err(Failure::Withheld(cause)) => failed(Kind::BackendRefused, cause.into(), Run::Not),
        Err(Failure::Broken(cause) | Failure::Disconnected(cause)) => {
            failed(Kind::BackendFailed, cause, Run::Unknown)
        }
        Err(Failure::TimedOut) => failed(Kind::Timeout, "no answer in time".into(), Run::Unknown),
        Ok(response) if response.response_info.is_not_run => {
            failed(Kind::BackendRefused, format!("refused with {}", response.head.status), Run::Not)
        }
        Ok(response) => match response.fault() {
            Some(fault) => failed(Kind::BackendFailed, fault.into(), Run::Unknown),
            // These statuses promise that the request did not run, which the server did not state.
            None if matches!(response.head.status, 408 | 421 | 429 | 503) => {
                let message = format!(
                    "answered {} without stating whether the request ran",
                    response.head.status
                );
                failed(Kind::BackendFailed, message, Run::Unknown)
            }
            None if response.head.status >= 500 && is_idempotent => {
                AttemptOutcome::Failed(PlainResponse { head: response.head, body: response.body })
            }
            None => AttemptOutcome::Final(Ok(PlainResponse {
                head: response.head,
                body: response.body,
            })),
        },
    }
}

async fn send(
    router: &Router,
    request: &RoutedRequest,
    server: &Server,
    permit: Permit,
    attempts: &Attempts,
) -> Result<FullResponse, Failure> {
    let is_idempotent = request.route.repeat == Repeat::Idempotent;
    let outgoing = OutgoingRequest {
        server,
        head: &request.head,
        body: &request.body,
        id: &request.request_info.id,
        step: Step::Run,
        last_event_id: request.request_info.last_event_id,
        deadline: request.deadline,
        head_deadline: request.deadline,
        reuse_idle_max: if is_idempotent {
            REUSE_IDLE_MAX_IDEMPOTENT
        } else {
            REUSE_IDLE_MAX_AT_MOST_ONCE
        },
        permit,
        attempts,
        principal: request.principal(),
    };
    let response = transport::call(router, &outgoing).await?;
    if let Some(load) = response.response_info.load {
        let now = identity::now();
        let mut balancer = router.balancer();
        balancer.record_load(now, &server.name, load.ratio());
        if let Some(slowdown) = load.slowdown {
            balancer.record_slowdown(now, &server.name, slowdown);
        }
    }
    response.into_full(router, RESPONSE_BYTES_MAX, request.deadline).await
}

fn record_outcome(
    router: &Router,
    server: &Server,
    started_at: Instant,
    result: &Result<FullResponse, Failure>,
) -> Outcome {
    let outcome = match result {
        Ok(response) if response.response_info.is_not_run => Outcome::Rejected,
        Ok(response) if response.fault().is_some() || response.head.status >= 500 => {
            Outcome::Failed
        }
        Ok(_) => Outcome::Answered(started_at.elapsed()),
        Err(Failure::Withheld(_)) => Outcome::Rejected,
        Err(_) => Outcome::Failed,
    };
    router.balancer().record_end(identity::now(), &server.name, outcome);
    outcome
}

/// Servers of the request's pool that take work and want requests.
fn candidates<'a>(
    router: &Router,
    request: &RoutedRequest,
    roster: &'a Roster,
) -> Vec<&'a Instance> {
    let is_candidate = |instance: &&Instance| {
        instance.role == Role::Plain
            && instance.pool == request.pool
            && !router.daemon.view.is_leaving(instance, &[])
            && router.withholding_cause(&instance.name).is_none()
    };
    roster.instances.iter().filter(is_candidate).collect()
}

/// Chooses among the servers without a rate limit and those for which a permit is at hand, which is
/// taken.
fn choose(
    router: &Router,
    request: &RoutedRequest,
    tried: &[Arc<str>],
) -> Option<(Server, Permit)> {
    let daemon = &router.daemon;
    let roster = daemon.view.roster();
    let mut instances = candidates(router, request, &roster);
    instances.iter().for_each(|instance| rate::request::record_demand(daemon, &instance.name));
    instances.retain(|instance| daemon.rates.has_room(&instance.name));
    let local_data_centre = &daemon.identity.data_centre;
    let to_candidate = |instance: &&Instance| Candidate {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        is_local: instance.data_centre == *local_data_centre,
    };
    let candidates: Vec<Candidate> = instances.iter().map(to_candidate).collect();
    let choice_number = router.next_choice_number();
    let choice = locality::choose(router, request, &candidates, tried, choice_number);
    let preference = choice.as_ref().map_or(Preference::Near, locality::Choice::preference);
    let now = identity::now();
    let name = router.balancer().choose(now, &candidates, tried, choice_number, preference)?;
    let chosen = instances.iter().find(|instance| instance.name == name)?;
    if let Some(choice) = choice {
        locality::record_choice(router, request, &choice, &chosen.data_centre);
    }
    let permit = match rate::take(daemon, &name) {
        true => Permit::Taken,
        false => Permit::Wanted(Duration::ZERO),
    };
    Some((Server { name, address: chosen.address }, permit))
}

/// Waits for a permit of one of the servers with a rate limit, the one with the highest limit
/// first; `None` if there is no such server.
///
/// # Errors
/// [`Kind::Overloaded`] if the request would have to wait too long at each of them.
async fn wait_for_permit(
    router: &Router,
    request: &RoutedRequest,
    tried: &[Arc<str>],
) -> Result<Option<Server>, Error> {
    let daemon = &router.daemon;
    let roster = daemon.view.roster();
    let untried = candidates(router, request, &roster).into_iter();
    let untried = untried.filter(|instance| !tried.contains(&instance.name));
    let limited = untried
        .filter_map(|instance| daemon.rates.limit(&instance.name).map(|per_s| (per_s, instance)));
    let mut limited: Vec<(f64, &Instance)> = limited.collect();
    limited.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut retry_after: Option<Duration> = None;
    for (_, instance) in limited {
        let patience = permits::patience(request.time_left(), more_urgent_ranks(request));
        match rate::request::acquire(daemon, &instance.name, patience).await {
            Ok(()) => {
                // Counted as open like a chosen one.
                router.balancer().record_begin(&instance.name);
                return Ok(Some(Server { name: instance.name.clone(), address: instance.address }));
            }
            Err(wait) => {
                retry_after = Some(retry_after.map_or(wait, |least| least.min(wait)));
            }
        }
    }
    let Some(wait) = retry_after else { return Ok(None) };
    let message = format!("the servers of pool {} take no more requests now", request.pool);
    Err(Error::new(Kind::Overloaded, message)
        .retry_after(wait.clamp(PERMIT_RETRY_MIN, PERMIT_RETRY_MAX)))
}

/// Number of ranks of the pool's routes that go before that of the request.
fn more_urgent_ranks(request: &RoutedRequest) -> u32 {
    let routes = request.snapshot.deployment.routes.iter();
    let of_pool = routes.filter(|route| {
        route.rank < request.route.rank
            && route.pools.iter().any(|share| share.pool == request.pool)
    });
    let mut ranks: Vec<u8> = of_pool.map(|route| route.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks.len() as u32
}
