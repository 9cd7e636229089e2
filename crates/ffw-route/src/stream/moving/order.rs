//! The order to a server to stop a run and copy its KV cache elsewhere, and what its answer tells.
//!
//! An answer tells whether *this* order has stopped the run. A server that knows no such run has
//! stopped nothing: the run had come to its end. An order without an answer, or one that finds
//! another one in progress, leaves open whether the run is stopped, now or later.

use {
    crate::{
        dialect::{Move, Source},
        router::Router,
        transport::{self, Failure, FullResponse},
    },
    ffw_control::admission::Reservation,
    ffw_protocol::admission::Server,
    log::info,
    std::{sync::Arc, time::Duration},
};

/// Time in which a server must stop a run and copy its KV cache.
pub(super) const MOVE_TIMEOUT: Duration = Duration::from_millis(700);

/// How a moved run continues.
#[derive(Debug)]
pub(in crate::stream) struct Continuation {
    /// Reservation under which the run continues; `None` if it continues under its present one.
    pub(in crate::stream) reservation: Option<Reservation>,
    /// Location of the run's KV cache.
    pub(in crate::stream) source: Source,
}

/// What is known of the orders to stop a run, from the least to the most that they may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::stream) enum Effect {
    /// None reached the server.
    Unsent,
    /// The server has answered that it carried none out.
    NotCarriedOut,
    /// The server may have carried one out, or may still do so.
    Open,
    /// The server has stopped the run.
    Stopped,
}

impl Effect {
    /// Name in logs and metrics.
    pub(in crate::stream) fn name(self) -> &'static str {
        match self {
            Effect::Unsent => "unsent",
            Effect::NotCarriedOut => "not_carried_out",
            Effect::Open => "open",
            Effect::Stopped => "stopped",
        }
    }

    /// Whether the end of the run may be that of an order.
    pub(in crate::stream) fn may_have_stopped(self) -> bool {
        self >= Effect::Open
    }
}

/// What came of an order.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The run has stopped and continues so.
    Stopped(Box<Continuation>),
    /// The run has not been stopped so far, as far as the effect tells.
    Other(Effect),
}

/// Makes a server stop a run and copy its KV cache to the decode server of a reservation.
pub(super) async fn send(
    router: &Router,
    id: &str,
    from: &Server,
    reservation: Reservation,
) -> Outcome {
    let target = reservation.grant.decode.clone();
    let order = Move { server: &from.name, id, target: target.address };
    let (head, body) = (router.dialect.write_move)(&order);
    let response = match transport::control_call(router, from, &head, &body, MOVE_TIMEOUT).await {
        Ok(response) => response,
        Err(failure) => {
            let effect = effect_of_failure(&failure);
            info!(
                "event=move_failed request={id} from={} effect={} error=\"{failure}\"",
                from.name,
                effect.name()
            );
            return Outcome::Other(effect);
        }
    };
    let (status, to) = (response.head.status, &target.name);
    let handle = handle(router, &response);
    let effect = if handle.is_some() { Effect::Stopped } else { effect_without_handle(&response) };
    info!(
        "event=run_moved request={id} from={} to={to} status={status} effect={}",
        from.name,
        effect.name()
    );
    let Some(handle) = handle else { return Outcome::Other(effect) };
    // With any other status, the run's KV cache is still at the old server.
    let reservation = (status == 200).then_some(reservation);
    let source = Source { address: from.address, handle };
    Outcome::Stopped(Box::new(Continuation { reservation, source }))
}

/// The handle of a run's KV cache, which only an answer to an order that was carried out has.
fn handle(router: &Router, response: &FullResponse) -> Option<Arc<str>> {
    let is_carried_out = matches!(response.head.status, 200 | 503);
    let body = response.body.bytes();
    is_carried_out.then(|| (router.dialect.parse_handle)(&body).ok()).flatten()
}

fn effect_without_handle(response: &FullResponse) -> Effect {
    match response.head.status {
        404 => Effect::NotCarriedOut,
        // Another start of the server answers. The one that ran the stream has ended, which may
        // have cut the stream.
        421 => Effect::Open,
        _ if response.response_info.is_not_run => Effect::NotCarriedOut,
        _ => Effect::Open,
    }
}

fn effect_of_failure(failure: &Failure) -> Effect {
    match failure {
        Failure::Unreached(_) | Failure::Withheld(_) => Effect::Unsent,
        Failure::Broken(_) | Failure::Disconnected(_) | Failure::TimedOut => Effect::Open,
    }
}
