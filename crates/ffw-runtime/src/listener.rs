//! Accepts connections, and accounts for what a listener has let in, so that a shutdown cuts off
//! nothing.
//!
//! A [`Tracker`] is closed when no further connection may be let in. The listener then still takes
//! the connections that the system has established on its behalf, as their callers may have sent
//! requests, and closes. Each piece of work holds a [`Token`]; the tracker is drained when the last
//! one is gone. The listener holds one as well, so that nothing is let in after that.
//!
//! Binds listeners as well, and waits for an address that another process is about to release.

use {
    crate::{executor, timer},
    futures_lite::future,
    log::warn,
    smol::{
        channel::{self, Receiver, Sender},
        net::{TcpListener, TcpStream},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time for which binding an address that is in use is retried.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two attempts to bind an address.
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a failed accept. Accepting fails, for example, while the process has no free file
/// descriptor.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Largest number of connections that are taken from the system's queue after the tracker was
/// closed, so that callers that connect without end can't keep the listener open.
const QUEUED_MAX: usize = 1_024;

/// What a listener has let in. Clones share the account.
#[derive(Clone, Debug)]
pub struct Tracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Closed, without a message, when nothing further may be let in.
    closing: Sender<()>,
    closed: Receiver<()>,
    /// Token from which the others are cloned until the tracker is closed.
    first: Mutex<Option<Token>>,
    /// Closed by the drop of the last token.
    drained: Receiver<()>,
}

/// Work that was let in; it is over when the token and its clones are dropped.
#[derive(Clone, Debug)]
pub struct Token(#[allow(dead_code, reason = "held for its drop")] Sender<()>);

impl Default for Tracker {
    fn default() -> Tracker {
        let (closing, closed) = channel::bounded(1);
        let (token, drained) = channel::bounded(1);
        let first = Mutex::new(Some(Token(token)));
        Tracker { shared: Arc::new(Shared { closing, closed, first, drained }) }
    }
}

impl Tracker {
    /// Lets nothing further in.
    pub fn close(&self) {
        self.shared.closing.close();
        self.shared.first.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Whether [`Tracker::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.shared.closing.is_closed()
    }

    /// Waits until [`Tracker::close`] is called.
    pub async fn closed(&self) {
        self.shared.closed.recv().await.ok();
    }

    /// A token for new work; `None` if the tracker is closed.
    pub fn token(&self) -> Option<Token> {
        self.shared.first.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of tokens, without the tracker's own.
    pub fn open(&self) -> usize {
        self.shared.drained.sender_count() - usize::from(!self.is_closed())
    }

    /// Waits until the tracker is closed and no token is left.
    pub async fn drained(&self) {
        self.shared.drained.recv().await.ok();
    }
}

/// Binds a listener. An address that is in use is tried again for some seconds, as the previous
/// process of the instance may not have released it yet.
///
/// # Errors
/// The address stays in use, or is not an address of this machine.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let began = Instant::now();
    loop {
        let bound = TcpListener::bind(address).await;
        if !bound.as_ref().is_err_and(is_in_use) || began.elapsed() >= BIND_TIMEOUT {
            return bound;
        }
        timer::sleep(BIND_PAUSE).await;
    }
}

fn is_in_use(err: &io::Error) -> bool {
    err.kind() == io::ErrorKind::AddrInUse
}

/// Accepts connections until the tracker is closed, and then those that were established before the
/// listener closes. `serve` gets each with a token, which it holds until the connection is served.
/// A failed accept is logged with `name` and repeated after a pause.
pub async fn accept(
    listener: TcpListener,
    name: &str,
    tracker: &Tracker,
    serve: impl Fn(TcpStream, Token),
) {
    let Some(token) = tracker.token() else { return };
    while let Some(accepted) = accept_one(&listener, tracker).await {
        match accepted {
            Ok(stream) => serve(stream, token.clone()),
            Err(err) => {
                warn!("event=accept_failed listener={name} error=\"{err}\"");
                timer::sleep(RETRY_PAUSE).await;
            }
        }
    }
    for _ in 0..QUEUED_MAX {
        let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await else { return };
        serve(stream, token.clone());
    }
}

/// The next connection; `None` once the tracker is closed.
async fn accept_one(listener: &TcpListener, tracker: &Tracker) -> Option<io::Result<TcpStream>> {
    if tracker.is_closed() {
        return None;
    }
    let accepting = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    let closed = async {
        tracker.closed().await;
        None
    };
    future::or(accepting, closed).await
}

/// Runs a task on the process's executor; it holds the token until it ends.
pub fn detach_with(token: Token, task: impl Future<Output = ()> + Send + 'static) {
    executor::detach(async move {
        task.await;
        drop(token);
    });
}
