//! Objects of the store that can't be used, because another writer has left something odd there.
//! Each is logged once for each change of it, and not for each read.

use {
    log::warn,
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        sync::{Mutex, PoisonError},
    },
};

/// Largest number of oddities that are remembered. If there are more, all are forgotten, and so
/// logged once more.
const REMEMBERED_MAX: usize = 4_096;

/// Largest part of a text that is logged, in characters.
const TEXT_CHARS_MAX: usize = 200;

/// The oddities that were logged.
#[derive(Debug, Default)]
pub struct Oddities {
    /// Digests of kind and text, in order.
    logged: Mutex<Vec<u64>>,
}

impl Oddities {
    /// Logs, as `event`, that something of a kind is left out; `text` is what was read.
    pub fn record(&self, event: &str, kind: &str, text: &[u8], cause: &str) {
        let mut hasher = DefaultHasher::new();
        (kind, text).hash(&mut hasher);
        let digest = hasher.finish();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let Err(index) = logged.binary_search(&digest) else { return };
        if logged.len() >= REMEMBERED_MAX {
            logged.clear();
        }
        let index = index.min(logged.len());
        logged.insert(index, digest);
        warn!(
            "event={event} kind={kind} bytes={} error=\"{}\" text=\"{}\"",
            text.len(),
            excerpt(cause),
            excerpt(&String::from_utf8_lossy(&text[..text.len().min(4 * TEXT_CHARS_MAX)])),
        );
    }
}

/// The first characters of a text, without control characters.
pub fn excerpt(text: &str) -> String {
    text.chars().flat_map(char::escape_debug).take(TEXT_CHARS_MAX).collect()
}
