//! One attempt of a stream under a reservation: the prompt is prefilled and the request is run, at
//! one decode server or, as it is refused or moved, at several.

use {
    super::{
        CALLS_PER_RESERVATION, RESERVATIONS_MAX, RETRY_AFTER, Stream, ask,
        failure::{self, AttemptFailure},
        moving::{Continuation, Mover},
        relay::RelayEnd,
    },
    crate::{caller, dialect::Source, response::Persistence, transport::IncomingResponse},
    ffw_control::{
        admission::{self, Decision, Reservation},
        identity,
        metrics::routed::Stage,
    },
    ffw_protocol::{
        admission::{Failed, Failing, Phase, Server},
        error::{Error, Kind},
    },
    ffw_runtime::timer,
    std::{
        mem,
        time::{Duration, Instant},
    },
};

/// Share of a prefill result's lifetime in which it is used.
const RESULT_LIFETIME_SHARE: f64 = 0.7;

/// Largest number of tries to continue a moved run.
const CONTINUE_TRIES_MAX: u32 = 8;

/// Delay before another try to continue a moved run at its new server.
const CONTINUE_PAUSE: Duration = Duration::from_millis(60);

/// State of an attempt.
struct Attempt {
    /// Location of the KV cache from which the next run starts; `None` if its decode server
    /// prefills the prompt itself.
    source: Option<Source>,
    /// Time until which the result of the prefill can be relied on.
    result_deadline: Instant,
    /// Set once a run was moved.
    moved_from: Option<OldServer>,
}

/// Server of a run before the run was moved.
struct OldServer {
    server: Server,
    /// Number of failed tries to continue the run since it was moved.
    tries: u32,
}

impl Stream<'_> {
    /// Runs the request under a reservation, which is replaced by the one of another decode server
    /// if the request goes on there.
    pub(super) async fn run_attempt(
        &mut self,
        reservation: &mut Reservation,
    ) -> Result<Persistence, AttemptFailure> {
        timer::sleep(reservation.grant.start_in).await;
        self.check_servers(reservation)?;
        self.check_affinity(reservation)?;
        let mut attempt = self.begin_attempt(reservation).await?;
        loop {
            self.check_affinity(reservation)?;
            reservation.record_phase(Phase::Transfer);
            if attempt.moved_from.is_none() {
                self.check_not_held()?;
            }
            let Some(response) = self.start_run(reservation, &mut attempt).await? else { continue };
            reservation.record_phase(Phase::Decode);
            let relayed = self.relay_run(reservation, response, &mut attempt).await?;
            if let Some(persistence) = relayed {
                return Ok(persistence);
            }
        }
    }

    /// Has the prompt prefilled. If no prefill server is left, the grant names the decode server
    /// twice, and that server prefills the prompt itself.
    async fn begin_attempt(&self, reservation: &Reservation) -> Result<Attempt, AttemptFailure> {
        let decode_prefills = reservation.grant.prefill.name == reservation.grant.decode.name;
        self.check_not_held()?;
        self.record_trial_sent();
        let started_at = Instant::now();
        let source = if decode_prefills { None } else { Some(self.prefill(reservation).await?) };
        self.record_stage(Stage::Prefill, started_at.elapsed());
        let result_deadline = Instant::now() + self.usable_result_time();
        Ok(Attempt { source, result_deadline, moved_from: None })
    }

    /// Starts a run at the reservation's decode server; `None` if that failed and another try is to
    /// be made, under the reservation that is set then.
    async fn start_run(
        &self,
        reservation: &mut Reservation,
        attempt: &mut Attempt,
    ) -> Result<Option<IncomingResponse>, AttemptFailure> {
        let failure = match self.decode(reservation, attempt.source.as_ref()).await {
            Ok(response) => return Ok(Some(response)),
            Err(failure) => failure,
        };
        if let Some(moved_from) = &mut attempt.moved_from {
            self.continue_moved(reservation, moved_from, failure).await?;
            return Ok(None);
        }
        let has_result = attempt.source.is_some();
        let next = self.reserve_other_decode(&failure, has_result, attempt.result_deadline).await;
        let Some(next) = next else { return Err(failure) };
        self.replace_reservation(reservation, next, failure.failed);
        Ok(None)
    }

    /// Relays the events of a run until it ends; `None` if it was moved and is to be continued.
    async fn relay_run(
        &mut self,
        reservation: &mut Reservation,
        response: IncomingResponse,
        attempt: &mut Attempt,
    ) -> Result<Option<Persistence>, AttemptFailure> {
        let (id, pool) = (&self.request.request_info.id, &self.request.pool);
        let server = &reservation.grant.decode;
        let has_open_order = self.open_orders.contains(&server.name);
        let is_moved = attempt.moved_from.is_some();
        let mut mover = Mover::new(self.router, id, pool, server, has_open_order, is_moved);
        let framing = response.framing;
        let end = self.relay.relay_events(self.router, response, reservation, &mut mover).await;
        let (ended_at, progress) = (identity::now(), self.relay.progress());
        if matches!(end, RelayEnd::Broken { .. }) {
            mover.settle().await;
        }
        self.record_run(reservation, framing, mover.effect(), &end);
        let cause = match end {
            RelayEnd::Complete => {
                self.record_success();
                return Ok(Some(caller::persistence_after(self.router, &self.request.head)));
            }
            RelayEnd::CallerGone => return Err(failure::caller_gone()),
            RelayEnd::Broken { cause, is_disconnect } => {
                if is_disconnect && !mover.effect().may_have_stopped() {
                    self.suspect_crash(&reservation.grant.decode, progress, ended_at);
                }
                cause
            }
        };
        if mover.has_open_order() {
            self.open_orders.push(reservation.grant.decode.name.clone());
        }
        let Some(continuation) = mover.into_continuation() else {
            return Err(self.broken_run(&reservation.grant.decode, &cause));
        };
        self.record_move(reservation, attempt, continuation);
        Ok(None)
    }

    /// Sets what a moved run continues from.
    fn record_move(
        &self,
        reservation: &mut Reservation,
        attempt: &mut Attempt,
        continuation: Continuation,
    ) {
        let Continuation { reservation: next, source } = continuation;
        attempt.moved_from = Some(OldServer { server: reservation.grant.decode.clone(), tries: 0 });
        if let Some(next) = next {
            self.replace_reservation(reservation, next, None);
        }
        attempt.source = Some(source);
    }

    /// Releases a reservation, and sets the one under which the request goes on.
    fn replace_reservation(
        &self,
        reservation: &mut Reservation,
        next: Reservation,
        failed: Option<Failed>,
    ) {
        let previous = mem::replace(reservation, next);
        previous.release(self.relay.emitted_tokens(), true, failed);
    }

    /// Prepares another try to continue a moved run that its new server refused: at its old server,
    /// if that one takes work, or else at the new one after a delay. No other server has the run's
    /// KV cache.
    ///
    /// # Errors
    /// The failure itself, if it is not a refusal or no tries are left.
    async fn continue_moved(
        &self,
        reservation: &mut Reservation,
        moved_from: &mut OldServer,
        failure: AttemptFailure,
    ) -> Result<(), AttemptFailure> {
        let is_refused =
            failure.failed.as_ref().is_some_and(|failed| failed.how == Failing::Refused);
        moved_from.tries += 1;
        if !is_refused || moved_from.tries > CONTINUE_TRIES_MAX {
            return Err(failure);
        }
        if self.router.may_send(&moved_from.server.name) {
            reservation.grant.decode = moved_from.server.clone();
        } else {
            timer::sleep(CONTINUE_PAUSE).await;
        }
        Ok(())
    }

    /// Time for which the result of a prefill can be relied on.
    fn usable_result_time(&self) -> Duration {
        let pool = self.request.snapshot.deployment.pool(&self.request.pool);
        let lifetime = Duration::from_millis(pool.map_or(0, |pool| u64::from(pool.result_ms)));
        lifetime.mul_f64(RESULT_LIFETIME_SHARE)
    }

    /// Reserves another decode server for a prompt that was prefilled, if the first one refused it
    /// or was not reached while the result is still kept. Another prefill would waste the first
    /// one. `None` if that is not possible.
    async fn reserve_other_decode(
        &self,
        failure: &AttemptFailure,
        has_result: bool,
        result_deadline: Instant,
    ) -> Option<Reservation> {
        let time_left = result_deadline.saturating_duration_since(Instant::now());
        let may_go_on = self.trial.is_none() && failure.is_not_taken() && has_result;
        if !may_go_on || time_left.is_zero() {
            return None;
        }
        let daemon = &self.router.daemon;
        let mut ask =
            ask::build(self.router, self.request, &self.relay, RESERVATIONS_MAX, true).ok()?;
        ask.patience = ask.patience.min(time_left);
        let reserving = admission::reserve(daemon, &self.request.pool, ask);
        let Some(Ok(Decision::Reservation(reservation))) =
            timer::timeout(time_left, reserving).await
        else {
            return None;
        };
        let may_send = self.router.may_send(&reservation.grant.decode.name)
            && self.router.take_retries(&self.request.pool, 1);
        may_send.then_some(reservation)
    }

    /// Checks the servers of a grant against this entry's view, as the owner may not know yet that
    /// a server is leaving.
    fn check_servers(&self, reservation: &Reservation) -> Result<(), AttemptFailure> {
        let servers = [&reservation.grant.prefill, &reservation.grant.decode];
        let router = self.router;
        let Some(unusable) = servers.into_iter().find(|server| !router.may_send(&server.name))
        else {
            return Ok(());
        };
        let is_leaving = !router.daemon.view.takes_work(&unusable.name);
        let state = if is_leaving { "is leaving" } else { "wants no requests for a time" };
        let message = format!("backend server {} {state}", unusable.name);
        let how = if is_leaving { Failing::Replaced } else { Failing::Refused };
        Err(AttemptFailure {
            error: Error::new(Kind::BackendRefused, message).retry_after(RETRY_AFTER),
            failed: Some(failure::failed_server(unusable, how)),
            may_retry: self.may_restart(),
            retry_calls: 0,
        })
    }

    pub(super) fn broken_run(&self, server: &Server, cause: &str) -> AttemptFailure {
        let message = format!("backend server {}: {cause}", server.name);
        AttemptFailure {
            error: Error::new(Kind::BackendFailed, message),
            failed: Some(failure::failed_server(server, Failing::Broken)),
            may_retry: self.request.route.is_resumable,
            retry_calls: CALLS_PER_RESERVATION,
        }
    }
}
