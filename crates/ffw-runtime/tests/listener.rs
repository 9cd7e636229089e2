//! Guards against a shutdown that cuts off connections which the listener has let in, or which the
//! system has established on its behalf.

use {
    ffw_runtime::{
        listener::{self, Tracker},
        timer,
    },
    futures_lite::future,
    smol::net::TcpListener,
    std::{net::TcpStream, pin::pin, sync::Mutex, time::Duration},
};

/// Time in which something that must not happen would happen.
const SHORT: Duration = Duration::from_millis(30);

/// Callers connect between the last accept and the close of the listener.
#[test]
fn connections_in_the_system_queue_are_let_in_before_the_listener_closes() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (tracker, let_in) = (Tracker::default(), Mutex::new(Vec::new()));
        {
            let mut accepting = pin!(listener::accept(listener, "test", &tracker, |_, token| {
                let_in.lock().expect("no panic").push(token);
            }));
            assert!(future::poll_once(&mut accepting).await.is_none());
            let connect = |_| TcpStream::connect(address).expect("a connection");
            let callers: Vec<TcpStream> = (0..20).map(connect).collect();
            tracker.close();
            accepting.await;
            assert_eq!(let_in.lock().expect("no panic").len(), callers.len());
        }
        assert_eq!(tracker.open(), 20);
        TcpStream::connect(address).expect_err("the listener is closed");
        assert!(timer::timeout(SHORT, tracker.drained()).await.is_none(), "20 are open");
        let_in.lock().expect("no panic").clear();
        timer::timeout(SHORT, tracker.drained()).await.expect("none is open");
    });
}

/// A tracker is not drained while its listener may still let something in.
#[test]
fn a_listener_counts_until_it_is_closed() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let tracker = Tracker::default();
        let mut accepting = Box::pin(listener::accept(listener, "test", &tracker, |_, _| {}));
        assert!(future::poll_once(&mut accepting).await.is_none());
        tracker.close();
        assert!(timer::timeout(SHORT, tracker.drained()).await.is_none());
        accepting.await;
        timer::timeout(SHORT, tracker.drained()).await.expect("the listener is closed");
        assert!(tracker.token().is_none(), "nothing is let in any more");
    });
}
