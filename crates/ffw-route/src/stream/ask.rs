//! Builds the admission request that an entry sends to the owner of a shard for a stream.

use {
    super::relay::Relay,
    crate::{caller::RoutedRequest, dialect::Tokens, router::Router},
    ffw_control::software,
    ffw_protocol::{
        admission::{Ask, Attempt},
        error::{Error, Kind, Result},
        id,
    },
    std::time::Duration,
};

/// Time that the first event takes from its server to the caller.
const EVENT_TRANSIT_TIME: Duration = Duration::from_millis(30);

/// Shortest time without an event after which a caller is assumed to abandon a stream.
const PATIENCE_MIN: Duration = Duration::from_secs(2);

/// Time without an event after which a caller is assumed to abandon a stream, as a multiple of the
/// route's target.
const PATIENCE_PER_TARGET: u32 = 4;

/// The same time as a multiple of the route's longest gap.
const PATIENCE_PER_GAP: u32 = 8;

/// Builds the admission request; `is_prefilled` states that only a decode server is needed. Tokens
/// that the caller has received count as part of the prompt.
///
/// Each reservation has a new `request_id`, so `number` is not needed to distinguish the attempts
/// of a request. It is the number of earlier reservations of a prefill and a decode server, the
/// largest number of these (`RESERVATIONS_MAX`) for another decode server, and 1 for a move.
///
/// Servers that may not go on with the stream are to be avoided.
///
/// # Errors
/// [`Kind::Malformed`] if the request does not state its sizes.
pub(super) fn build(
    router: &Router,
    request: &RoutedRequest,
    relay: &Relay<'_>,
    number: u32,
    is_prefilled: bool,
) -> Result<Ask> {
    let route = &request.route;
    let workspace = request.workspace.as_ref();
    let no_size = || Error::new(Kind::Malformed, "a request to a model must state its sizes");
    let Tokens { prompt, output, output_hint } = request.request_info.tokens.ok_or_else(no_size)?;
    let gap = Duration::from_millis(route.gap_ms);
    let target = if relay.has_begun() { gap } else { route.target() };
    let patience =
        PATIENCE_MIN.max(route.target() * PATIENCE_PER_TARGET).max(gap * PATIENCE_PER_GAP);
    let request_id: id::Request = router.daemon.identity.next_request();
    let since_last_event = relay.last_sent_at().elapsed();
    let remaining = |total: Duration| total.saturating_sub(since_last_event + EVENT_TRANSIT_TIME);
    Ok(Ask {
        attempt: Attempt { request: request_id, number },
        // Without keys, each route counts as a workspace of its own.
        workspace: workspace.map_or(&route.name, |workspace| &workspace.name).clone(),
        weight: workspace.map_or(1, |workspace| workspace.weight),
        service: route.name.clone(),
        rank: route.rank,
        tokens_in: prompt + relay.emitted_tokens(),
        tokens_out: output.saturating_sub(relay.emitted_tokens()),
        is_read: is_prefilled,
        output_hint: output_hint.map(|hint| hint.saturating_sub(relay.emitted_tokens())),
        waited: Duration::ZERO,
        target: remaining(target),
        patience: remaining(patience).min(request.time_left()),
        prefix: Vec::new(),
        avoid: software::excluded(&router.daemon, &request.pool, relay.origin()),
    })
}
