//! Objects of the platform's store whose content daemons define.

use std::sync::Arc;

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
