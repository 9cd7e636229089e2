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
            let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"x\":\"").await;
            while sent.is_ok() {
                sent = stream.write_all(&[b'x'; 16_384]).await;
            }
        });
        let store = Store { address };
        let started = watch::start(&store, Kind::Configurations, "1", TIMEOUT).await;
        let mut watch = started.expect("a watch");
        let next = timer::timeout(TIMEOUT, watch.next::<u64>()).await.expect("an end in time");
        assert!(matches!(next, Err(Fault::Lost(_))), "{next:?}");
    });
}
