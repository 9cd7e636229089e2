//! Authenticates a request by its bearer key. The configuration holds only the SHA-256 digest of a
//! key, and only digests are compared.

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::{
        digest,
        error::{Error, Kind, Result},
    },
    std::sync::Arc,
};

/// Sets the workspace and the configuration of the request.
///
/// # Errors
/// [`Kind::Draining`] once this daemon is draining and its listener is stopping,
/// [`Kind::NotReady`] before it has a configuration, [`Kind::Unauthenticated`] if the key is
/// missing or unknown.
pub fn apply(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    if entry.daemon.is_draining() && entry.callers.is_closed() {
        return Err(Error::new(Kind::Draining, "this instance is shutting down"));
    }
    let Some(snapshot) = entry.daemon.view.config() else {
        return Err(Error::new(Kind::NotReady, "no configuration is in force yet"));
    };
    let unauthenticated =
        || Error::new(Kind::Unauthenticated, "the bearer key is missing or unknown");
    let header = exchange.header("authorization").ok_or_else(unauthenticated)?;
    let key = header.strip_prefix("Bearer ").ok_or_else(unauthenticated)?;
    let digest = digest::hex(key.trim().as_bytes());
    let workspace = snapshot.workspace_of_key(&digest).ok_or_else(unauthenticated)?;
    exchange.workspace = Some(workspace.clone());
    exchange.snapshot = Some(snapshot);
    Ok(())
}
