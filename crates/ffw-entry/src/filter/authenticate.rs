//! Finds the workspace by its bearer key. Only the key's digest is compared and kept.

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::{
        digest,
        error::{Error, Kind, Result},
    },
    std::sync::Arc,
    subtle::ConstantTimeEq as _,
};

/// Finds the workspace.
///
/// # Errors
/// [`Kind::Draining`], [`Kind::NotReady`] or [`Kind::Unauthenticated`].
pub fn apply(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    if entry.daemon.is_draining() && entry.handle.is_stopping() {
        return Err(Error::new(Kind::Draining, "this instance is shutting down"));
    }
    let Some(snapshot) = entry.daemon.view.config() else {
        return Err(Error::new(Kind::NotReady, "no configuration is in force yet"));
    };
    let wrong = || Error::new(Kind::Unauthenticated, "the bearer key is missing or unknown");
    let header = exchange.header("authorization").ok_or_else(wrong)?;
    let key = header.strip_prefix("Bearer ").ok_or_else(wrong)?;
    let digest = digest::hex(key.trim().as_bytes());
    let found = snapshot.workspace_of_key(&digest).ok_or_else(wrong)?;
    let is_same: bool = found.key_sha256.as_bytes().ct_eq(digest.as_bytes()).into();
    if !is_same {
        return Err(wrong());
    }
    exchange.workspace = Some(found.clone());
    exchange.snapshot = Some(snapshot);
    Ok(())
}
