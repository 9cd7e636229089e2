//! A caller's connection: requests are read one after the other, matched with a route, and
//! answered. Filters may end a request before it is served.

use {
    crate::{
        answer::{self, After},
        dialect::RequestInfo,
        plain,
        router::{CounterGuard, Router},
        stream,
    },
    ffw_control::{
        metrics::routed::{NO_POOL, Step},
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

/// Pause between two looks at an idle connection's limits.
const IDLE_LOOK: Duration = Duration::from_millis(250);

/// Time for which an idle connection is kept after the daemon has begun to shut down.
const IDLE_DRAINING: Duration = Duration::from_millis(2_500);

/// Time for which a connection whose request was not read is drained.
const LINGER: Duration = Duration::from_secs(2);

/// Longest time for the body of a request.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// Time after which a caller that was refused for want of memory may come back, and least time for
/// one that was refused for want of a configuration.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Most time after which a caller that was refused for want of a configuration may come back.
const NOT_READY_RETRY_MAX: Duration = Duration::from_secs(4);

/// Time after which a caller may come back to another daemon.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Time for an answer to reach its caller.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// A request that has passed the filters.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Head as the caller sent it.
    pub(crate) head: Request,
    /// Whole body.
    pub(crate) body: Vec<u8>,
    /// What the head says.
    pub(crate) request_info: RequestInfo,
    /// Its route.
    pub(crate) route: Route,
    /// The pool that serves it.
    pub(crate) pool: Arc<str>,
    /// Configuration under which it is served.
    pub(crate) snapshot: Arc<Snapshot>,
    /// When its head was read.
    pub(crate) began: Instant,
    /// When it must have its answer.
    pub(crate) deadline: Instant,
}

impl Exchange {
    /// Whether its time is over.
    pub(crate) fn is_over(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Counts its end.
    fn record_end(&self, router: &Router, outcome: &str) {
        let routed = &router.daemon.metrics.routed;
        routed.record_end(&self.pool, outcome);
        routed.record_step(&self.pool, Step::Whole, self.began.elapsed());
    }

    /// Time that is left.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Serves a connection until it ends.
pub async fn serve(router: Arc<Router>, mut caller: Connection) {
    loop {
        let limits = current_limits(&router);
        let head = match next_head(&router, &mut caller, &limits).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return refuse_unread(caller, &error).await,
        };
        let _counted = router.begin_request();
        match serve_one(&router, &mut caller, head).await {
            End::Keep => {}
            End::Close => return,
            End::Unread => return caller.linger(LINGER).await,
        }
    }
}

/// What becomes of a connection after a request.
enum End {
    Keep,
    Close,
    /// The request was not read to its end.
    Unread,
}

fn current_limits(router: &Router) -> Limits {
    router.daemon.view.config().map_or(Limits::default(), |snapshot| snapshot.limits())
}

/// Waits for the head of the next request; `None` if the connection ends without one.
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
        None => Err(Error::new(Kind::Timeout, "the head came too slowly").run(Run::Not)),
    }
}

/// Waits for the first byte of a request; answers whether it came. The limit is looked up again and
/// again, as the configuration may change it meanwhile.
async fn wait_for_request(router: &Router, caller: &mut Connection) -> bool {
    let began = Instant::now();
    let mut draining_since = None;
    loop {
        match timer::timeout(IDLE_LOOK, caller.wait_readable()).await {
            Some(readable) => return readable.is_ok(),
            None if router.daemon.is_draining() => {
                let since = *draining_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= IDLE_DRAINING {
                    return false;
                }
            }
            None => {
                let limit = Duration::from_millis(current_limits(router).idle_ms);
                if began.elapsed() >= limit {
                    return false;
                }
            }
        }
    }
}

async fn refuse_unread(mut caller: Connection, error: &Error) {
    let (head, body) = answer::of_error(error);
    let request = Request::new("GET", "/");
    info!("event=request_unreadable error=\"{error}\"");
    match answer::write(&mut caller, &request, head, &body, After::Close).await {
        Ok(()) => caller.linger(LINGER).await,
        Err(err) => debug!("event=caller_gone error=\"{err}\""),
    }
}

async fn serve_one(router: &Arc<Router>, caller: &mut Connection, head: Request) -> End {
    let began = Instant::now();
    let (exchange, _room) = match accept(router, caller, &head, began).await {
        Ok(accepted) => accepted,
        Err(Rejected { error, is_read }) => {
            router.daemon.metrics.routed.record_end(NO_POOL, error.kind.row().code);
            return refuse(router, caller, &head, &error, is_read).await;
        }
    };
    if !exchange.route.is_stream {
        return serve_plain(router, &exchange, caller).await;
    }
    let end = stream::serve(router, &exchange, caller).await;
    let outcome = match &end {
        stream::End::Whole(_) => "served",
        stream::End::Cut => "cut",
        stream::End::Failed(error) => error.kind.row().code,
    };
    exchange.record_end(router, outcome);
    match end {
        stream::End::Whole(After::Keep) => End::Keep,
        stream::End::Whole(After::Close) | stream::End::Cut => End::Close,
        stream::End::Failed(error) => refuse(router, caller, &head, &error, true).await,
    }
}

async fn serve_plain(router: &Router, exchange: &Exchange, caller: &mut Connection) -> End {
    let serving = async { Some(plain::serve(router, exchange).await) };
    let watcher = caller.watcher();
    let gone = async {
        watcher.closed().await;
        None
    };
    let served = smol::future::or(serving, gone).await;
    let outcome = match &served {
        None => "caller_gone",
        Some(Err(error)) => error.kind.row().code,
        Some(Ok(served)) if served.head.status >= 500 => "server_failed",
        Some(Ok(_)) => "served",
    };
    exchange.record_end(router, outcome);
    let head = &exchange.head;
    match served {
        None => {
            debug!("event=caller_gone request={}", exchange.request_info.id);
            End::Close
        }
        Some(Err(error)) => refuse(router, caller, head, &error, true).await,
        Some(Ok(served)) => {
            let mut answer = served.head;
            answer.fields.remove_hop_by_hop();
            answer.fields.remove("content-length");
            let after = after(router, head);
            let written = answer::write(caller, head, answer, &served.body, after).await;
            end(written.is_ok(), after)
        }
    }
}

fn end(is_written: bool, after: After) -> End {
    if is_written && after == After::Keep { End::Keep } else { End::Close }
}

/// Whether the connection takes another request.
pub(crate) fn after(router: &Router, head: &Request) -> After {
    let keeps = head.keeps_connection() && !router.daemon.is_draining();
    if keeps { After::Keep } else { After::Close }
}

async fn refuse(
    router: &Router,
    caller: &mut Connection,
    head: &Request,
    error: &Error,
    is_read: bool,
) -> End {
    let id = (router.dialect.parse_request)(head)
        .map(|request_info| request_info.id)
        .unwrap_or_default();
    info!("event=request_failed request={id} target={} error=\"{error}\"", head.path());
    let (answer, body) = answer::of_error(error);
    let after = if is_read { after(router, head) } else { After::Close };
    let written = answer::write(caller, head, answer, &body, after).await;
    if written.is_ok() && !is_read { End::Unread } else { end(written.is_ok(), after) }
}

/// A request that ends at a filter.
struct Rejected {
    error: Error,
    /// Whether its body was read, so that the connection may go on.
    is_read: bool,
}

fn unread(error: Error) -> Rejected {
    Rejected { error, is_read: false }
}

/// Runs the filters: framing, configuration, route, body, size.
async fn accept<'a>(
    router: &'a Router,
    caller: &mut Connection,
    head: &Request,
    began: Instant,
) -> Result<(Exchange, CounterGuard<'a>), Rejected> {
    let malformed = |cause: &dyn std::fmt::Display| Error::new(Kind::Malformed, cause.to_string());
    let framing = Framing::of_request(head).map_err(|cause| unread(malformed(&cause)))?;
    let snapshot = router.daemon.view.config().ok_or_else(|| {
        let error = Error::new(Kind::NotReady, "no configuration is known yet");
        let age = router.began.elapsed();
        unread(error.retry_after(retry::after_outage(age, RETRY_AFTER, NOT_READY_RETRY_MAX)))
    })?;
    let limits = snapshot.limits();
    let request_info =
        (router.dialect.parse_request)(head).map_err(|cause| unread(malformed(&cause)))?;
    let body_limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let (body, room) =
        read_body(router, caller, head, framing, body_limit).await.map_err(unread)?;
    let rejected = |error| Rejected { error, is_read: true };
    let host = host_of(head).map_err(rejected)?;
    let route = snapshot.route(&host, head.path()).cloned().ok_or_else(|| {
        let version = snapshot.version.number;
        let message = format!("no route for {host}{} in version {version}", head.path());
        rejected(Error::new(Kind::NotFound, message))
    })?;
    let pool = route.pool(router.next_turn()).cloned().ok_or_else(|| {
        rejected(Error::new(Kind::NoBackend, format!("route {} has no pool", route.name)))
    })?;
    if !router.can_finish(route.is_stream) {
        let error = Error::new(Kind::Draining, "this daemon ends before the request would");
        return Err(rejected(error.retry_after(DRAINING_RETRY_AFTER)));
    }
    router.record_request(&pool);
    let limit = route.timeout().min(request_info.deadline.unwrap_or(Duration::MAX));
    // The caller must have its answer before it stops waiting.
    let limit = limit - ANSWER_TIME.min(limit / 20);
    let deadline = began + limit;
    let head = head.clone();
    let exchange = Exchange { head, body, request_info, route, pool, snapshot, began, deadline };
    Ok((exchange, room))
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
    let Some(mut room) = router.reserve(declared) else { return Err(no_memory()) };
    let mut decoder = Decoder::new(framing);
    if !decoder.has_ended() && head.fields.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        let written = caller.write(interim, answer::UNREAD_LIMIT).await;
        written.map_err(|err| Error::new(Kind::CallerGone, err.to_string()))?;
    }
    let reading = read_parts(router, caller, &mut decoder, limit, declared, &mut room);
    match timer::timeout(BODY_LIMIT, reading).await {
        Some(body) => Ok((body?, room)),
        None => Err(Error::new(Kind::Timeout, "the body came too slowly").run(Run::Not)),
    }
}

/// Reads a body, and reserves room for what comes beyond the declared length: all of it, if the
/// body comes in chunks.
async fn read_parts(
    router: &Router,
    caller: &mut Connection,
    decoder: &mut Decoder,
    limit: usize,
    declared: usize,
    room: &mut CounterGuard<'_>,
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
        if !router.reserve_more(room, beyond) {
            return Err(no_memory());
        }
        body.extend_from_slice(&part);
    }
}

fn too_large(limit: usize) -> Error {
    Error::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

fn no_memory() -> Error {
    Error::new(Kind::Overloaded, "no memory for the body").retry_after(RETRY_AFTER)
}

/// The host that a request names, in lower case and without its port.
fn host_of(head: &Request) -> Result<String, Error> {
    let mut hosts = head.fields.all("host");
    let host = hosts.next().and_then(|host| std::str::from_utf8(host).ok());
    let (Some(host), None) = (host, hosts.next()) else {
        return Err(Error::new(Kind::Malformed, "the request names no host, or two"));
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.trim().to_ascii_lowercase())
}
