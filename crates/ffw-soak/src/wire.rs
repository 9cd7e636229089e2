//! A server loop for the stand-ins: one request after the other, each answered by a function.

use {
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
        message::{Request, Response},
    },
    ffw_runtime::{executor, meter::Wire},
    smol::net::{TcpListener, TcpStream},
    std::{future::Future, io, net::SocketAddr, time::Duration},
};

/// Time after which unacknowledged bytes break a connection.
pub const SILENCE: Duration = Duration::from_secs(5);

/// Largest head and body, in bytes.
const HEAD_BYTES: usize = 64 << 10;
const BODY_BYTES: usize = 8 << 20;

/// A request with its body, and the connection for the answer.
pub struct Exchange {
    /// Head.
    pub head: Request,
    /// Body.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub connection: Connection,
}

impl Exchange {
    /// Sends a whole answer.
    ///
    /// # Errors
    /// The connection is gone.
    pub async fn answer(&mut self, mut head: Response, body: &[u8]) -> io::Result<()> {
        head.fields.set("Content-Length", body.len().to_string());
        let mut bytes = head.to_bytes();
        bytes.extend_from_slice(body);
        self.connection.write(&bytes, SILENCE).await
    }
}

/// Binds a listener on a free port of the loopback address.
///
/// # Errors
/// No port is free.
pub async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves each connection by `handle`, which gives the exchange back to go on, or none to close.
pub fn serve<F, Fut>(listener: TcpListener, handle: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Exchange>> + Send + 'static,
{
    executor::detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            executor::detach(serve_one(stream, handle.clone()));
        }
    });
}

async fn serve_one<F, Fut>(stream: TcpStream, handle: F)
where
    F: Fn(Exchange) -> Fut,
    Fut: Future<Output = Option<Exchange>>,
{
    let mut connection = Connection::new(stream, Wire::Request, SILENCE);
    loop {
        let Ok(head) = connection.read_request(HEAD_BYTES).await else { return };
        let Ok(framing) = Framing::of_request(&head) else { return };
        let mut decoder = Decoder::new(framing);
        let Ok(body) = connection.read_body(&mut decoder, BODY_BYTES).await else { return };
        match handle(Exchange { head, body, connection }).await {
            Some(exchange) => connection = exchange.connection,
            None => return,
        }
    }
}
