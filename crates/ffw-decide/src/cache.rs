//! Hints about prompt prefixes that a prefill server has cached.
//!
//! Events come late and with gaps, so a hint may be wrong: it may shorten a prediction, but no
//! promise rests on it.

/// Most prefixes that are remembered for one server.
const CAPACITY: usize = 4_096;

/// Prefix hashes that are thought to be cached at one server.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    sorted: Vec<u64>,
    oldest_first: std::collections::VecDeque<u64>,
}

impl Hints {
    /// Notes that a prefix is there, or has gone.
    pub fn note(&mut self, prefix: u64, stored: bool) {
        match (self.sorted.binary_search(&prefix), stored) {
            (Err(at), true) => {
                self.sorted.insert(at, prefix);
                self.oldest_first.push_back(prefix);
                self.evict();
            }
            (Ok(at), false) => {
                self.sorted.remove(at);
            }
            _ => {}
        }
    }

    fn evict(&mut self) {
        while self.oldest_first.len() > CAPACITY {
            let Some(oldest) = self.oldest_first.pop_front() else { return };
            if let Ok(at) = self.sorted.binary_search(&oldest) {
                self.sorted.remove(at);
            }
        }
    }

    /// How many leading pieces of a prompt are thought to be cached.
    pub fn leading(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|prefix| self.sorted.binary_search(prefix).is_ok()).count()
    }
}
