//! Storage of a body while it arrives, charged to the connection's account before it grows.

use {
    ffw_http::connection::Connection,
    ffw_runtime::budget::{Holder, Kind},
    std::borrow::Cow,
};

/// Size of a segment, in bytes. Segments of one size can take the place of freed ones; bodies that
/// grew by reallocation left unusable blocks of many sizes.
const SEGMENT_BYTES: usize = 64 << 10;

/// Received bytes of a body.
#[derive(Debug)]
pub(crate) struct Body {
    /// All but the last are full. Only the first may be smaller than a segment, while it is alone.
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl Body {
    /// An empty body with room for its declared length, or `None` if there is no memory for it.
    pub(crate) fn new(connection: &mut Connection, declared: usize) -> Option<Body> {
        if !connection.charge(Kind::Body, declared) {
            return None;
        }
        let segments = vec![Vec::with_capacity(declared)];
        Some(Body { segments, length: 0, capacity: declared })
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Adds received bytes; returns `false` if there is no memory for them.
    pub(crate) fn push(&mut self, connection: &mut Connection, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let Some(last) = self.segments.last_mut() else { return false };
            let room = last.capacity() - last.len();
            if room > 0 {
                let (now, later) = bytes.split_at(room.min(bytes.len()));
                last.extend_from_slice(now);
                self.length += now.len();
                bytes = later;
                continue;
            }
            let (held, is_small) = (last.capacity(), last.capacity() < SEGMENT_BYTES);
            let added = if is_small {
                bytes.len().max(held).min(SEGMENT_BYTES - held)
            } else {
                SEGMENT_BYTES
            };
            if !connection.charge(Kind::Body, self.capacity + added) {
                return false;
            }
            self.capacity += added;
            if is_small {
                last.reserve_exact(added);
            } else {
                self.segments.push(Vec::with_capacity(added));
            }
        }
        true
    }

    /// The whole body in one piece; `None` if there is no memory for it.
    pub(crate) fn join(mut self, connection: &mut Connection) -> Option<Vec<u8>> {
        if self.segments.len() <= 1 {
            return self.segments.pop();
        }
        // The segments and the copy are held together for a moment.
        if !connection.charge(Kind::Body, self.capacity + self.length) {
            return None;
        }
        let whole = self.segments.concat();
        drop(self);
        connection.charge(Kind::Body, whole.capacity());
        Some(whole)
    }

    /// The whole body, with the account that is charged with it until it is dropped.
    pub(crate) fn into_payload(self, holder: Option<Holder>) -> Payload {
        Payload { segments: self.segments, length: self.length, _holder: holder }
    }
}

/// The whole body of a response, in the segments in which it was received.
#[derive(Debug)]
pub(crate) struct Payload {
    segments: Vec<Vec<u8>>,
    length: usize,
    _holder: Option<Holder>,
}

impl Payload {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(Vec::as_slice)
    }

    /// The body in one piece, for small ones.
    pub(crate) fn bytes(&self) -> Cow<'_, [u8]> {
        match self.segments.as_slice() {
            [only] => Cow::Borrowed(only),
            segments => Cow::Owned(segments.concat()),
        }
    }
}
