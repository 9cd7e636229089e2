//! Objects of the platform's store whose content daemons define, and how they are read and written.

use {
    crate::announce::StoreFuture,
    std::{fmt, sync::Arc},
};

/// An object as it was read, or is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<C> {
    /// Name of the object.
    pub name: Arc<str>,
    /// Revision of the object; `None` if there is none yet, or it is not known.
    pub revision: Option<u64>,
    /// Its content; `None` if it can't be read.
    pub content: Option<C>,
}

/// Functions that read and write the objects of one kind in the store.
pub struct Storage<C> {
    /// Reads all objects.
    pub read: Box<dyn Fn() -> StoreFuture<Vec<Stored<C>>> + Send + Sync>,
    /// Creates or replaces an object, unless it has changed since it was read.
    pub write: Box<dyn Fn(Stored<C>) -> StoreFuture<Stored<C>> + Send + Sync>,
    /// Number that rises each time the store is restored from an earlier copy of itself.
    pub era: Box<dyn Fn() -> u64 + Send + Sync>,
}

impl<C> fmt::Debug for Storage<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Storage")
    }
}
