//! Filters between a request's head and its route. Each may reject the request before it is sent to
//! a backend server; [`apply`] lists them in their order.

use {
    super::{
        RoutedRequest,
        authenticate::{self, Authenticated},
        confirm::{Confirmed, confirm},
        quota,
    },
    crate::{
        body::Body,
        response,
        router::{CounterGuard, Router},
    },
    ffw_control::snapshot::Snapshot,
    ffw_decide::retry,
    ffw_http::{
        connection::{Connection, Fault},
        framing::{Decoder, Framing},
        message::Request,
    },
    ffw_protocol::{
        error::{Error, Kind, Run},
        route::Route,
    },
    ffw_runtime::timer,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry-After of a request that was refused because no memory was left for its body or because a
/// newer configuration may have its route, and the least one of a request that was refused because
/// no configuration is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time for which a request on an unknown route or with an unknown key waits for a
/// confirmation that there is no newer configuration.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(500);

/// Largest Retry-After of a request that was refused because no configuration is known.
const NOT_READY_RETRY_MAX: Duration = Duration::from_secs(4);

/// Retry-After of a request that was refused because this daemon shuts down; the caller may then
/// retry at another daemon.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Time that a response needs to reach its caller.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(20);

/// A request that a filter rejected, and why.
pub(super) struct Rejected {
    pub(super) error: Error,
    /// Whether the body was read, so that the connection can carry another request.
    pub(super) is_body_read: bool,
}

fn reject_unread(error: Error) -> Rejected {
    Rejected { error, is_body_read: false }
}

/// Runs the filters in this order: framing, configuration, head, body and its size, host, route,
/// key, pool, shutdown, quota.
pub(super) async fn apply<'a>(
    router: &'a Router,
    caller: &mut Connection,
    head: &Request,
    started_at: Instant,
) -> Result<(RoutedRequest, CounterGuard<'a>), Rejected> {
    let malformed = |cause: &dyn std::fmt::Display| Error::new(Kind::Malformed, cause.to_string());
    let framing = Framing::of_request(head).map_err(|cause| reject_unread(malformed(&cause)))?;
    let snapshot = router.daemon.view.config().ok_or_else(|| {
        let error = Error::new(Kind::NotReady, "no configuration is known yet");
        let age = router.started_at.elapsed();
        reject_unread(error.retry_after(retry::after_outage(age, RETRY_AFTER, NOT_READY_RETRY_MAX)))
    })?;
    let limits = snapshot.limits();
    let request_info =
        (router.dialect.parse_request)(head).map_err(|cause| reject_unread(malformed(&cause)))?;
    let body_limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let (body, buffer_guard) =
        read_body(router, caller, head, framing, body_limit).await.map_err(reject_unread)?;
    if !caller.begin_request() {
        return Err(reject_unread(out_of_memory()));
    }
    let rejected = |error| Rejected { error, is_body_read: true };
    let host = host_of(head).map_err(rejected)?;
    let waits_until =
        started_at + request_info.timeout.unwrap_or(Duration::MAX).min(CONFIRMATION_WAIT);
    let path = head.path();
    let (snapshot, route) =
        find_route(router, snapshot, &host, path, waits_until).await.map_err(rejected)?;
    let target = (&*host, path);
    let authenticating =
        authenticate::apply(router, snapshot, route, target, &request_info, waits_until);
    let Authenticated { snapshot, route, workspace } = authenticating.await.map_err(rejected)?;
    let pool = route.pool(router.next_choice_number()).cloned().ok_or_else(|| {
        rejected(Error::new(Kind::NoBackend, format!("route {} has no pool", route.name)))
    })?;
    let limit = route.timeout().min(request_info.timeout.unwrap_or(Duration::MAX));
    // The caller must receive the response before it stops waiting. Of a short limit,
    // at most a twentieth is subtracted.
    let limit = limit - RESPONSE_TRANSIT_TIME.min(limit / 20);
    let deadline = started_at + limit;
    let time_left = deadline.saturating_duration_since(Instant::now());
    if !router.can_finish(route.is_stream, time_left) {
        let error =
            Error::new(Kind::Draining, "this daemon shuts down before the request could finish");
        return Err(rejected(error.retry_after(DRAINING_RETRY_AFTER)));
    }
    let charge = match &workspace {
        Some(workspace) => {
            let version = snapshot.version.number;
            let charging = quota::apply(router, workspace, version, &request_info, time_left);
            charging.await.map_err(rejected)?
        }
        None => None,
    };
    router.record_request(&pool);
    let head = head.clone();
    let request = RoutedRequest {
        head,
        body,
        request_info,
        route,
        workspace,
        charge,
        pool,
        snapshot,
        started_at,
        deadline,
    };
    Ok((request, buffer_guard))
}

/// The route of a host and path, and the configuration that has it. If the given configuration has
/// none, one that the store has confirmed lately must not have one either; until `waits_until`, a
/// confirmation is waited for.
///
/// # Errors
/// [`Kind::NotFound`] if no configuration has the route, [`Kind::NotReady`] if a newer one may have
/// it.
async fn find_route(
    router: &Router,
    snapshot: Arc<Snapshot>,
    host: &str,
    path: &str,
    waits_until: Instant,
) -> Result<(Arc<Snapshot>, Route), Error> {
    if let Some(route) = snapshot.route(host, path).cloned() {
        return Ok((snapshot, route));
    }
    let Confirmed { snapshot, is_current, age } = confirm(router, snapshot, waits_until).await;
    if let Some(route) = snapshot.route(host, path).cloned() {
        return Ok((snapshot, route));
    }
    let version = snapshot.version.number;
    let message = format!("no route for {host}{path} in version {version}, {age}");
    if is_current {
        return Err(Error::new(Kind::NotFound, message));
    }
    Err(Error::new(Kind::NotReady, message).retry_after(RETRY_AFTER))
}

async fn read_body<'a>(
    router: &'a Router,
    caller: &mut Connection,
    head: &Request,
    framing: Framing,
    limit: usize,
) -> Result<(Vec<u8>, CounterGuard<'a>), Error> {
    let declared = match framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => 0,
    };
    if declared > limit {
        return Err(too_large(limit));
    }
    let Some(mut buffer_guard) = router.reserve(declared) else { return Err(out_of_memory()) };
    let mut decoder = Decoder::new(framing);
    if !decoder.has_ended() && head.fields.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        let written = caller.write(interim, response::UNREAD_TIMEOUT).await;
        written.map_err(|err| Error::new(Kind::CallerGone, err.to_string()))?;
    }
    let reading = read_parts(router, caller, &mut decoder, limit, declared, &mut buffer_guard);
    match timer::timeout(BODY_TIMEOUT, reading).await {
        Some(body) => Ok((body?, buffer_guard)),
        None => Err(Error::new(Kind::Timeout, "the body did not arrive in time").run(Run::Not)),
    }
}

/// Reads a body, and reserves memory for the bytes beyond the declared length: for all bytes, if
/// the body is chunked.
async fn read_parts(
    router: &Router,
    caller: &mut Connection,
    decoder: &mut Decoder,
    limit: usize,
    declared: usize,
    buffer_guard: &mut CounterGuard<'_>,
) -> Result<Vec<u8>, Error> {
    let mut body = Body::new(caller, declared).ok_or_else(out_of_memory)?;
    loop {
        let part = match caller.read_part(decoder).await {
            Ok(Some(part)) => part,
            Ok(None) => return body.join(caller).ok_or_else(out_of_memory),
            Err(Fault::OutOfMemory) => return Err(out_of_memory()),
            Err(fault) => {
                return Err(Error::new(Kind::Malformed, format!("bad body: {fault}")));
            }
        };
        if body.len() + part.len() > limit {
            return Err(too_large(limit));
        }
        let reserved = declared.max(body.len());
        let beyond = (body.len() + part.len()).saturating_sub(reserved);
        if !router.reserve_more(buffer_guard, beyond) || !body.push(caller, &part) {
            return Err(out_of_memory());
        }
    }
}

fn too_large(limit: usize) -> Error {
    Error::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

pub(super) fn out_of_memory() -> Error {
    Error::new(Kind::Overloaded, "no memory for the request").retry_after(RETRY_AFTER)
}

/// The host that a request names, in lower case and without its port.
fn host_of(head: &Request) -> Result<String, Error> {
    let mut hosts = head.fields.all("host");
    let host = hosts.next().and_then(|host| std::str::from_utf8(host).ok());
    let (Some(host), None) = (host, hosts.next()) else {
        return Err(Error::new(
            Kind::Malformed,
            "the request must have exactly one readable Host field",
        ));
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.trim().to_ascii_lowercase())
}
