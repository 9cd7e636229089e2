//! Reads the request body and parses the model call in it.

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

/// Reads the body, and parses it if the request is a model call.
///
/// # Errors
/// [`ffw_protocol::error::Kind::TooLarge`] if the body exceeds the limit,
/// [`ffw_protocol::error::Kind::Malformed`] if it can't be read or is not a valid call.
pub async fn apply(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    exchange.body = server::read_body(&mut exchange.request, &entry.limits).await?.into();
    exchange.call = match exchange.route {
        Route::Completion => Some(openai::parse_completion(&exchange.body)?),
        Route::Chat => Some(openai::parse_chat(&exchange.body)?),
        Route::Plain { .. } | Route::Records { .. } => None,
    };
    Ok(())
}
