//! A server whose tracker is closed. Guards against requests that are cut off because they were not
//! read to their end yet, or arrive on an open connection while it closes.

use {
    ffw_http::server::{self, CallerConnection, Limits},
    ffw_runtime::{executor, listener::Tracker, timer},
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    http_types::Request,
    smol::net::{TcpListener, TcpStream},
    std::{net::SocketAddr, time::Duration},
};

/// Time until the server has taken note of something.
const SHORT: Duration = Duration::from_millis(100);

async fn start(tracker: &Tracker) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let handler = |_: Request, _: CallerConnection| async {
        timer::sleep(SHORT).await;
        server::text_response(200, "text/plain", "done")
    };
    executor::detach(server::serve(listener, Limits::default(), tracker.clone(), handler));
    address
}

async fn answer(mut caller: TcpStream) -> String {
    let mut text = String::new();
    let reading = caller.read_to_string(&mut text);
    timer::timeout(Duration::from_secs(5), reading).await.expect("in time").expect("readable");
    text
}

#[test]
fn a_request_that_is_half_read_is_answered() {
    smol::block_on(async {
        let tracker = Tracker::default();
        let mut caller = TcpStream::connect(start(&tracker).await).await.expect("a connection");
        caller.write_all(b"GET / HTTP/1.1\r\nHo").await.expect("written");
        timer::sleep(SHORT).await;
        tracker.close();
        timer::sleep(SHORT).await;
        assert_eq!(tracker.open(), 1, "the connection counts");
        caller.write_all(b"st: h\r\n\r\n").await.expect("written");
        assert!(answer(caller).await.ends_with("done"));
        timer::timeout(SHORT * 10, tracker.drained()).await.expect("drained");
    });
}

#[test]
fn a_request_on_a_kept_connection_is_answered_while_the_server_closes() {
    smol::block_on(async {
        let tracker = Tracker::default();
        let mut caller = TcpStream::connect(start(&tracker).await).await.expect("a connection");
        caller.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
        let mut first = [0; 12];
        caller.read_exact(&mut first).await.expect("an answer");
        timer::sleep(SHORT).await;
        tracker.close();
        timer::sleep(SHORT).await;
        caller.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
        let rest = answer(caller).await;
        assert_eq!(rest.matches("done").count(), 2, "{rest}");
        assert!(rest.contains("connection: close"), "{rest}");
        timer::timeout(SHORT * 10, tracker.drained()).await.expect("drained");
    });
}

#[test]
fn an_idle_connection_does_not_delay_the_end_for_long() {
    smol::block_on(async {
        let tracker = Tracker::default();
        let caller = TcpStream::connect(start(&tracker).await).await.expect("a connection");
        timer::sleep(SHORT).await;
        tracker.close();
        timer::timeout(Duration::from_secs(2), tracker.drained()).await.expect("drained");
        drop(caller);
    });
}
