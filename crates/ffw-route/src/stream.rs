//! Serves streams: reserves a prefill server and a decode server with the owner of the pool's
//! shard, has the prompt prefilled, and relays the events of the decode server.
//!
//! A run that ends before its stream is followed by another one where the route declares streams
//! resumable. A run that has been moved continues at its new server, and a prompt that was
//! prefilled is not prefilled again if only the decode server refused it. Retries are charged to
//! the retry budget, except tries to continue a moved run and retries after attempts that called no
//! server.

mod affinity;
mod ask;
mod calls;
mod events;
mod failure;
mod moving;
mod quarantine;
mod relay;

use {
    crate::{
        caller::{self, RoutedRequest},
        plain::ENDING,
        response::Persistence,
        router::Router,
    },
    failure::AttemptFailure,
    ffw_control::{
        admission::{self, Decision, Reservation},
        metrics::routed::Stage,
        rate,
    },
    ffw_decide::attempts::Attempts,
    ffw_http::{connection::Connection, framing::Framing},
    ffw_protocol::{
        admission::{Failing, Phase, Refusal, Server},
        error::{Error, Kind, Result},
        instance::Role,
    },
    ffw_runtime::timer,
    log::{debug, info},
    moving::{Continuation, Mover},
    relay::{Relay, RelayEnd},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Calls that a reservation takes: one to prefill the prompt and one to run the request.
const CALLS_PER_RESERVATION: u32 = 2;

/// Largest number of reservations of a prefill and a decode server for one request; reservations of
/// only another decode server are not counted.
const RESERVATIONS_MAX: u32 = 3;

/// Share of a prefill result's lifetime in which it is used.
const RESULT_LIFETIME_SHARE: f64 = 0.7;

/// Largest number of tries to continue a moved run.
const CONTINUE_TRIES_MAX: u32 = 8;

/// Delay before another try to continue a moved run at its new server.
const CONTINUE_PAUSE: Duration = Duration::from_millis(60);

/// Retry-After of a failed stream, unless the owner's refusal states another one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Message to callers whose streams have not begun by their deadline.
const OVERDUE: &str = "the deadline of the request has passed";

/// How a stream ended.
pub(crate) enum Outcome {
    /// The caller has received the whole response.
    Complete(Persistence),
    /// The response ended early, or the caller closed the connection.
    Cut,
    /// Nothing was sent to the caller, which is to be answered with this error.
    Failed(Error),
}

/// Serves a stream until it ends, its deadline passes, or the caller closes the connection.
pub(crate) async fn serve(
    router: &Arc<Router>,
    request: &RoutedRequest,
    caller: &mut Connection,
) -> Outcome {
    let (watcher, attempts) = (caller.close_watcher(), Attempts::default());
    let relay = Relay::new(request, caller);
    let mut stream =
        Stream { router, request, relay, attempts: &attempts, open_orders: Vec::new() };
    let time_left = request.time_left();
    let result = {
        let running = async { Some(stream.run().await) };
        let caller_closed = async {
            watcher.closed().await;
            None
        };
        let ending = async {
            timer::timeout(time_left, router.requests_ending()).await.map_or(OVERDUE, |()| ENDING)
        };
        let ended = async { Ok(smol::future::or(running, caller_closed).await) };
        smol::future::or(ended, async { Err(ending.await) }).await
    };
    let id = &request.request_info.id;
    match result {
        Ok(Some(end)) => end,
        Ok(None) => {
            debug!("event=caller_gone request={id}");
            Outcome::Cut
        }
        Err(message) => {
            info!(
                "event=stream_overdue request={id} begun={} cause=\"{message}\"",
                stream.relay.has_begun()
            );
            stream.fail(Error::new(Kind::Timeout, message).retry_after(RETRY_AFTER))
        }
    }
}

struct Stream<'a> {
    router: &'a Arc<Router>,
    request: &'a RoutedRequest,
    relay: Relay<'a>,
    /// What has been sent to decode servers.
    attempts: &'a Attempts,
    /// Servers that have not answered an order to stop a run of this request.
    open_orders: Vec<Arc<str>>,
}

/// Server of a run before the run was moved.
struct Origin {
    server: Server,
    /// Number of failed tries to continue the run since it was moved.
    tries: u32,
}

impl Stream<'_> {
    async fn run(&mut self) -> Outcome {
        self.find_origin().await;
        let mut reservations = 0;
        loop {
            let requested_at = Instant::now();
            if let Some(error) = self.quarantine_error().or_else(|| self.affinity_error()) {
                return self.fail(error);
            }
            let reserving = self.reserve(reservations);
            let reserved = smol::future::or(reserving, self.until_held()).await;
            let reservation = match reserved {
                Ok(reservation) => reservation,
                Err(error) => return self.fail(error),
            };
            self.record_stage(Stage::Wait, requested_at.elapsed());
            reservations += 1;
            let mut reservation = reservation;
            let failure = match self.run_attempt(&mut reservation).await {
                Ok(persistence) => {
                    self.record_stage(Stage::FirstEvent, self.relay.time_to_first_event());
                    self.record_stage(Stage::Pause, self.relay.longest_gap());
                    self.log_served(&reservation);
                    reservation.release(self.relay.emitted_tokens(), true, None);
                    return Outcome::Complete(persistence);
                }
                Err(failure) => failure,
            };
            let AttemptFailure { error, failed, may_retry, retry_calls } = failure;
            let id = &self.request.request_info.id;
            let events = self.relay.events();
            info!(
                "event=place_failed request={id} place={reservations} events={events} \
                 server={} parts={} error=\"{error}\"",
                failed.as_ref().map_or("none", |failed| &*failed.server),
                self.request.request_info.prompt,
            );
            reservation.release(self.relay.emitted_tokens(), true, failed);
            let may_retry = may_retry
                && reservations < RESERVATIONS_MAX
                && !self.request.is_expired()
                && (retry_calls == 0 || self.router.take_retries(&self.request.pool, retry_calls));
            if !may_retry {
                return self.fail(error);
            }
        }
    }

    /// Ends the stream with an error, which tells the caller what is known of the work.
    fn fail(&mut self, error: Error) -> Outcome {
        self.relay.fail(self.attempts.qualify(error))
    }

    fn record_stage(&self, step: Stage, span: Duration) {
        self.router.daemon.metrics.routed.record_stage(&self.request.pool, step, span);
    }

    /// Counts a run that has ended, and logs it if its end can't be told from the framing alone: the
    /// body ends with the connection, or the server was told to stop the run.
    fn record_run(
        &self,
        reservation: &Reservation,
        framing: Framing,
        is_moved: bool,
        end: &RelayEnd,
    ) {
        let routed = &self.router.daemon.metrics.routed;
        routed.record_run(&self.request.pool, framing.name(), is_moved, end.name());
        if is_moved || framing == Framing::UntilClose {
            info!(
                "event=run_ended request={} server={} framing={} moved={is_moved} events={} end={}",
                self.request.request_info.id,
                reservation.grant.decode.name,
                framing.name(),
                self.relay.events(),
                end.name(),
            );
        }
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

    /// Requests a reservation from the owner; `number` is the number of earlier reservations of a
    /// prefill and a decode server for this request.
    async fn reserve(&self, number: u32) -> Result<Reservation> {
        let daemon = &self.router.daemon;
        if let Some(pushback) = self.pushback() {
            let message = format!("the servers of pool {} want no requests", self.request.pool);
            return Err(Error::new(Kind::NoBackend, message).retry_after(pushback));
        }
        let ask = ask::build(self.router, self.request, &self.relay, number, false)?;
        match admission::reserve(daemon, &self.request.pool, ask).await? {
            Decision::Reservation(reservation) => Ok(reservation),
            Decision::Refusal(refusal) => Err(refusal_error(&refusal)),
        }
    }

    /// Time until the servers that a stream needs take requests again; `None` unless all of one
    /// role are pushing back.
    fn pushback(&self) -> Option<Duration> {
        let daemon = &self.router.daemon;
        let pool = self.request.snapshot.deployment.pool(&self.request.pool);
        let decode_reads = pool.is_some_and(|pool| pool.decode_reads);
        let prefill = rate::pushback(daemon, &self.request.pool, Role::Prefill);
        let prefill = prefill.filter(|_| !decode_reads);
        rate::pushback(daemon, &self.request.pool, Role::Decode).max(prefill)
    }

    async fn run_attempt(
        &mut self,
        reservation: &mut Reservation,
    ) -> std::result::Result<Persistence, AttemptFailure> {
        timer::sleep(reservation.grant.start_in).await;
        self.check_servers(reservation)?;
        self.check_affinity(reservation)?;
        // If no prefill server is left, the grant names the decode server twice, and that server
        // prefills the prompt itself.
        let decode_prefills = reservation.grant.prefill.name == reservation.grant.decode.name;
        self.check_not_held()?;
        let started_at = Instant::now();
        let mut source =
            if decode_prefills { None } else { Some(self.prefill(reservation).await?) };
        self.record_stage(Stage::Prefill, started_at.elapsed());
        let result_deadline = Instant::now() + self.usable_result_time();
        let mut origin: Option<Origin> = None;
        loop {
            self.check_affinity(reservation)?;
            reservation.record_phase(Phase::Transfer);
            if origin.is_none() {
                self.check_not_held()?;
            }
            let response = match (self.decode(reservation, source.as_ref()).await, &mut origin) {
                (Ok(response), _) => response,
                (Err(failure), Some(origin)) => {
                    self.continue_moved(reservation, origin, failure).await?;
                    continue;
                }
                (Err(failure), None) => {
                    let has_result = source.is_some();
                    let next =
                        self.reserve_other_decode(&failure, has_result, result_deadline).await;
                    let Some(next) = next else { return Err(failure) };
                    let previous = std::mem::replace(reservation, next);
                    previous.release(self.relay.emitted_tokens(), true, failure.failed);
                    continue;
                }
            };
            reservation.record_phase(Phase::Decode);
            let (id, pool) = (&self.request.request_info.id, &self.request.pool);
            let server = &reservation.grant.decode;
            let has_open_order = self.open_orders.contains(&server.name);
            let mut mover =
                Mover::new(self.router, id, pool, server, has_open_order, origin.is_some());
            let (events_before, framing) = (self.relay.events(), response.framing);
            let end = self.relay.relay_events(self.router, response, reservation, &mut mover).await;
            self.record_run(reservation, framing, mover.is_moving(), &end);
            let cause = match end {
                RelayEnd::Complete => {
                    self.record_success();
                    return Ok(caller::persistence_after(self.router, &self.request.head));
                }
                RelayEnd::CallerGone => return Err(failure::caller_gone()),
                RelayEnd::Broken { cause, is_disconnect } => {
                    if is_disconnect && !mover.is_moving() {
                        let had_output = self.relay.events() > events_before;
                        self.suspect_crash(&reservation.grant.decode, had_output);
                    }
                    cause
                }
            };
            mover.may_have_stopped_run().await;
            if mover.leaves_open_order() {
                self.open_orders.push(reservation.grant.decode.name.clone());
            }
            let Some(continuation) = mover.into_continuation() else {
                return Err(self.broken_run(&reservation.grant.decode, &cause));
            };
            let Continuation { reservation: next, source: moved_source } = continuation;
            origin = Some(Origin { server: reservation.grant.decode.clone(), tries: 0 });
            if let Some(next) = next {
                let previous = std::mem::replace(reservation, next);
                previous.release(self.relay.emitted_tokens(), true, None);
            }
            source = Some(moved_source);
        }
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
        origin: &mut Origin,
        failure: AttemptFailure,
    ) -> std::result::Result<(), AttemptFailure> {
        let is_refused =
            failure.failed.as_ref().is_some_and(|failed| failed.how == Failing::Refused);
        origin.tries += 1;
        if !is_refused || origin.tries > CONTINUE_TRIES_MAX {
            return Err(failure);
        }
        if self.router.may_send(&origin.server.name) {
            reservation.grant.decode = origin.server.clone();
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
        if !failure.is_not_taken() || !has_result || time_left.is_zero() {
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

    /// Whether another run may begin: either none has begun, or the route declares streams
    /// resumable.
    fn may_restart(&self) -> bool {
        !self.attempts.may_have_run() || self.request.route.is_resumable
    }

    /// Checks the servers of a grant against this entry's view, as the owner may not know yet that
    /// a server is leaving.
    fn check_servers(&self, reservation: &Reservation) -> std::result::Result<(), AttemptFailure> {
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

    fn broken_run(&self, server: &Server, cause: &str) -> AttemptFailure {
        let message = format!("backend server {}: {cause}", server.name);
        AttemptFailure {
            error: Error::new(Kind::BackendFailed, message),
            failed: Some(failure::failed_server(server, Failing::Broken)),
            may_retry: self.request.route.is_resumable,
            retry_calls: CALLS_PER_RESERVATION,
        }
    }
}

fn refusal_error(refusal: &Refusal) -> Error {
    let message = format!(
        "refused: {:?}, {} waiting, predicted {} ms",
        refusal.cause, refusal.basis.waiting, refusal.basis.predicted_ms
    );
    Error::new(Kind::Overloaded, message).retry_after(refusal.retry_after)
}
