//! A read that is dropped while it waits must leave nothing behind in the connection.

use {
    ffw_http::connection::Connection,
    ffw_runtime::{meter::Wire, timer},
    futures_lite::AsyncWriteExt as _,
    smol::net::{TcpListener, TcpStream},
    std::time::Duration,
};

const SILENCE: Duration = Duration::from_secs(5);

#[test]
fn a_head_is_read_after_a_wait_that_was_dropped() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut connection = Connection::new(stream, Wire::Request, SILENCE);
        let waited = timer::timeout(Duration::from_millis(5), connection.wait_readable()).await;
        assert!(waited.is_none(), "nothing was sent yet");
        assert!(!connection.has_pending(), "the dropped wait left bytes behind");
        caller.write_all(b"GET /a/b?c HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
        let head = connection.read_request(1_000).await.expect("a head");
        assert_eq!((&*head.method, &*head.target), ("GET", "/a/b?c"));
    });
}
