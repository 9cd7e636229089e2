//! HTTP server loop of the stand-ins: reads the requests of each connection in sequence and passes
//! each to a handler.

use {
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
        message::{Request, Response},
    },
    ffw_runtime::{executor, meter::Wire},
    smol::{
        channel::{self, Receiver, Sender},
        net::{TcpListener, TcpStream},
    },
    std::{future::Future, io, net::SocketAddr, time::Duration},
};

/// Time limit of a write, and time after which unacknowledged bytes close a connection.
pub const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A request with its body, and the connection for the response.
pub struct Exchange {
    /// Request line and header fields.
    pub head: Request,
    /// Decoded body.
    pub body: Vec<u8>,
    /// Whether it is the first request of its connection.
    pub is_first: bool,
    /// Connection on which the response is written.
    pub connection: Connection,
}

impl Exchange {
    /// Sends a response with a `Content-Length`, head and body together.
    ///
    /// # Errors
    /// The connection is closed or the write takes longer than [`IO_TIMEOUT`].
    pub async fn answer(&mut self, head: Response, body: &[u8]) -> io::Result<()> {
        self.write(head, body.len(), body).await
    }

    /// Sends a response as [`answer`](Exchange::answer) does, without the second half of its body.
    ///
    /// # Errors
    /// As [`answer`](Exchange::answer).
    pub async fn answer_half(&mut self, head: Response, body: &[u8]) -> io::Result<()> {
        self.write(head, body.len(), &body[..body.len() / 2]).await
    }

    async fn write(&mut self, mut head: Response, length: usize, sent: &[u8]) -> io::Result<()> {
        head.fields.set("Content-Length", length.to_string());
        let mut bytes = head.to_bytes();
        bytes.extend_from_slice(sent);
        self.connection.write(&bytes, IO_TIMEOUT).await
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

/// Accepts connections in the background and calls `handle` for each request. `handle` returns the
/// exchange to keep the connection open for the next request, or `None` to close it.
pub fn serve<F, Fut>(listener: TcpListener, handle: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Exchange>> + Send + 'static,
{
    executor::detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            executor::detach(serve_connection(stream, handle.clone()));
        }
    });
}

/// A listener that can be closed together with all connections that it has accepted. Clones share
/// its state.
#[derive(Clone, Debug)]
pub struct Listener {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Listener {
    fn default() -> Listener {
        let (sender, receiver) = channel::bounded(1);
        Listener { sender, receiver }
    }
}

impl Listener {
    /// Closes the listener and its connections.
    pub fn close(&self) {
        self.sender.close();
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    async fn closed(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// As [`serve`], until `state` is closed.
pub fn serve_until_closed<F, Fut>(listener: TcpListener, state: Listener, handle: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Exchange>> + Send + 'static,
{
    executor::detach(async move {
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                let (handle, state) = (handle.clone(), state.clone());
                executor::detach(async move {
                    let serving = serve_connection(stream, handle);
                    smol::future::or(serving, state.closed()).await;
                });
            }
        };
        smol::future::or(accepting, state.closed()).await;
    });
}

async fn serve_connection<F, Fut>(stream: TcpStream, handle: F)
where
    F: Fn(Exchange) -> Fut,
    Fut: Future<Output = Option<Exchange>>,
{
    let mut connection = Connection::new(stream, Wire::Request, IO_TIMEOUT);
    let mut is_first = true;
    loop {
        let Ok(head) = connection.read_request(MAX_HEAD_BYTES).await else { return };
        let Ok(framing) = Framing::of_request(&head) else { return };
        let mut decoder = Decoder::new(framing);
        let Ok(body) = connection.read_body(&mut decoder, MAX_BODY_BYTES).await else { return };
        match handle(Exchange { head, body, is_first, connection }).await {
            Some(exchange) => connection = exchange.connection,
            None => return,
        }
        is_first = false;
    }
}
