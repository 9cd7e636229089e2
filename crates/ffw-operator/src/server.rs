//! The server side of the transport: gRPC over HTTP/2 on smol.

use {
    crate::{generated::operator_server::OperatorServer, service::Service},
    ffw_runtime::{executor, timer},
    hyper::{Request, body::Incoming, server::conn::http2::Builder, service::service_fn},
    log::{debug, warn},
    smol::net::{TcpListener, TcpStream},
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{future::Future, time::Duration},
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

/// Accepts and serves operators' connections; never returns. A failed `accept` is logged and tried
/// again after a pause.
pub async fn serve(listener: TcpListener, service: Service) {
    let server = OperatorServer::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor::detach(serve_connection(stream, server.clone())),
            Err(err) => {
                warn!("event=operator_accept_failed error={err}");
                timer::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, server: OperatorServer<Service>) {
    let handler = service_fn(move |request: Request<Incoming>| server.clone().call(request));
    let served = Builder::new(Spawner)
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_PERIOD)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), handler);
    if let Err(err) = served.await {
        debug!("event=operator_connection_ended error={err}");
    }
}
