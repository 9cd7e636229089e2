//! The server side of the transport: gRPC over HTTP/2 on smol.

use {
    crate::{generated::operator_server::OperatorServer, service::Service},
    ffw_runtime::{
        coop::Coop,
        executor,
        listener::{self, Tracker},
    },
    hyper::{Request, body::Incoming, server::conn::http2::Builder, service::service_fn},
    log::debug,
    smol::{
        future,
        net::{TcpListener, TcpStream},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{future::Future, pin::pin, time::Duration},
    tower::Service as _,
};

/// HTTP/2 keepalive: period of pings on an idle connection, and time to wait for the reply before
/// the connection is closed.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(10);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs hyper's tasks on the executor of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future<Output = ()> + Send + 'static,
{
    fn execute(&self, task: F) {
        executor::detach(task);
    }
}

/// Accepts and serves operators' connections until the tracker is closed. Calls that were received
/// until then are answered.
pub async fn serve(listener: TcpListener, service: Service, tracker: Tracker) {
    let server = OperatorServer::new(service);
    listener::accept(listener, "operators", &tracker, |stream, token| {
        let served = serve_connection(stream, server.clone(), tracker.clone());
        listener::detach_with(token, served);
    })
    .await;
}

async fn serve_connection(stream: TcpStream, server: OperatorServer<Service>, tracker: Tracker) {
    let handler = service_fn(move |request: Request<Incoming>| server.clone().call(request));
    let mut serving = pin!(
        Builder::new(Spawner)
            .timer(SmolTimer::new())
            .keep_alive_interval(KEEP_ALIVE_PERIOD)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .serve_connection(FuturesIo::new(Coop::new(stream)), handler)
    );
    let closed = async {
        tracker.closed().await;
        None
    };
    let served = match future::or(async { Some(serving.as_mut().await) }, closed).await {
        Some(served) => served,
        None => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(err) = served {
        debug!("event=operator_connection_ended error={err}");
    }
}
