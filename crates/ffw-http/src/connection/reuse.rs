//! Whether a connection can carry another request.

use {
    super::Connection,
    futures_lite::future,
    std::hash::{DefaultHasher, Hash as _, Hasher as _},
};

/// Largest number of requests that are sent on one connection. It bounds the memory of their
/// digests, 8 bytes each, which idle connections keep.
const SENT_MAX: usize = 1_024;

impl Connection {
    /// Whether an idle connection can be used for another request: no bytes are unread, and the
    /// other side did not close it.
    pub async fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = future::poll_once(self.stream.get_ref().peek(&mut byte)).await;
        self.buffer.is_empty() && peeked.is_none()
    }

    /// Records that a request with this id is sent.
    pub fn record_sent(&mut self, id: &str) {
        let digest = digest(id);
        if let Err(index) = self.sent.binary_search(&digest) {
            self.sent.insert(index, digest);
        }
    }

    /// Whether a request was sent on this connection.
    pub fn was_used(&self) -> bool {
        !self.sent.is_empty()
    }

    /// Whether a request with this id can be told from all that were sent before: a late answer to
    /// an earlier one would have another id. A connection that was used very often can't be used
    /// again.
    pub fn can_carry(&self, id: &str) -> bool {
        self.sent.len() < SENT_MAX && self.sent.binary_search(&digest(id)).is_err()
    }
}

fn digest(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
