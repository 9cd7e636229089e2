//! The health listener, separate from the listener for callers: liveness (`/livez`), readiness
//! (`/readyz`) and metrics (`/metrics`).

use {
    ffw_control::{burn, daemon::Daemon},
    ffw_http::server::{self, CallerConnection, Limits},
    ffw_runtime::listener::Tracker,
    http_types::{Request, Response},
    smol::net::TcpListener,
    std::sync::Arc,
};

/// Serves health requests until the tracker is closed.
pub async fn serve(daemon: Arc<Daemon>, listener: TcpListener, tracker: Tracker) {
    let handler = move |request: Request, _: CallerConnection| {
        let response = answer(&daemon, request.url().path());
        async move { response }
    };
    server::serve(listener, Limits::default(), tracker, handler).await;
}

fn answer(daemon: &Daemon, path: &str) -> Response {
    let text = |status, body: &str| server::text_response(status, "text/plain", body);
    match path {
        "/livez" => text(200, "ok\n"),
        "/readyz" if daemon.is_ready() => text(200, "ok\n"),
        "/readyz" if daemon.is_draining() => text(503, "shutting down\n"),
        "/readyz" => text(503, "no configuration is in force yet\n"),
        "/metrics" => {
            burn::update_gauges(daemon);
            text(200, &daemon.metrics.text())
        }
        _ => text(404, "not found\n"),
    }
}
