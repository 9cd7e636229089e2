//! Reads the body and parses model calls.

use {
    crate::{
        entry::Entry,
        exchange::{Exchange, Route},
        openai,
    },
    ffw_http::server,
    ffw_protocol::error::Result,
    std::sync::Arc,
};

/// Reads and parses the body.
///
/// # Errors
/// [`ffw_protocol::error::Kind::TooLarge`] or [`ffw_protocol::error::Kind::Malformed`].
pub async fn apply(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    exchange.body = server::read_body(&mut exchange.request, &entry.limits).await?.into();
    exchange.call = match exchange.route {
        Route::Completion => Some(openai::parse_completion(&exchange.body)?),
        Route::Chat => Some(openai::parse_chat(&exchange.body)?),
        Route::Plain { .. } | Route::Records { .. } => None,
    };
    Ok(())
}
