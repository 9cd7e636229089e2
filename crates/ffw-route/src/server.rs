//! Listeners for callers and for the question whether the daemon is ready.

use {
    crate::{
        answer::{self, After},
        caller,
        router::{INGRESS_LAG, Router},
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

/// Time after which unacknowledged bytes break a caller's connection.
const SILENCE: Duration = Duration::from_secs(10);

/// Pause between two looks whether the daemon shuts down.
const ACCEPT_LOOK: Duration = Duration::from_millis(500);

/// Pause after a listener has failed, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest head of a question of the platform, in bytes.
const PROBE_BYTES: usize = 8 << 10;

/// Time for which a connection of the platform may stay idle.
const PROBE_IDLE: Duration = Duration::from_secs(30);

/// Serves callers until the daemon has been shutting down for so long that no more come.
pub async fn serve(router: Arc<Router>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    while router.daemon.draining_for() < INGRESS_LAG {
        let stream = match timer::timeout(ACCEPT_LOOK, listener.accept()).await {
            None => continue,
            Some(Ok((stream, _))) => stream,
            Some(Err(err)) => {
                warn!("event=accept_failed error=\"{err}\"");
                timer::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::SeqCst) >= router.limits().connections {
            warn!("event=connection_refused cause=too_many_connections");
            continue;
        }
        let (router, open) = (router.clone(), open.clone());
        open.fetch_add(1, Ordering::SeqCst);
        router.daemon.metrics.routed.callers.inc();
        executor::detach(async move {
            caller::serve(router.clone(), Connection::new(stream, Wire::Request, SILENCE)).await;
            router.daemon.metrics.routed.callers.dec();
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Answers the platform's questions: whether the daemon is ready, and its metrics.
pub async fn serve_readiness(router: Arc<Router>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream, Wire::Report, SILENCE);
                executor::detach(answer_probes(router.clone(), connection));
            }
            Err(err) => {
                warn!("event=accept_failed error=\"{err}\"");
                timer::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer_probes(router: Arc<Router>, mut connection: Connection) {
    loop {
        let reading = connection.read_request(PROBE_BYTES);
        let Some(Ok(request)) = timer::timeout(PROBE_IDLE, reading).await else { return };
        let (status, body) = probe(&router, request.path());
        let after = if request.keeps_connection() { After::Keep } else { After::Close };
        let head = Response::new(status);
        let written = answer::write(&mut connection, &request, head, body.as_bytes(), after).await;
        if let Err(err) = &written {
            debug!("event=probe_unanswered error=\"{err}\"");
        }
        if written.is_err() || after == After::Close {
            return;
        }
    }
}

fn probe(router: &Router, path: &str) -> (u16, String) {
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
