//! The filters that every request passes before it is served, in order.

pub mod authenticate;
pub mod classify;
pub mod limit;
pub mod parse;

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::error::Result,
    std::sync::Arc,
};

/// Runs the filters in order until one refuses.
///
/// # Errors
/// The first refusal. Nothing has run.
pub async fn apply_all(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    authenticate::apply(entry, exchange)?;
    classify::apply_path(exchange)?;
    limit::apply(entry, exchange)?;
    parse::apply(entry, exchange).await?;
    classify::apply_model(exchange)
}
