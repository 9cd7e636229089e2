//! The filter chain that every request passes before it is served: authentication, classification
//! by path, limit of open requests, body parsing, classification by model.

pub mod authenticate;
pub mod classify;
pub mod limit;
pub mod parse;

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::error::Result,
    std::sync::Arc,
};

/// Runs the filters in order until one rejects the request.
///
/// # Errors
/// The error of the first filter that rejects the request. No backend server has received it.
pub async fn apply_all(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    authenticate::apply(entry, exchange)?;
    classify::apply_path(exchange)?;
    limit::apply(entry, exchange)?;
    parse::apply(entry, exchange).await?;
    classify::apply_model(exchange)
}
