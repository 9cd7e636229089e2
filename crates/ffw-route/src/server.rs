//! Accepts the connections of callers, and answers readiness probes and metrics requests of the
//! platform on a listener of their own.

use {
    crate::{
        caller,
        response::{self, Persistence},
        router::{INGRESS_DRAIN_TIME, Router},
    },
    ffw_control::burn,
    ffw_http::{connection::Connection, message::Response},
    ffw_runtime::{executor, meter::Wire, timer},
    log::{debug, warn},
    smol::net::TcpListener,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// Period at which the listener checks whether the daemon shuts down.
const ACCEPT_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Time after a failed accept before the next one. Accepting fails, for example, while the process
/// has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest head of a request of the platform, in bytes.
const PLATFORM_HEAD_BYTES_MAX: usize = 8 << 10;

/// Time for which a connection of the platform may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections of callers until [`INGRESS_DRAIN_TIME`] after the daemon has begun to shut
/// down. Connections that are open then are still served.
pub async fn serve(router: Arc<Router>, listener: TcpListener) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    while router.daemon.draining_for() < INGRESS_DRAIN_TIME {
        let stream = match timer::timeout(ACCEPT_POLL_PERIOD, listener.accept()).await {
            None => continue,
            Some(Ok((stream, _))) => stream,
            Some(Err(err)) => {
                warn!("event=accept_failed error=\"{err}\"");
                timer::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open_connections.load(Ordering::SeqCst) >= router.limits().connections_max {
            warn!("event=connection_refused cause=too_many_connections");
            continue;
        }
        let (router, open_connections) = (router.clone(), open_connections.clone());
        open_connections.fetch_add(1, Ordering::SeqCst);
        router.daemon.metrics.routed.callers.inc();
        executor::detach(async move {
            caller::serve(
                router.clone(),
                Connection::new(stream, Wire::Request, UNACKNOWLEDGED_TIMEOUT),
            )
            .await;
            router.daemon.metrics.routed.callers.dec();
            open_connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Answers the platform's requests for readiness and for metrics; never returns.
pub async fn serve_readiness(router: Arc<Router>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream, Wire::Report, UNACKNOWLEDGED_TIMEOUT);
                executor::detach(serve_platform(router.clone(), connection));
            }
            Err(err) => {
                warn!("event=accept_failed error=\"{err}\"");
                timer::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
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
        return (200, router.daemon.metrics.text().to_string());
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
