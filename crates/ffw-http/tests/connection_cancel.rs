//! A cancelled wait for bytes must leave the buffer of the connection unchanged. The buffer is
//! enlarged before each read; if a cancelled wait left those zero bytes in it, the next head would
//! be malformed.

use {
    ffw_http::connection::Connection,
    ffw_runtime::{meter::Wire, timer},
    futures_lite::AsyncWriteExt as _,
    smol::net::{TcpListener, TcpStream},
    std::time::Duration,
};

const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn head_is_read_after_cancelled_wait() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut connection = Connection::new(stream, Wire::Request, UNACKNOWLEDGED_TIMEOUT);
        let waited = timer::timeout(Duration::from_millis(5), connection.wait_readable()).await;
        assert!(waited.is_none(), "nothing was sent yet");
        assert!(!connection.has_unparsed_bytes(), "the cancelled wait left bytes in the buffer");
        caller.write_all(b"GET /a/b?c HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
        let head = connection.read_request(1_000).await.expect("a head");
        assert_eq!((&*head.method, &*head.target), ("GET", "/a/b?c"));
    });
}
