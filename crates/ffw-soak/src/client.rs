//! Single requests and their whole answers, for tests that write their requests themselves.

use {
    crate::wire::IO_TIMEOUT,
    ffw_http::{
        connection::Connection,
        framing::{Decoder, Framing},
        message::Response,
    },
    ffw_runtime::{meter::Wire, timer},
    std::net::SocketAddr,
};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Opens a connection for requests; `None` if there is none within [`IO_TIMEOUT`].
pub async fn open(address: SocketAddr) -> Option<Connection> {
    Connection::open(address, Wire::Request, IO_TIMEOUT, IO_TIMEOUT).await.ok()
}

/// Sends a request on a connection of its own. `None` if it gets no whole answer.
pub async fn send(address: SocketAddr, request: &str) -> Option<Response> {
    let mut connection = open(address).await?;
    send_on(&mut connection, request).await
}

/// Sends a request on a connection. `None` if it gets no whole answer.
pub async fn send_on(connection: &mut Connection, request: &str) -> Option<Response> {
    connection.write(request.as_bytes(), IO_TIMEOUT).await.ok()?;
    read_answer(connection).await
}

/// Reads the answer to a POST request to its end. `None` if it is not whole, or its head takes
/// longer than [`IO_TIMEOUT`].
pub async fn read_answer(connection: &mut Connection) -> Option<Response> {
    let reading = connection.read_response(MAX_HEAD_BYTES);
    let head = timer::timeout(IO_TIMEOUT, reading).await?.ok()?;
    let mut decoder = Decoder::new(Framing::of_response(&head, "POST").ok()?);
    while connection.read_part(&mut decoder).await.ok()?.is_some() {}
    Some(head)
}
