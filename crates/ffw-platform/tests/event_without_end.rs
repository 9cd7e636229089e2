//! A watch whose event never ends. Guards against a daemon that reads it into its memory for as
//! long as the platform sends.

use {
    ffw_platform::{
        fault::Fault,
        store::{Kind, Store},
        watch,
    },
    ffw_runtime::{executor, timer},
    smol::{io::AsyncWriteExt as _, net::TcpListener},
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn an_event_without_end_ends_the_watch() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        executor::detach(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n{\"x\":\"\r\n";
            let chunk = [&b"4000\r\n"[..], &[b'x'; 0x4000], b"\r\n"].concat();
            let mut sent = stream.write_all(head).await;
            while sent.is_ok() {
                sent = stream.write_all(&chunk).await;
            }
        });
        let store = Store { address };
        let started = watch::start(&store, Kind::Configurations, "1", TIMEOUT).await;
        let mut watch = started.expect("a watch");
        let next = timer::timeout(TIMEOUT, watch.next::<u64>()).await.expect("an end in time");
        let is_too_large =
            |fault: &Fault| matches!(fault, Fault::Lost(cause) if cause.contains("too large"));
        assert!(next.as_ref().is_err_and(is_too_large), "{next:?}");
    });
}
