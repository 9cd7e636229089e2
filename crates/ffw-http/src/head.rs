//! Finds out when the head of a message is worth parsing. Parsing after each read would take time
//! that grows with the square of the head's length, if it comes in small pieces.

/// How far a head that is not complete yet has been searched.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Search {
    /// Bytes among which the end of the head was searched for.
    searched: usize,
    /// Bytes that were parsed last.
    parsed: usize,
}

impl Search {
    /// Whether to parse `bytes`, which begin with the head: its end is there, or twice as many
    /// bytes as at the last time, so that bytes that are no head are found soon. Returns the number
    /// of bytes that were looked at as well.
    pub(crate) fn advance(&mut self, bytes: &[u8]) -> (bool, usize) {
        // The end may begin in the bytes that were searched before.
        let from = self.searched.saturating_sub(2);
        let has_end = bytes[from..].windows(2).enumerate().any(|(index, pair)| match pair {
            b"\n\n" => true,
            b"\n\r" => bytes.get(from + index + 2) == Some(&b'\n'),
            _ => false,
        });
        let looked_at = bytes.len() - from;
        self.searched = bytes.len();
        let parses = has_end || bytes.len() >= 2 * self.parsed;
        if parses {
            self.parsed = bytes.len();
        }
        (parses, looked_at)
    }
}
