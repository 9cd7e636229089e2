//! Serves a caller's connection: reads requests one after the other, matches each with a route and
//! answers it.
//!
//! A request that a filter rejects is not sent to a backend server. Limits on heads, bodies and
//! idle time bound what slow or idle callers can hold open. Refusals under load or during an outage
//! carry a time after which the caller may retry.

mod authenticate;
mod confirm;
mod filter;
mod quota;

use {
    crate::{
        dialect::{Principal, RequestInfo},
        plain,
        response::{self, Persistence},
        router::{INGRESS_DRAIN_TIME, Router},
        stream,
    },
    ffw_control::{
        metrics::routed::{NO_POOL, Stage},
        quota::Charge,
        snapshot::Snapshot,
    },
    ffw_http::{
        connection::{Connection, Fault},
        message::Request,
    },
    ffw_protocol::{
        declaration::Workspace,
        error::{Error, Kind, Run},
        route::{Limits, Route},
    },
    ffw_runtime::{budget::Kind as Held, timer},
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

/// Copies of a head that are held while its request is served: as received, as routed, and as
/// written to a backend server.
const HEAD_COPIES: usize = 3;

/// Longest time for which the unread rest of a request is read and discarded before its
/// connection is closed.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// A request that has passed the filters.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    /// Head as the caller sent it.
    pub(crate) head: Request,
    /// Whole body.
    pub(crate) body: Vec<u8>,
    /// What the adapter's dialect parsed from the head.
    pub(crate) request_info: RequestInfo,
    /// Route that matched host and path, with the rank of the caller's workspace if that has one.
    pub(crate) route: Route,
    /// Workspace that holds the caller's key; `None` if the route needs no key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// What the request was charged to the quota of its workspace; `None` without a quota.
    pub(crate) charge: Option<Charge>,
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
    /// On whose behalf calls for the request are made.
    pub(crate) fn principal(&self) -> Principal<'_> {
        match &self.workspace {
            Some(workspace) => Principal::Workspace(&workspace.name),
            None if self.snapshot.deployment.requires_keys => Principal::Public,
            None => Principal::Unidentified,
        }
    }

    /// Whether the deadline has passed.
    pub(crate) fn is_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Gives back what the request was charged if the error states that it did not run.
    fn refund_unless_run(&self, router: &Router, error: &Error) {
        if let Some(charge) = self.charge.as_ref().filter(|_| error.run == Run::Not) {
            router.daemon.quotas.refund(charge);
        }
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
            Ok(Some(head)) if !caller.charge(Held::Head, HEAD_COPIES * head.held_bytes()) => {
                return refuse_unread(caller, &filter::out_of_memory()).await;
            }
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return refuse_unread(caller, &error).await,
        };
        let _in_flight = router.begin_request();
        // In a box, so that a connection without a request does not hold the state of one.
        let serving = serve_request(&router, &mut caller, head);
        let serving = Box::pin(serving);
        let disposition = serving.await;
        caller.end_request();
        match disposition {
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
        Some(Err(Fault::OutOfMemory)) => Err(filter::out_of_memory()),
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
    let (request, _buffer_guard) = match filter::apply(router, caller, &head, started_at).await {
        Ok(accepted) => accepted,
        Err(filter::Rejected { error, is_body_read }) => {
            router.daemon.metrics.routed.record_end(NO_POOL, error.kind.row().code);
            return refuse(router, caller, &head, &error, is_body_read).await;
        }
    };
    if !request.route.is_stream {
        return serve_plain(router, &request, caller).await;
    }
    let end = Box::pin(stream::serve(router, &request, caller)).await;
    let outcome = match &end {
        stream::Outcome::Complete(_) => "served",
        stream::Outcome::Cut => "cut",
        stream::Outcome::Failed(error) => error.kind.row().code,
    };
    request.record_outcome(router, outcome);
    if let stream::Outcome::Failed(error) = &end {
        request.refund_unless_run(router, error);
    }
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
    let serving = async { Some(Box::pin(plain::serve(router, request)).await) };
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
    if let Some(Err(error)) = &served {
        request.refund_unless_run(router, error);
    }
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
            let body = &served.body;
            let writing =
                response::write_segments(caller, head, response, body.segments(), persistence);
            let written = writing.await;
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
