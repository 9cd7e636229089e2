//! Accepts the connections of callers, and answers readiness probes and metrics requests of the
//! platform on a listener of their own.

use {
    crate::{
        caller,
        response::{self, Persistence},
        router::Router,
    },
    ffw_control::burn,
    ffw_http::{connection::Connection, message::Response},
    ffw_runtime::{
        budget::Side,
        listener::{self, Tracker},
        meter::Wire,
        timer,
    },
    log::{debug, warn},
    smol::{channel::Receiver, net::TcpListener},
    std::{sync::Arc, time::Duration},
};

/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// Size that is requested for each of the two socket buffers of a caller's connection, in bytes.
/// The system doubles it for its own bookkeeping.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Memory that a caller's connection is charged with for itself: its task and its state.
const CONNECTION_BYTES: usize = 32 << 10;

/// Largest head of a request of the platform, in bytes.
const PLATFORM_HEAD_BYTES_MAX: usize = 8 << 10;

/// Time for which a connection of the platform may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the tracker was closed in which a request of the platform is still answered.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(20);

/// Accepts connections of callers until their tracker is closed. Connections that are open then are
/// still served.
pub async fn serve(router: Arc<Router>, listener: TcpListener, tracker: Tracker) {
    listener::accept(listener, "callers", &tracker, |stream, token| {
        // The listener's own token counts as one.
        if tracker.open() > router.limits().connections_max + 1 {
            warn!("event=connection_refused cause=too_many_connections");
            return;
        }
        let Some(holder) = router.memory.open(Side::Caller, CONNECTION_BYTES) else {
            warn!("event=connection_refused cause=no_memory");
            return;
        };
        let evicted = holder.evicted();
        let connection = Connection::new(stream, Wire::Request, UNACKNOWLEDGED_TIMEOUT)
            .charge_to(holder, SOCKET_BUFFER_BYTES);
        listener::detach_with(token, serve_caller(router.clone(), connection, evicted));
    })
    .await;
}

/// Serves a connection until it ends, or until it must be closed to reclaim its memory, which
/// happens only while no request of it is served.
async fn serve_caller(router: Arc<Router>, connection: Connection, evicted: Receiver<()>) {
    router.daemon.metrics.routed.callers.inc();
    let closing = async {
        evicted.recv().await.ok();
        debug!("event=connection_closed cause=no_memory");
    };
    smol::future::or(closing, caller::serve(router.clone(), connection)).await;
    router.daemon.metrics.routed.callers.dec();
}

/// Answers the platform's requests for readiness and for metrics until the tracker is closed.
pub async fn serve_readiness(router: Arc<Router>, listener: TcpListener, tracker: Tracker) {
    listener::accept(listener, "readiness", &tracker, |stream, token| {
        let connection = Connection::new(stream, Wire::Report, UNACKNOWLEDGED_TIMEOUT);
        let (router, tracker) = (router.clone(), tracker.clone());
        listener::detach_with(token, async move {
            let closed = async {
                tracker.closed().await;
                timer::sleep(CLOSING_TIMEOUT).await;
            };
            smol::future::or(serve_platform(router, connection), closed).await;
        });
    })
    .await;
}

async fn serve_platform(router: Arc<Router>, mut connection: Connection) {
    loop {
        let reading = connection.read_request(PLATFORM_HEAD_BYTES_MAX);
        let Some(Ok(request)) = timer::timeout(IDLE_TIMEOUT, reading).await else { return };
        let (status, body) = platform_response(&router, request.path());
        let persistence =
            if request.keeps_connection() { Persistence::Keep } else { Persistence::Close };
        let head = Response::new(status);
        let written =
            response::write(&mut connection, &request, head, body.as_bytes(), persistence).await;
        if let Err(err) = &written {
            debug!("event=probe_unanswered error=\"{err}\"");
        }
        if written.is_err() || persistence == Persistence::Close {
            return;
        }
    }
}

fn platform_response(router: &Router, path: &str) -> (u16, String) {
    if path == "/metrics" {
        burn::update_gauges(&router.daemon);
        router.update_gauges();
        return (200, router.daemon.metrics_text().to_string());
    }
    if path != router.dialect.ready_path {
        return (404, "not found\n".to_owned());
    }
    if router.daemon.is_ready() {
        (200, "ready\n".to_owned())
    } else {
        (503, "not ready\n".to_owned())
    }
}
