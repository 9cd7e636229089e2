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
mod attempt;
mod calls;
mod events;
mod failure;
mod moving;
mod quarantine;
mod record;
mod relay;

use {
    crate::{caller::RoutedRequest, plain::ENDING, response::Persistence, router::Router},
    failure::AttemptFailure,
    ffw_control::{
        admission::{self, Decision, Reservation},
        metrics::routed::Stage,
        quarantine::Trial,
        rate,
    },
    ffw_decide::attempts::Attempts,
    ffw_http::connection::Connection,
    ffw_protocol::{
        admission::Refusal,
        error::{Error, Kind, Result},
        instance::Role,
    },
    ffw_runtime::timer,
    log::{debug, info},
    relay::Relay,
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
    let mut stream = Stream {
        router,
        request,
        relay,
        attempts: &attempts,
        open_orders: Vec::new(),
        trial: None,
    };
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
    /// Set if the request is sent to find out whether parts of its prompt crash servers.
    trial: Option<Trial>,
}

impl Stream<'_> {
    async fn run(&mut self) -> Outcome {
        self.find_origin().await;
        let mut reservations = 0;
        loop {
            let mut reservation = match self.await_reservation(reservations).await {
                Ok(reservation) => reservation,
                Err(error) => return self.fail(error),
            };
            reservations += 1;
            match self.run_attempt(&mut reservation).await {
                Ok(persistence) => {
                    affinity::record_end(self.router, self.request);
                    self.record_served(&reservation);
                    reservation.release(self.relay.emitted_tokens(), true, None);
                    return Outcome::Complete(persistence);
                }
                Err(failure) => {
                    if let Err(error) = self.prepare_retry(reservation, failure, reservations) {
                        return self.fail(error);
                    }
                }
            }
        }
    }

    /// Waits for a reservation; `number` is the number of earlier ones for this request.
    async fn await_reservation(&mut self, number: u32) -> Result<Reservation> {
        let requested_at = Instant::now();
        self.affinity_error().map_or(Ok(()), Err)?;
        self.admit_prompt()?;
        let reservation = smol::future::or(self.reserve(number), self.until_held()).await?;
        self.record_stage(Stage::Wait, requested_at.elapsed());
        Ok(reservation)
    }

    /// Releases the reservation of a failed attempt, and takes what another attempt costs from the
    /// retry budget.
    ///
    /// # Errors
    /// The error of the failure, if no other attempt may be made.
    fn prepare_retry(
        &self,
        reservation: Reservation,
        failure: AttemptFailure,
        reservations: u32,
    ) -> Result<()> {
        let AttemptFailure { error, failed, may_retry, retry_calls } = failure;
        self.log_failure(&error, failed.as_ref(), reservations);
        reservation.release(self.relay.emitted_tokens(), true, failed);
        let may_retry = may_retry
            && self.trial.is_none()
            && reservations < RESERVATIONS_MAX
            && !self.request.is_expired()
            && (retry_calls == 0 || self.router.take_retries(&self.request.pool, retry_calls));
        if may_retry { Ok(()) } else { Err(error) }
    }

    /// Ends the stream with an error, which tells the caller what is known of the work.
    fn fail(&mut self, error: Error) -> Outcome {
        self.relay.fail(self.attempts.qualify(error))
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

    /// Whether another run may begin: either none has begun, or the route declares streams
    /// resumable.
    fn may_restart(&self) -> bool {
        !self.attempts.may_have_run() || self.request.route.is_resumable
    }
}

fn refusal_error(refusal: &Refusal) -> Error {
    let message = format!(
        "refused: {:?}, {} waiting, predicted {} ms",
        refusal.cause, refusal.basis.waiting, refusal.basis.predicted_ms
    );
    Error::new(Kind::Overloaded, message).retry_after(refusal.retry_after)
}
