//! Received bytes that no message has consumed yet. Adding and consuming take constant time for
//! each byte, whatever the size of the pieces.

/// Least room that a read is given, in bytes.
const READ_BYTES_MIN: usize = 4 << 10;

/// Room of a buffer that is empty, in bytes.
const EMPTY_BYTES: usize = 8 << 10;

/// A buffer for one direction of a connection.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    /// The unconsumed bytes are those from `start` to `end`; the others are room.
    storage: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// The bytes that are not consumed yet.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.storage[self.start..self.end]
    }

    pub(crate) fn len(&self) -> usize {
        self.end - self.start
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Removes bytes from the start.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start += count;
        debug_assert!(self.start <= self.end, "more is consumed than was received");
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
            self.storage.truncate(EMPTY_BYTES);
            self.storage.shrink_to(EMPTY_BYTES);
        }
    }

    /// Bytes of memory that the buffer takes.
    pub(crate) fn capacity(&self) -> usize {
        self.storage.capacity()
    }

    /// Bytes of memory that the buffer takes after the next call of [`Buffer::room`].
    pub(crate) fn next_capacity(&self) -> usize {
        if self.storage.is_empty() {
            EMPTY_BYTES.max(self.capacity())
        } else if self.storage.len() - self.end < READ_BYTES_MIN && self.start < self.len() {
            (self.storage.len() * 2).max(self.capacity())
        } else {
            self.capacity()
        }
    }

    /// Releases the memory of an empty buffer.
    pub(crate) fn release(&mut self) {
        if self.is_empty() {
            *self = Buffer::default();
        }
    }

    /// Room for the next read. The bytes are moved to the front if at least as much room is there
    /// as they take; otherwise the room is doubled.
    pub(crate) fn room(&mut self) -> &mut [u8] {
        if self.storage.is_empty() {
            self.storage.resize(EMPTY_BYTES, 0);
        }
        if self.storage.len() - self.end < READ_BYTES_MIN {
            if self.start >= self.len() {
                self.storage.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            } else {
                let length = self.storage.len();
                self.storage.reserve_exact(length);
                self.storage.resize(length * 2, 0);
            }
        }
        &mut self.storage[self.end..]
    }

    /// Adds the first `count` bytes of the room.
    pub(crate) fn fill(&mut self, count: usize) {
        self.end += count;
    }
}
