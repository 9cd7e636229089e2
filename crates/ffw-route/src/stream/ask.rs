//! What the owner of a shard is asked for on behalf of a stream.

use {
    super::relay::Relay,
    crate::{caller::Exchange, dialect::Tokens},
    ffw_protocol::{
        admission::{Ask, Attempt},
        error::{Error, Kind, Result},
        id,
    },
    std::time::Duration,
};

/// Time between the first event at its server and at the caller.
const TRANSIT: Duration = Duration::from_millis(30);

/// Shortest silence after which callers give a stream up.
const PATIENCE_MIN: Duration = Duration::from_secs(2);

/// Silences after which callers give a stream up, in targets and in pauses.
const PATIENCE_TARGETS: u32 = 4;
const PATIENCE_GAPS: u32 = 8;

/// What the owner of the shard is asked for; `is_read` if the prompt was read already.
/// # Errors
/// [`Kind::Malformed`] if the request does not say how large it is.
pub(super) fn build(
    exchange: &Exchange,
    relay: &Relay<'_>,
    request: id::Request,
    number: u32,
    is_read: bool,
) -> Result<Ask> {
    let route = &exchange.route;
    let no_size = || Error::new(Kind::Malformed, "a request to a model gives its sizes");
    let Tokens { prompt, output, output_hint } =
        exchange.request_info.tokens.ok_or_else(no_size)?;
    let gap = Duration::from_millis(route.gap_ms);
    let target = if relay.has_begun() { gap } else { route.target() };
    let patience = PATIENCE_MIN.max(route.target() * PATIENCE_TARGETS).max(gap * PATIENCE_GAPS);
    let since = relay.silent_since().elapsed();
    let left = |span: Duration| span.saturating_sub(since + TRANSIT);
    Ok(Ask {
        attempt: Attempt { request, number },
        workspace: route.name.clone(),
        weight: 1,
        service: route.name.clone(),
        rank: route.rank,
        tokens_in: prompt + relay.emitted(),
        tokens_out: output.saturating_sub(relay.emitted()),
        is_read,
        output_hint: output_hint.map(|hint| hint.saturating_sub(relay.emitted())),
        waited: Duration::ZERO,
        target: left(target),
        patience: left(patience).min(exchange.left()),
        prefix: Vec::new(),
    })
}
