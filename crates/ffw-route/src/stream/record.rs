//! Metrics and log lines of a stream.

use {
    super::{Stream, moving::Effect, relay::RelayEnd},
    crate::caller::RoutedRequest,
    ffw_control::{admission::Reservation, metrics::routed::Stage},
    ffw_http::framing::Framing,
    ffw_protocol::{admission::Failed, error::Error},
    log::info,
    std::time::Duration,
};

impl Stream<'_> {
    pub(super) fn record_stage(&self, step: Stage, span: Duration) {
        self.router.daemon.metrics.routed.record_stage(&self.request.pool, step, span);
    }

    /// Counts a run that has ended, and logs it if its end can't be told from the framing alone:
    /// the body ends with the connection, or the server was told to stop the run. `orders` is what
    /// is known of the orders to stop it.
    pub(super) fn record_run(
        &self,
        reservation: &Reservation,
        framing: Framing,
        orders: Effect,
        end: &RelayEnd,
    ) {
        let is_moved = orders.may_have_stopped();
        let routed = &self.router.daemon.metrics.routed;
        routed.record_run(&self.request.pool, framing.name(), is_moved, end.name());
        if orders != Effect::Unsent || framing == Framing::UntilClose {
            info!(
                "event=run_ended request={} server={} framing={} moved={is_moved} orders={} events={} \
                 end={}",
                self.request.request_info.id,
                reservation.grant.decode.name,
                framing.name(),
                orders.name(),
                self.relay.events(),
                end.name(),
            );
        }
    }

    /// Records and logs a stream whose caller has received the whole response.
    pub(super) fn record_served(&self, reservation: &Reservation) {
        self.record_stage(Stage::FirstEvent, self.relay.time_to_first_event());
        self.record_stage(Stage::Pause, self.relay.longest_gap());
        self.log_served(reservation);
    }

    pub(super) fn log_failure(&self, error: &Error, failed: Option<&Failed>, reservations: u32) {
        info!(
            "event=place_failed request={} place={reservations} events={} server={} parts={} \
             error=\"{error}\"",
            self.request.request_info.id,
            self.relay.events(),
            failed.map_or("none", |failed| &*failed.server),
            self.request.request_info.prompt,
        );
    }

    fn log_served(&self, reservation: &Reservation) {
        let RoutedRequest { request_info, route, started_at, .. } = self.request;
        let Some(tokens) = request_info.tokens else { return };
        let grant = &reservation.grant;
        info!(
            "event=stream_served request={} route={} prefill={} decode={} prompt={} generated={} \
             output_max={} hint={:?} events={} ms={} first_ms={} gap_ms={} reason={:?} waited_ms={} \
             waiting={} served={} served_least={} owner={} epoch={} grant={} config={} parts={}",
            request_info.id,
            route.name,
            grant.prefill.name,
            grant.decode.name,
            tokens.prompt,
            self.relay.emitted_tokens(),
            tokens.output,
            tokens.output_hint,
            self.relay.events(),
            started_at.elapsed().as_millis(),
            self.relay.time_to_first_event().as_millis(),
            self.relay.longest_gap().as_millis(),
            grant.reason,
            grant.basis.waited_ms,
            grant.basis.waiting,
            grant.basis.served,
            grant.basis.served_least,
            grant.owner,
            grant.epoch,
            grant.number,
            self.request.snapshot.version.number,
            request_info.prompt,
        );
    }
}
