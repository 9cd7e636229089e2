//! Ends connections.

use {
    super::Connection,
    crate::buffer::Buffer,
    ffw_runtime::{budget::Kind, timer},
    futures_lite::AsyncReadExt as _,
    rustix::net::sockopt,
    std::{io, time::Duration},
};

/// Size of the buffer in which bytes are read that are discarded.
const DISCARD_BYTES: usize = 8 << 10;

impl Connection {
    /// Makes closing send a TCP reset, so that the other side does not take what was sent for
    /// complete.
    pub fn reset_on_close(&self) {
        sockopt::set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO)).ok();
    }

    /// Undoes [`Connection::reset_on_close`].
    pub fn end_on_close(&self) {
        sockopt::set_socket_linger(self.stream.get_ref(), None).ok();
    }

    /// Closes the connection after a whole response. Lingers for at most `limit` if the other side
    /// has sent more already.
    pub async fn close(self, limit: Duration) {
        if !self.is_reusable().await {
            self.linger(limit).await;
        }
    }

    /// Closes the sending half, then reads and discards what the other side still sends, for at
    /// most `limit`. Closing a socket with unread bytes sends a TCP reset, which can destroy the
    /// response before the other side has read it.
    pub async fn linger(mut self, limit: Duration) {
        // Nothing of what was received is read any more.
        self.buffer = Buffer::default();
        self.charge(Kind::Buffer, DISCARD_BYTES);
        let draining = async {
            self.stream.get_ref().shutdown(std::net::Shutdown::Write)?;
            let mut buffer = vec![0; DISCARD_BYTES];
            while self.stream.read(&mut buffer).await? > 0 {}
            Ok::<(), io::Error>(())
        };
        // The response is already written, so that a failure or a timeout here has no effect.
        drop(timer::timeout(limit, draining).await);
    }
}
