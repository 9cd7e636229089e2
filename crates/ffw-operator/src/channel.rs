//! The client side of the transport: one HTTP/2 connection, used by the generated client.

use {
    crate::{generated::operator_client::OperatorClient, server::Spawner},
    ffw_runtime::{executor, timer},
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http2::{self, SendRequest},
    },
    smol::net::TcpStream,
    smol_hyper::rt::FuturesIo,
    std::{
        future::Future,
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tonic::body::Body,
};

/// Time limit for establishing the TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// An open HTTP/2 connection. Clones share it.
#[derive(Clone, Debug)]
pub struct Channel {
    sender: SendRequest<Body>,
}

/// Connects to the daemon at an address.
///
/// # Errors
/// The daemon can't be reached within 3 seconds, or the HTTP/2 handshake failed.
pub async fn connect(address: SocketAddr) -> io::Result<OperatorClient<Channel>> {
    let connecting = timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let handshake = http2::handshake(Spawner, FuturesIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    executor::detach(async move {
        connection.await.ok();
    });
    let origin = format!("http://{address}").parse().map_err(io::Error::other)?;
    Ok(OperatorClient::with_origin(Channel { sender }, origin))
}

impl tower::Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Incoming>, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}
