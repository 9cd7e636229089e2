//! Servers that send an interim response before the response. Guards against an interim response
//! that is taken for the answer to a call.

use {
    ffw_http::client::{self, Call},
    ffw_runtime::executor,
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    http_types::Method,
    smol::net::TcpListener,
    std::net::SocketAddr,
};

/// A server that answers one call with these bytes.
async fn start(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        stream.read(&mut head).await.expect("a request");
        stream.write_all(bytes).await.expect("written");
    });
    address
}

#[test]
fn an_interim_response_is_no_answer_to_a_call() {
    smol::block_on(async {
        let address = start(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 X\r\n\r\n").await;
        let response = client::send(&Call::new(address, Method::Get, "/")).await;
        assert!(response.is_err(), "{response:?}");
    });
}

#[test]
fn a_response_without_an_interim_one_is_the_answer() {
    smol::block_on(async {
        let address = start(b"HTTP/1.1 204 X\r\n\r\n").await;
        let response = client::send(&Call::new(address, Method::Get, "/")).await.expect("answered");
        assert_eq!(u16::from(response.status()), 204);
    });
}
