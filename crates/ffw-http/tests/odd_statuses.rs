//! Statuses outside 100..=599. Guards against a response with such a status that is taken for an
//! answer.

use {
    ffw_http::{
        client::{self, Call},
        message::Response,
    },
    ffw_runtime::executor,
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    http_types::Method,
    rstest::rstest,
    smol::net::TcpListener,
};

fn head(status: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
}

#[rstest]
fn a_status_that_is_none_is_malformed(
    #[values("000", "001", "099", "600", "999", "20", "2000", "-20", "")] status: &str,
) {
    let parsed = Response::parse(head(status).as_bytes());
    assert!(parsed.is_err(), "{parsed:?}");
}

#[rstest]
fn a_status_of_three_digits_in_range_is_read(#[values(100, 199, 200, 299, 404, 599)] status: u16) {
    let parsed = Response::parse(head(&status.to_string()).as_bytes());
    let (response, _) = parsed.expect("a head").expect("a whole head");
    assert_eq!(response.status, status);
}

#[rstest]
fn a_status_that_is_none_is_no_answer_to_a_call(
    #[values("000", "099", "600", "999")] status: &str,
) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let bytes = head(status);
        executor::detach(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1_024];
            stream.read(&mut request).await.expect("a request");
            stream.write_all(bytes.as_bytes()).await.expect("written");
        });
        let response = client::send(&Call::new(address, Method::Get, "/")).await;
        assert!(response.is_err(), "{response:?}");
    });
}
