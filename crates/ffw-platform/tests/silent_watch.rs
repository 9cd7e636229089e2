//! A watch whose connection falls silent and stays open.
//!
//! Guards against a daemon that takes the silence for "no change" for longer than a change may take.

use {
    ffw_platform::{
        fault::Fault,
        store::{Kind, Store},
        watch::{self, Change},
    },
    ffw_runtime::{executor, timer},
    smol::{io::AsyncWriteExt as _, net::TcpListener},
    std::time::Duration,
};

/// Time within which a change must be in force everywhere, less a second for the daemons that ask a
/// relay.
const LIMIT: Duration = Duration::from_secs(3);

#[test]
fn a_watch_without_bookmarks_is_lost() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        executor::detach(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                14\r\n{\"type\":\"BOOKMARK\"}\n\r\n";
            stream.write_all(response).await.expect("written");
            smol::future::pending::<()>().await;
        });
        let store = Store { address };
        let started = watch::start(&store, Kind::Configurations, "1", LIMIT).await;
        let mut watch = started.expect("a watch");
        let bookmark = watch.next::<u64>().await.expect("a bookmark");
        assert_eq!(bookmark.change, Change::Bookmark);
        let next = timer::timeout(LIMIT, watch.next::<u64>()).await.expect("an end in time");
        assert!(matches!(next, Err(Fault::Lost(_))), "{next:?}");
    });
}
