//! Responses of which neither a length nor chunks state the end.
//!
//! Guards against a body that is taken for empty, so that a caller gets a success without the
//! body that its server has sent.

use {
    ffw_http::{
        client::{self, Call},
        fault::Fault,
    },
    futures_lite::AsyncWriteExt as _,
    http_types::Method,
    rstest::rstest,
    smol::net::TcpListener,
    std::time::Duration,
};

/// Sends one call to a server that sends these bytes and closes.
async fn exchange(method: Method, response: &'static str) -> Result<Vec<u8>, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let serving = smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.write_all(response.as_bytes()).await.expect("written");
        let mut request = [0; 1_024];
        futures_lite::AsyncReadExt::read(&mut stream, &mut request).await.ok();
    });
    let call = Call::new(address, method, "/");
    let mut received = client::send(&call).await?;
    let body = client::read_body(&mut received, Duration::from_secs(5)).await;
    serving.await;
    body
}

#[rstest]
#[case::with_a_body("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbooked")]
#[case::without_a_body("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")]
#[case::without_fields("HTTP/1.1 200 OK\r\n\r\n")]
fn a_body_that_ends_with_its_connection_is_not_taken_for_empty(#[case] response: &'static str) {
    let result = smol::block_on(exchange(Method::Post, response));
    assert!(matches!(result, Err(Fault::Broken(_))), "{result:?}");
}

#[rstest]
#[case::with_a_length(Method::Post, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::no_content(Method::Post, "HTTP/1.1 204 X\r\n\r\n")]
#[case::not_modified(Method::Post, "HTTP/1.1 304 X\r\n\r\n")]
#[case::to_a_head_request(Method::Head, "HTTP/1.1 200 OK\r\n\r\n")]
fn a_response_that_has_no_body_is_whole(#[case] method: Method, #[case] response: &'static str) {
    let body = smol::block_on(exchange(method, response)).expect("a whole response");
    assert!(body.is_empty());
}

/// Every cut of a head, and of a body with a length or in chunks.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n")]
fn a_response_that_is_cut_is_not_whole(#[case] response: &'static str) {
    smol::block_on(async {
        assert_eq!(exchange(Method::Post, response).await.expect("whole"), b"booked");
        for end in 0..response.len() - 2 {
            let result = exchange(Method::Post, &response[..end]).await;
            assert!(result.is_err(), "{end} bytes: {result:?}");
        }
    });
}
