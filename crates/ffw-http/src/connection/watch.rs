//! Detects that the other side has closed a connection, or that its process has ended.

use {
    super::Connection,
    ffw_runtime::{meter::Wire, timer},
    smol::net::TcpStream,
    std::{net::SocketAddr, time::Duration},
};

/// Pause between two checks whether the other side closed, while unread bytes hide the end.
const CLOSE_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a process must accept the connection of [`has_ended`].
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which that connection must then stay open.
const CHECK_OPEN_TIME: Duration = Duration::from_millis(50);

/// Whether the process behind an address seems to have ended: it accepts no connection, or ends a
/// new one at once. A process that has lost one connection only, or refuses work, accepts another.
pub async fn has_ended(address: SocketAddr) -> bool {
    let opening = Connection::open(address, Wire::Request, CHECK_TIMEOUT, CHECK_TIMEOUT);
    let Ok(mut connection) = opening.await else { return true };
    let ended = timer::timeout(CHECK_OPEN_TIME, connection.wait_readable()).await;
    ended.is_some_and(|readable| readable.is_err())
}

impl Connection {
    /// A watcher that detects when the other side closes the connection.
    pub fn close_watcher(&self) -> CloseWatcher {
        CloseWatcher { stream: self.stream.get_ref().clone() }
    }
}

/// Detects that the other side of a connection has closed it.
#[derive(Clone, Debug)]
pub struct CloseWatcher {
    stream: TcpStream,
}

impl CloseWatcher {
    /// Waits until the other side has closed the connection or it has failed. Consumes no bytes.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // A further request is unread and hides the end of the connection behind it.
                Ok(_) => timer::sleep(CLOSE_CHECK_PAUSE).await,
            }
        }
    }
}
