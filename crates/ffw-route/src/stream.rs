//! Streams: a place is asked for, the prompt is read at its prefill server, and the events come from
//! its decode server. A run that ends before its stream does is followed by another one where the
//! route allows that.

mod ask;
mod calls;
mod moving;
mod relay;
mod setback;

use {
    crate::{
        answer::After,
        caller::{self, Exchange},
        router::Router,
    },
    ffw_control::{
        admission::{self, Decision, Reservation},
        metrics::routed::Step,
    },
    ffw_http::connection::Connection,
    ffw_protocol::{
        admission::{Failing, Phase, Refusal, Server},
        error::{Error, Kind, Result, Run},
    },
    ffw_runtime::timer,
    log::{debug, info},
    moving::{Mover, Onward},
    relay::{Relay, RelayEnd},
    setback::Setback,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Calls that a place takes: one to read the prompt, one to run the request.
const CALLS_A_PLACE: u32 = 2;

/// Places that are asked for on behalf of one request.
const PLACES_MAX: u32 = 3;

/// Share of the time for which a result is kept that is counted on.
const RESULT_SHARE: f64 = 0.7;

/// Times that a moved run is tried again, and the pause before.
const CONTINUE_MAX: u32 = 8;
const CONTINUE_PAUSE: Duration = Duration::from_millis(60);

/// Time after which a caller may come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a stream ended.
pub(crate) enum End {
    /// The caller has its whole answer.
    Whole(After),
    /// The answer was broken off.
    Cut,
    /// Nothing was sent to the caller, who is to be told this.
    Failed(Error),
}

/// Serves a stream.
pub(crate) async fn serve(
    router: &Arc<Router>,
    exchange: &Exchange,
    caller: &mut Connection,
) -> End {
    let watcher = caller.watcher();
    let mut stream =
        Stream { router, exchange, relay: Relay::new(exchange, caller), is_run: false };
    let left = exchange.left();
    let ended = {
        let running = async { Some(stream.run().await) };
        let gone = async {
            watcher.closed().await;
            None
        };
        timer::timeout(left, smol::future::or(running, gone)).await
    };
    let id = &exchange.request_info.id;
    match ended {
        Some(Some(end)) => end,
        Some(None) => {
            debug!("event=caller_gone request={id}");
            End::Cut
        }
        None => {
            info!("event=stream_overdue request={id} begun={}", stream.relay.has_begun());
            let run = if stream.is_run { Run::Unknown } else { Run::Not };
            let message = "the time of the request is over";
            let error = Error::new(Kind::Timeout, message).run(run).retry_after(RETRY_AFTER);
            stream.relay.fail(error)
        }
    }
}

struct Stream<'a> {
    router: &'a Arc<Router>,
    exchange: &'a Exchange,
    relay: Relay<'a>,
    /// Whether a decode server may have begun to run it.
    is_run: bool,
}

/// Where a run was before it was moved.
struct Origin {
    server: Server,
    /// Times that its new server has refused it.
    tries: u32,
}

impl Stream<'_> {
    async fn run(&mut self) -> End {
        let mut places = 0;
        loop {
            let asked_at = Instant::now();
            let reservation = match self.place(places).await {
                Ok(reservation) => reservation,
                Err(error) => return self.relay.fail(error),
            };
            self.record_step(Step::Wait, asked_at.elapsed());
            places += 1;
            let mut reservation = reservation;
            let setback = match self.try_place(&mut reservation).await {
                Ok(after) => {
                    self.record_step(Step::FirstEvent, self.relay.first_event());
                    self.record_step(Step::Pause, self.relay.longest_gap());
                    self.log_served(&reservation);
                    reservation.release(self.relay.emitted(), true, None);
                    return End::Whole(after);
                }
                Err(setback) => setback,
            };
            let Setback { error, failed, may_repeat, repeats } = setback;
            let id = &self.exchange.request_info.id;
            let events = self.relay.events();
            info!(
                "event=place_failed request={id} place={places} events={events} error=\"{error}\""
            );
            reservation.release(self.relay.emitted(), true, failed);
            let may_repeat = may_repeat
                && places < PLACES_MAX
                && !self.exchange.is_over()
                && (repeats == 0 || self.router.take_repeat(&self.exchange.pool, repeats));
            if !may_repeat {
                return self.relay.fail(error);
            }
        }
    }

    fn record_step(&self, step: Step, span: Duration) {
        self.router.daemon.metrics.routed.record_step(&self.exchange.pool, step, span);
    }

    fn log_served(&self, reservation: &Reservation) {
        let Exchange { request_info, route, began, .. } = self.exchange;
        let Some(tokens) = request_info.tokens else { return };
        let grant = &reservation.grant;
        info!(
            "event=stream_served request={} route={} prefill={} decode={} prompt={} output={} \
             hint={:?} events={} ms={} first_ms={} gap_ms={} reason={:?} waited_ms={} \
             waiting={} served={} served_least={} owner={} epoch={} grant={} config={}",
            request_info.id,
            route.name,
            grant.prefill.name,
            grant.decode.name,
            tokens.prompt,
            tokens.output,
            tokens.output_hint,
            self.relay.events(),
            began.elapsed().as_millis(),
            self.relay.first_event().as_millis(),
            self.relay.longest_gap().as_millis(),
            grant.reason,
            grant.basis.waited_ms,
            grant.basis.waiting,
            grant.basis.served,
            grant.basis.served_least,
            grant.owner,
            grant.epoch,
            grant.number,
            self.exchange.snapshot.version.number,
        );
    }

    /// Asks for a place; `number` parts the places of one request.
    async fn place(&self, number: u32) -> Result<Reservation> {
        let daemon = &self.router.daemon;
        let ask =
            ask::build(self.exchange, &self.relay, daemon.identity.next_request(), number, false)?;
        match admission::reserve(daemon, &self.exchange.pool, ask).await? {
            Decision::Reservation(reservation) => Ok(reservation),
            Decision::Refusal(refusal) => Err(refused(&refusal)),
        }
    }

    async fn try_place(
        &mut self,
        reservation: &mut Reservation,
    ) -> std::result::Result<After, Setback> {
        timer::sleep(reservation.grant.start_in).await;
        self.check_servers(reservation)?;
        // Where no prefill server is left, the decode server reads the prompt itself.
        let reads_itself = reservation.grant.prefill.name == reservation.grant.decode.name;
        let began = Instant::now();
        let mut source = if reads_itself { None } else { Some(self.prefill(reservation).await?) };
        self.record_step(Step::Prefill, began.elapsed());
        let usable_until = Instant::now() + self.result_life();
        let mut origin: Option<Origin> = None;
        loop {
            reservation.record_phase(Phase::Transfer);
            let answer = match (self.decode(reservation, source.as_ref()).await, &mut origin) {
                (Ok(answer), _) => answer,
                (Err(setback), Some(origin)) => {
                    self.continue_moved(reservation, origin, setback).await?;
                    continue;
                }
                (Err(setback), None) => {
                    let is_usable = source.is_some();
                    let next = self.place_elsewhere(&setback, is_usable, usable_until).await;
                    let Some(next) = next else { return Err(setback) };
                    let before = std::mem::replace(reservation, next);
                    before.release(self.relay.emitted(), true, setback.failed);
                    continue;
                }
            };
            reservation.record_phase(Phase::Decode);
            let (id, pool) = (&self.exchange.request_info.id, &self.exchange.pool);
            let mut mover = Mover::new(self.router, id, pool, &reservation.grant.decode);
            let end = self.relay.pass_on(self.router, answer, reservation, &mut mover).await;
            let cause = match end {
                RelayEnd::Whole => return Ok(caller::after(self.router, &self.exchange.head)),
                RelayEnd::CallerGone => return Err(setback::caller_gone()),
                RelayEnd::Broken(cause) => cause,
            };
            let Some(onward) = mover.onward().await else {
                return Err(self.broken(&reservation.grant.decode, &cause));
            };
            let Onward { reservation: next, source: memory } = onward;
            origin = Some(Origin { server: reservation.grant.decode.clone(), tries: 0 });
            if let Some(next) = next {
                let before = std::mem::replace(reservation, next);
                before.release(self.relay.emitted(), true, None);
            }
            source = Some(memory);
        }
    }

    /// Lets a run that was moved go on although its new server refused it: where it was, if that
    /// server does not leave, or else at the new one after a pause. Nothing else has its memory.
    async fn continue_moved(
        &self,
        reservation: &mut Reservation,
        origin: &mut Origin,
        setback: Setback,
    ) -> std::result::Result<(), Setback> {
        let is_refused = setback.failed.as_ref().is_some_and(|one| one.how == Failing::Refused);
        origin.tries += 1;
        if !is_refused || origin.tries > CONTINUE_MAX {
            return Err(setback);
        }
        if self.router.daemon.view.takes_work(&origin.server.name) {
            reservation.grant.decode = origin.server.clone();
        } else {
            timer::sleep(CONTINUE_PAUSE).await;
        }
        Ok(())
    }

    /// Time for which the result of a prefill can be counted on.
    fn result_life(&self) -> Duration {
        let pool = self.exchange.snapshot.deployment.pool(&self.exchange.pool);
        let life = Duration::from_millis(pool.map_or(0, |pool| u64::from(pool.result_ms)));
        life.mul_f64(RESULT_SHARE)
    }

    /// A place at another decode server for a prompt that was read, if the first one refused it while
    /// the result can still be had: to read the prompt again would waste the first reading.
    async fn place_elsewhere(
        &self,
        setback: &Setback,
        has_result: bool,
        until: Instant,
    ) -> Option<Reservation> {
        let is_refused = setback.failed.as_ref().is_some_and(|one| one.how == Failing::Refused);
        let left = until.saturating_duration_since(Instant::now());
        if !is_refused || !has_result || left.is_zero() {
            return None;
        }
        let daemon = &self.router.daemon;
        let request = daemon.identity.next_request();
        let mut ask = ask::build(self.exchange, &self.relay, request, PLACES_MAX, true).ok()?;
        ask.patience = ask.patience.min(left);
        let asking = admission::reserve(daemon, &self.exchange.pool, ask);
        let Some(Ok(Decision::Reservation(reservation))) = timer::timeout(left, asking).await
        else {
            return None;
        };
        let may_send = daemon.view.takes_work(&reservation.grant.decode.name)
            && self.router.take_repeat(&self.exchange.pool, 1);
        may_send.then_some(reservation)
    }

    /// Whether another run may begin: none has, or the route lets streams be resumed.
    fn may_begin_again(&self) -> bool {
        !self.is_run || self.exchange.route.is_resumable
    }

    /// The owner may know less than this entry of servers that leave.
    fn check_servers(&self, reservation: &Reservation) -> std::result::Result<(), Setback> {
        let servers = [&reservation.grant.prefill, &reservation.grant.decode];
        let register = &self.router.daemon.view;
        let Some(leaving) = servers.into_iter().find(|one| !register.takes_work(&one.name)) else {
            return Ok(());
        };
        let message = format!("backend server {} is leaving", leaving.name);
        Err(Setback {
            error: Error::new(Kind::BackendRefused, message)
                .run(if self.is_run { Run::Unknown } else { Run::Not })
                .retry_after(RETRY_AFTER),
            failed: Some(setback::failed(leaving, Failing::Replaced)),
            may_repeat: self.may_begin_again(),
            repeats: 0,
        })
    }

    fn broken(&self, server: &Server, cause: &str) -> Setback {
        let message = format!("backend server {}: {cause}", server.name);
        Setback {
            error: Error::new(Kind::BackendFailed, message),
            failed: Some(setback::failed(server, Failing::Broken)),
            may_repeat: self.exchange.route.is_resumable,
            repeats: CALLS_A_PLACE,
        }
    }
}

fn refused(refusal: &Refusal) -> Error {
    let message = format!(
        "refused: {:?}, {} waiting, predicted {} ms",
        refusal.cause, refusal.basis.waiting, refusal.basis.predicted_ms
    );
    Error::new(Kind::Overloaded, message).retry_after(refusal.retry_after)
}
