//! The listener for callers: runs the filter chain, passes the request to the module that serves
//! its kind, and turns an error into an error response. Owns the retry budget and the limiter of
//! open requests of this daemon.

use {
    crate::{
        exchange::{Exchange, Route},
        filter::{self, limit::Limiter},
        generate, plain, record,
    },
    ffw_control::daemon::Daemon,
    ffw_decide::retry::Allowance,
    ffw_http::server::{self, CallerConnection, Limits},
    ffw_protocol::error::Result,
    ffw_runtime::listener::Tracker,
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
    /// Limits on connections and requests of callers.
    pub limits: Limits,
    /// Limits the open requests of each workspace.
    pub limiter: Limiter,
    /// Callers' connections; closed when no further one is let in.
    pub callers: Tracker,
    retry_budget: Mutex<Allowance>,
}

impl Entry {
    /// Creates an entry; [`Entry::serve`] starts it.
    pub fn new(daemon: Arc<Daemon>, limits: Limits) -> Arc<Entry> {
        let (limiter, callers) = (Limiter::default(), Tracker::default());
        Arc::new(Entry { daemon, limits, limiter, callers, retry_budget: Mutex::default() })
    }

    /// Serves callers until their tracker is closed.
    pub async fn serve(self: Arc<Entry>, listener: TcpListener) {
        let (limits, callers) = (self.limits, self.callers.clone());
        let handler = move |request, caller| self.clone().handle(request, caller);
        server::serve(listener, limits, callers, handler).await;
    }

    /// The retry budget shared by all requests of this daemon.
    pub fn retry_budget(&self) -> MutexGuard<'_, Allowance> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Entry>, request: Request, caller: CallerConnection) -> Response {
        let mut exchange = Exchange::new(&self.daemon, request);
        let id = exchange.id.to_string();
        debug!("event=request_begun request={id} path={}", exchange.target);
        let _open_request = OpenRequest::new(&self.daemon);
        let result = self.run(&mut exchange, caller).await;
        let mut response = result.unwrap_or_else(|error| {
            info!(
                "event=request_refused request={id} code={} run=\"{}\" message=\"{}\"",
                error.kind.row().code,
                error.run.word(),
                error.message
            );
            if !exchange.records_errors {
                record::record_error(&self.daemon, &exchange, &error);
            }
            server::error_response(&error)
        });
        response.insert_header("fireflyworks-request", id);
        response
    }

    async fn run(
        self: &Arc<Entry>,
        exchange: &mut Exchange,
        caller: CallerConnection,
    ) -> Result<Response> {
        filter::apply_all(self, exchange).await?;
        match exchange.route.clone() {
            Route::Completion | Route::Chat => generate::serve(self, exchange, caller).await,
            Route::Plain { target } => plain::serve(self, exchange, &target, caller).await,
            Route::Records { request_id } => {
                record::serve(&self.daemon, exchange, &request_id).await
            }
        }
    }
}

/// Counts one more open request, in the daemon and in its metrics, until dropped. The listener
/// creates one for each request. A model call and a plain call create another for the task that
/// serves them, because this task may run longer than the handler of the listener.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<Daemon>);

impl OpenRequest {
    pub(crate) fn new(daemon: &Arc<Daemon>) -> OpenRequest {
        daemon.open.fetch_add(1, Ordering::SeqCst);
        daemon.metrics.open.inc();
        OpenRequest(daemon.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.open.dec();
    }
}
