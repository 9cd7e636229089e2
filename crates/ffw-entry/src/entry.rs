//! The caller-facing listener: runs the filter chain, then the part that serves the request.

use {
    crate::{
        exchange::{Exchange, Route},
        filter::{self, limit::Gate},
        generate, plain, record,
    },
    ffw_control::daemon::Daemon,
    ffw_decide::retry::Budget,
    ffw_http::server::{self, Caller, Handle, Limits},
    ffw_protocol::error::Result,
    http_types::{Request, Response},
    log::{debug, info},
    smol::net::TcpListener,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
};

/// State of the caller-facing listener.
#[derive(Debug)]
pub struct Entry {
    /// The daemon.
    pub daemon: Arc<Daemon>,
    /// Bounds of callers.
    pub limits: Limits,
    /// Open requests of each workspace.
    pub gate: Gate,
    /// Stops the listener.
    pub handle: Handle,
    retries: Mutex<Budget>,
}

impl Entry {
    /// An entry that serves nothing yet.
    pub fn new(daemon: Arc<Daemon>, limits: Limits) -> Arc<Entry> {
        let (gate, handle) = (Gate::default(), Handle::default());
        Arc::new(Entry { daemon, limits, gate, handle, retries: Mutex::default() })
    }

    /// Serves callers until the handle stops.
    pub async fn serve(self: Arc<Entry>, listener: TcpListener) {
        let (limits, handle) = (self.limits, self.handle.clone());
        let handler = move |request, caller| self.clone().handle(request, caller);
        server::serve(listener, limits, handle, handler).await;
    }

    /// The budget of retries.
    pub fn retries(&self) -> MutexGuard<'_, Budget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Entry>, request: Request, caller: Caller) -> Response {
        let mut exchange = Exchange::new(&self.daemon, request);
        let id = exchange.id.to_string();
        debug!("event=request_begun request={id} path={}", exchange.path);
        let _open = Open::new(&self.daemon);
        let result = self.run(&mut exchange, caller).await;
        let mut response = result.unwrap_or_else(|error| {
            info!(
                "event=request_refused request={id} code={} run=\"{}\" message=\"{}\"",
                error.kind.row().code,
                error.run.word(),
                error.message
            );
            if !exchange.is_accounted {
                record::refused(&self.daemon, &exchange, &error);
            }
            server::error_response(&error)
        });
        response.insert_header("fireflyworks-request", id);
        response
    }

    async fn run(self: &Arc<Entry>, exchange: &mut Exchange, caller: Caller) -> Result<Response> {
        filter::apply_all(self, exchange).await?;
        match exchange.route.clone() {
            Route::Completion | Route::Chat => generate::serve(self, exchange, caller).await,
            Route::Plain { path } => plain::serve(self, exchange, &path, caller).await,
            Route::Records { request } => record::serve(&self.daemon, exchange, &request).await,
        }
    }
}

/// Counts a request while it is in flight.
#[derive(Debug)]
pub(crate) struct Open(Arc<Daemon>);

impl Open {
    pub(crate) fn new(daemon: &Arc<Daemon>) -> Open {
        daemon.open.fetch_add(1, Ordering::SeqCst);
        daemon.metrics.open.inc();
        Open(daemon.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.open.dec();
    }
}
