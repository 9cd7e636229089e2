//! Hints about prompt prefixes that a prefill server has cached.
//!
//! Servers report their cache in events that arrive late and with gaps, so a hint can be wrong.
//! Hints only reduce the predicted prefill time; nothing may depend on their being right.

/// Maximum number of prefixes that are kept for one server.
const PREFIXES_MAX: usize = 4_096;

/// Hashes of the prompt prefixes that one server has cached according to its events.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    sorted: Vec<u64>,
    oldest_first: std::collections::VecDeque<u64>,
}

impl Hints {
    /// Records that the server has stored a prefix, or has evicted it (`stored` is false).
    pub fn record_event(&mut self, prefix: u64, stored: bool) {
        match (self.sorted.binary_search(&prefix), stored) {
            (Err(index), true) => {
                self.sorted.insert(index, prefix);
                self.oldest_first.push_back(prefix);
                self.evict();
            }
            (Ok(index), false) => {
                self.sorted.remove(index);
            }
            _ => {}
        }
    }

    fn evict(&mut self) {
        while self.oldest_first.len() > PREFIXES_MAX {
            let Some(oldest) = self.oldest_first.pop_front() else { return };
            if let Ok(index) = self.sorted.binary_search(&oldest) {
                self.sorted.remove(index);
            }
        }
    }

    /// Number of leading prefixes of a prompt that the server has cached according to its events.
    /// `prefixes` holds the hashes of the prompt's first 1, 2, 3, ... memory pieces.
    pub fn cached_prefix_count(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|prefix| self.sorted.binary_search(prefix).is_ok()).count()
    }
}
