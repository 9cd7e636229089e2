//! Serves a caller's connection: reads requests one after the other, matches each with a route and
//! answers it.
//!
//! Filters may reject a request before it is sent to a backend server; `apply_filters` lists them
//! in their order. Limits on heads, bodies and idle time bound what slow or idle callers can hold
//! open. Refusals under load or during an outage carry a time after which the caller may retry.

use {
    crate::{
        dialect::RequestInfo,
        plain,
        response::{self, Persistence},
        router::{CounterGuard, INGRESS_DRAIN_TIME, Router},
        stream,
    },
    ffw_control::{
        metrics::routed::{NO_POOL, Stage},
        snapshot::Snapshot,
    },
    ffw_decide::retry,
    ffw_http::{
        connection::{Connection, Fault},
        framing::{Decoder, Framing},
        message::Request,
    },
    ffw_protocol::{
        error::{Error, Kind, Run},
        route::{Limits, Route},
    },
    ffw_runtime::timer,
    log::{debug, info},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Period at which the limits of an idle connection are checked.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(250);

/// Time for which an idle connection is kept open after the daemon has begun to shut down.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a connection may stay idle once the listener is closed. A caller that connected
/// just before sends its request at once.
const CLOSED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which the unread rest of a request is read and discarded before its
/// connection is closed.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Longest time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry-After of a request that was refused because no memory was left for its body or because a
/// newer configuration may have its route, and the least one of a request that was refused because
/// no configuration is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time for which a request on an unknown route waits for a confirmation that there is no
/// newer configuration.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(500);

/// Largest Retry-After of a request that was refused because no configuration is known.
const NOT_READY_RETRY_MAX: Duration = Duration::from_secs(4);

/// Retry-After of a request that was refused because this daemon shuts down; the caller may then
/// retry at another daemon.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Time that a response needs to reach its caller.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(20);

/// A request that has passed the filters.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    /// Head as the caller sent it.
    pub(crate) head: Request,
    /// Whole body.
    pub(crate) body: Vec<u8>,
    /// What the adapter's dialect parsed from the head.
    pub(crate) request_info: RequestInfo,
    /// Route that matched host and path.
    pub(crate) route: Route,
    /// Name of the pool that serves the request.
    pub(crate) pool: Arc<str>,
    /// Configuration under which the request is served.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Time at which the head had been read.
    pub(crate) started_at: Instant,
    /// Time by which the response must have been sent, so that it reaches the caller in time.
    pub(crate) deadline: Instant,
}

impl RoutedRequest {
    /// Whether the deadline has passed.
    pub(crate) fn is_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Counts the outcome of the request and records its total time.
    fn record_outcome(&self, router: &Router, outcome: &str) {
        let routed = &router.daemon.metrics.routed;
        routed.record_end(&self.pool, outcome);
        routed.record_stage(&self.pool, Stage::Whole, self.started_at.elapsed());
    }

    /// Time until the deadline; zero if it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Serves a connection until one side closes it.
pub async fn serve(router: Arc<Router>, mut caller: Connection) {
    loop {
        let limits = current_limits(&router);
        let head = match next_head(&router, &mut caller, &limits).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return refuse_unread(caller, &error).await,
        };
        let _in_flight = router.begin_request();
        match serve_request(&router, &mut caller, head).await {
            Disposition::Keep => {}
            Disposition::Close => return caller.close(DISCARD_TIME).await,
            Disposition::Cut => return,
            Disposition::Unread => return caller.linger(DISCARD_TIME).await,
        }
    }
}

/// What happens to a connection after a request.
enum Disposition {
    Keep,
    /// The caller has got a whole response.
    Close,
    /// The caller must not take the response for complete, or has left.
    Cut,
    /// The request was not read to its end: the rest is read and discarded, then the
    /// connection is closed.
    Unread,
}

fn current_limits(router: &Router) -> Limits {
    router.daemon.view.config().map_or(Limits::default(), |snapshot| snapshot.limits())
}

/// Waits for the head of the next request; `None` if the connection ends or idles too long before
/// one.
///
/// # Errors
/// The head is too large, malformed, or took too long.
async fn next_head(
    router: &Router,
    caller: &mut Connection,
    limits: &Limits,
) -> Result<Option<Request>, Error> {
    if !wait_for_request(router, caller).await {
        return Ok(None);
    }
    let limit = Duration::from_millis(limits.header_ms);
    let bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
    match timer::timeout(limit, caller.read_request(bytes)).await {
        Some(Ok(head)) => Ok(Some(head)),
        Some(Err(Fault::Closed | Fault::Broken(_))) => Ok(None),
        Some(Err(Fault::TooLarge)) => Err(Error::new(Kind::TooLarge, "the head is too large")),
        Some(Err(fault)) => Err(Error::new(Kind::Malformed, fault.to_string())),
        None => Err(Error::new(Kind::Timeout, "the head did not arrive in time").run(Run::Not)),
    }
}

/// Waits for the first byte of a request; returns whether one arrived before the connection closed
/// or its idle limit passed. The limit is read at each check, as the configuration may change
/// meanwhile.
async fn wait_for_request(router: &Router, caller: &mut Connection) -> bool {
    let started_at = Instant::now();
    let mut draining_since = None;
    loop {
        match timer::timeout(IDLE_POLL_PERIOD, caller.wait_readable()).await {
            Some(readable) => return readable.is_ok(),
            None if router.daemon.is_draining() => {
                let since = *draining_since.get_or_insert_with(Instant::now);
                let is_closed = router.daemon.draining_for() >= INGRESS_DRAIN_TIME;
                if since.elapsed() >= DRAINING_IDLE_TIMEOUT
                    || is_closed && started_at.elapsed() >= CLOSED_IDLE_TIMEOUT
                {
                    return false;
                }
            }
            None => {
                let limit = Duration::from_millis(current_limits(router).idle_ms);
                if started_at.elapsed() >= limit {
                    return false;
                }
            }
        }
    }
}

async fn refuse_unread(mut caller: Connection, error: &Error) {
    let (head, body) = response::from_error(error);
    // No head could be read; the response depends on a request's method and version.
    let request = Request::new("GET", "/");
    info!("event=request_unreadable error=\"{error}\"");
    match response::write(&mut caller, &request, head, &body, Persistence::Close).await {
        Ok(()) => caller.linger(DISCARD_TIME).await,
        Err(err) => debug!("event=caller_gone error=\"{err}\""),
    }
}

async fn serve_request(
    router: &Arc<Router>,
    caller: &mut Connection,
    head: Request,
) -> Disposition {
    let started_at = Instant::now();
    let (request, _buffer_guard) = match apply_filters(router, caller, &head, started_at).await {
        Ok(accepted) => accepted,
        Err(Rejected { error, is_body_read }) => {
            router.daemon.metrics.routed.record_end(NO_POOL, error.kind.row().code);
            return refuse(router, caller, &head, &error, is_body_read).await;
        }
    };
    if !request.route.is_stream {
        return serve_plain(router, &request, caller).await;
    }
    let end = stream::serve(router, &request, caller).await;
    let outcome = match &end {
        stream::Outcome::Complete(_) => "served",
        stream::Outcome::Cut => "cut",
        stream::Outcome::Failed(error) => error.kind.row().code,
    };
    request.record_outcome(router, outcome);
    match end {
        stream::Outcome::Complete(Persistence::Keep) => Disposition::Keep,
        stream::Outcome::Complete(Persistence::Close) => Disposition::Close,
        stream::Outcome::Cut => Disposition::Cut,
        stream::Outcome::Failed(error) => refuse(router, caller, &head, &error, true).await,
    }
}

async fn serve_plain(
    router: &Router,
    request: &RoutedRequest,
    caller: &mut Connection,
) -> Disposition {
    let serving = async { Some(plain::serve(router, request).await) };
    let watcher = caller.close_watcher();
    let caller_closed = async {
        watcher.closed().await;
        None
    };
    let served = smol::future::or(serving, caller_closed).await;
    let outcome = match &served {
        None => "caller_gone",
        Some(Err(error)) => error.kind.row().code,
        Some(Ok(served)) if served.head.status >= 500 => "server_failed",
        Some(Ok(_)) => "served",
    };
    request.record_outcome(router, outcome);
    let head = &request.head;
    match served {
        None => {
            debug!("event=caller_gone request={}", request.request_info.id);
            Disposition::Cut
        }
        Some(Err(error)) => refuse(router, caller, head, &error, true).await,
        Some(Ok(served)) => {
            let mut response = served.head;
            response.fields.remove_hop_by_hop();
            response.fields.remove("content-length");
            let persistence = persistence_after(router, head);
            let written = response::write(caller, head, response, &served.body, persistence).await;
            disposition(written.is_ok(), persistence)
        }
    }
}

fn disposition(is_written: bool, persistence: Persistence) -> Disposition {
    match persistence {
        _ if !is_written => Disposition::Cut,
        Persistence::Keep => Disposition::Keep,
        Persistence::Close => Disposition::Close,
    }
}

/// Whether the connection is kept open for another request.
pub(crate) fn persistence_after(router: &Router, head: &Request) -> Persistence {
    let keeps = head.keeps_connection() && !router.daemon.is_draining();
    if keeps { Persistence::Keep } else { Persistence::Close }
}

async fn refuse(
    router: &Router,
    caller: &mut Connection,
    head: &Request,
    error: &Error,
    is_body_read: bool,
) -> Disposition {
    let id = (router.dialect.parse_request)(head)
        .map(|request_info| request_info.id)
        .unwrap_or_default();
    info!("event=request_failed request={id} target={} error=\"{error}\"", head.path());
    let (response, body) = response::from_error(error);
    let persistence =
        if is_body_read { persistence_after(router, head) } else { Persistence::Close };
    let written = response::write(caller, head, response, &body, persistence).await;
    if written.is_ok() && !is_body_read {
        Disposition::Unread
    } else {
        disposition(written.is_ok(), persistence)
    }
}

/// A request that a filter rejected, and why.
struct Rejected {
    error: Error,
    /// Whether the body was read, so that the connection can carry another request.
    is_body_read: bool,
}

fn reject_unread(error: Error) -> Rejected {
    Rejected { error, is_body_read: false }
}

/// Runs the filters in this order: framing, configuration, head, body and its size, host, route,
/// pool, shutdown.
async fn apply_filters<'a>(
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
    let rejected = |error| Rejected { error, is_body_read: true };
    let host = host_of(head).map_err(rejected)?;
    let waits_until =
        started_at + request_info.timeout.unwrap_or(Duration::MAX).min(CONFIRMATION_WAIT);
    let (snapshot, route) =
        find_route(router, snapshot, &host, head.path(), waits_until).await.map_err(rejected)?;
    let pool = route.pool(router.next_choice_number()).cloned().ok_or_else(|| {
        rejected(Error::new(Kind::NoBackend, format!("route {} has no pool", route.name)))
    })?;
    if !router.can_finish(route.is_stream) {
        let error =
            Error::new(Kind::Draining, "this daemon shuts down before the request could finish");
        return Err(rejected(error.retry_after(DRAINING_RETRY_AFTER)));
    }
    router.record_request(&pool);
    let limit = route.timeout().min(request_info.timeout.unwrap_or(Duration::MAX));
    // The caller must receive the response before it stops waiting. Of a short limit,
    // at most a twentieth is subtracted.
    let limit = limit - RESPONSE_TRANSIT_TIME.min(limit / 20);
    let deadline = started_at + limit;
    let head = head.clone();
    let request =
        RoutedRequest { head, body, request_info, route, pool, snapshot, started_at, deadline };
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
    let daemon = &router.daemon;
    let limit = waits_until.saturating_duration_since(Instant::now());
    let is_current = daemon.freshness().is_current(limit).await;
    let snapshot = daemon.view.config().unwrap_or(snapshot);
    if let Some(route) = snapshot.route(host, path).cloned() {
        return Ok((snapshot, route));
    }
    let confirmed = match daemon.freshness().confirmation_age() {
        Some(age) => format!("confirmed {} ms ago", age.as_millis()),
        None => "not confirmed".into(),
    };
    let version = snapshot.version.number;
    let message = format!("no route for {host}{path} in version {version}, {confirmed}");
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
    let mut body = Vec::with_capacity(declared);
    loop {
        let part = match caller.read_part(decoder).await {
            Ok(Some(part)) => part,
            Ok(None) => return Ok(body),
            Err(fault) => {
                return Err(Error::new(Kind::Malformed, format!("bad body: {fault}")));
            }
        };
        if body.len() + part.len() > limit {
            return Err(too_large(limit));
        }
        let reserved = declared.max(body.len());
        let beyond = (body.len() + part.len()).saturating_sub(reserved);
        if !router.reserve_more(buffer_guard, beyond) {
            return Err(out_of_memory());
        }
        body.extend_from_slice(&part);
    }
}

fn too_large(limit: usize) -> Error {
    Error::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

fn out_of_memory() -> Error {
    Error::new(Kind::Overloaded, "no memory for the body").retry_after(RETRY_AFTER)
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
