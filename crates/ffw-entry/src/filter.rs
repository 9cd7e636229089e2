//! The filter chain that every request passes before it is served: authentication, classification
//! by path, limit of open requests, body parsing, classification by model.

pub mod authenticate;
pub mod classify;
pub mod limit;
pub mod parse;

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::error::{Error, Kind, Result},
    std::{sync::Arc, time::Duration},
};

/// Longest time for which a request that names something unknown waits for a confirmation that
/// there is no newer configuration.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(500);

/// Retry-After of a request that names something that a newer configuration may have.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Runs the filters in order until one rejects the request.
///
/// # Errors
/// The error of the first filter that rejects the request. No backend server has received it.
pub async fn apply_all(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    apply_confirmed(entry, exchange, authenticate::apply).await?;
    apply_confirmed(entry, exchange, |_, exchange| classify::apply_path(exchange)).await?;
    limit::apply(entry, exchange)?;
    parse::apply(entry, exchange).await?;
    apply_confirmed(entry, exchange, |_, exchange| classify::apply_model(exchange)).await
}

/// Runs a filter. If it misses something in the configuration, the request is authenticated and the
/// filter run again once the store has confirmed that there is no newer one.
///
/// # Errors
/// Those of the filter, or [`Kind::NotReady`] if a newer configuration may have what is missing.
async fn apply_confirmed(
    entry: &Arc<Entry>,
    exchange: &mut Exchange,
    filter: fn(&Arc<Entry>, &mut Exchange) -> Result<()>,
) -> Result<()> {
    match filter(entry, exchange) {
        Err(error) if is_missing(&error) && exchange.header("authorization").is_some() => {}
        result => return result,
    }
    let is_current = entry.daemon.freshness().is_current(CONFIRMATION_WAIT).await;
    let again = authenticate::apply(entry, exchange).and_then(|()| filter(entry, exchange));
    match again {
        Err(error) if is_missing(&error) && !is_current => {
            let message = format!("{}; a newer configuration may have it", error.message);
            Err(Error::new(Kind::NotReady, message).retry_after(RETRY_AFTER))
        }
        result => result,
    }
}

/// Whether an error says that the configuration lacks something that the request names.
fn is_missing(error: &Error) -> bool {
    let kinds = [Kind::Unauthenticated, Kind::Forbidden, Kind::UnknownService, Kind::UnknownModel];
    kinds.contains(&error.kind)
}
