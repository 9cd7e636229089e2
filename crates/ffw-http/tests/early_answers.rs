//! Servers that answer while the request is still being written, and then end the connection.
//!
//! Guards against a part of a body that is taken for the whole one: neither a length nor chunks
//! state its end, and the reset that cuts it is seen by the write of the request only, or hides
//! behind a regular end.

use {
    ffw_http::{
        client::{self, Call},
        connection::Connection,
        framing::{Decoder, Framing},
    },
    ffw_runtime::{executor, meter::Wire, timer},
    http_types::Method,
    rstest::rstest,
    smol::net::TcpListener,
    std::{net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which what the server has sent last arrives.
const ARRIVAL_TIME: Duration = Duration::from_millis(60);

/// Size of a request that the kernel's buffers hold.
const BUFFERED_BYTES: usize = 256 << 10;

/// Size of a request that the kernel's buffers don't hold.
const UNBUFFERED_BYTES: usize = 64 << 20;

const PART: &[u8] = b"a part";

const UNSTATED: &str = "HTTP/1.1 200 X\r\n\r\n";

/// How a server ends a connection on which it has answered.
#[derive(Clone, Copy, Debug)]
enum End {
    /// With a reset.
    Reset,
    /// With a regular end and a reset after it, as a server does that closes a connection on which
    /// more bytes arrive.
    RegularThenReset,
    /// With a regular end; the rest of the request is never read.
    Regular,
    /// Not before it has read the whole request.
    Whole,
}

/// A server that answers one request of `size` bytes as soon as it has read its head.
async fn start(head: &'static str, end: End, size: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut connection = Connection::new(stream.clone(), Wire::Request, TIMEOUT);
        connection.read_request(1 << 16).await.expect("a head");
        if matches!(end, End::Whole) {
            let mut decoder = Decoder::new(Framing::Length(size as u64));
            connection.read_body(&mut decoder, size).await.expect("a body");
        }
        let answer = [head.as_bytes(), PART].concat();
        connection.write(&answer, TIMEOUT).await.expect("written");
        match end {
            End::Reset => connection.reset_on_close(),
            End::RegularThenReset => {
                stream.shutdown(std::net::Shutdown::Write).expect("an open connection");
                timer::sleep(ARRIVAL_TIME / 4).await;
                connection.reset_on_close();
            }
            End::Regular => {
                stream.shutdown(std::net::Shutdown::Write).expect("an open connection");
                timer::sleep(TIMEOUT).await;
            }
            End::Whole => {}
        }
    });
    address
}

/// Sends a request with a body of this size; returns the body of the response, if it is complete.
async fn exchange(address: SocketAddr, size: usize, delay: Duration) -> Option<Vec<u8>> {
    let opening = Connection::open(address, Wire::Request, TIMEOUT, TIMEOUT);
    let mut connection = opening.await.expect("a connection");
    let head = format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n");
    let request = [head.as_bytes(), &vec![0; size]].concat();
    let (head, _) = connection.exchange(&request, 1 << 16).await.ok()?;
    timer::sleep(delay).await;
    let mut decoder = Decoder::new(Framing::of_response(&head, "POST").expect("a framing"));
    connection.read_body(&mut decoder, 1 << 20).await.ok()
}

#[rstest]
#[case::reset(End::Reset, UNBUFFERED_BYTES)]
#[case::reset_of_a_buffered_request(End::Reset, BUFFERED_BYTES)]
#[case::end_then_reset(End::RegularThenReset, UNBUFFERED_BYTES)]
#[case::end_then_reset_of_a_buffered_request(End::RegularThenReset, BUFFERED_BYTES)]
#[case::regular_end(End::Regular, UNBUFFERED_BYTES)]
fn a_body_without_a_stated_end_is_not_complete_if_the_request_was_cut(
    #[case] end: End,
    #[case] size: usize,
) {
    smol::block_on(async {
        for _ in 0..8 {
            let address = start(UNSTATED, end, size).await;
            let body = exchange(address, size, ARRIVAL_TIME).await;
            assert_eq!(body, None, "a part is taken for the whole body");
        }
    });
}

/// Guards against a complete answer that is lost, as its server does not need the whole request.
#[rstest]
fn a_body_with_a_stated_end_is_complete_although_the_request_was_cut(
    #[values(
        "HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n0\r\n\r\n"
    )]
    head: &'static str,
    #[values(BUFFERED_BYTES, UNBUFFERED_BYTES)] size: usize,
) {
    smol::block_on(async {
        let address = start(head, End::Regular, size).await;
        let body = exchange(address, size, ARRIVAL_TIME).await;
        assert_eq!(body.as_deref(), Some(PART));
    });
}

/// Guards against a whole answer that is taken for a cut one.
#[rstest]
fn a_body_without_a_stated_end_is_complete_if_the_request_was_read(
    #[values(0, BUFFERED_BYTES, UNBUFFERED_BYTES)] size: usize,
) {
    smol::block_on(async {
        let address = start(UNSTATED, End::Whole, size).await;
        let body = exchange(address, size, ARRIVAL_TIME).await;
        assert_eq!(body.as_deref(), Some(PART));
    });
}

/// The same cuts on the connections of `client`, which writes a whole request before it reads.
#[rstest]
#[case::reset(End::Reset)]
#[case::end_then_reset(End::RegularThenReset)]
fn a_cut_answer_is_no_answer_to_a_call(
    #[case] end: End,
    #[values(BUFFERED_BYTES, UNBUFFERED_BYTES)] size: usize,
) {
    smol::block_on(async {
        let address = start(UNSTATED, end, size).await;
        let mut call = Call::new(address, Method::Post, "/").limit(TIMEOUT);
        call.body = vec![0; size].into();
        let body = match client::send(&call).await {
            Ok(mut response) => client::read_body(&mut response, TIMEOUT).await,
            Err(fault) => Err(fault),
        };
        assert!(body.is_err(), "{body:?}");
    });
}
