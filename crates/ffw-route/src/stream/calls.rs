//! The two calls of a reservation: one to the prefill server, which prefills the prompt, and one to
//! the decode server, which runs the request.

use {
    super::{
        CALLS_PER_RESERVATION, RETRY_AFTER, Stream,
        failure::{self, AttemptFailure},
    },
    crate::{
        dialect::{Source, Step},
        transport::{self, Failure, IncomingResponse, OutgoingRequest, Permit},
    },
    ffw_control::{admission::Reservation, identity},
    ffw_protocol::{
        admission::{Failing, Server},
        error::{Error, Kind},
        quarantine::Progress,
    },
    std::time::{Duration, Instant},
};

/// Largest body of a response that is not passed on to the caller, in bytes.
const SMALL_BODY_BYTES_MAX: usize = 64 << 10;

/// Time that a prefill may take in addition to `PREFILL_FACTOR` times its estimated time.
const PREFILL_SLACK: Duration = Duration::from_millis(400);

/// A prefill may take this many times the time estimated from its prompt's length, plus
/// `PREFILL_SLACK`.
const PREFILL_FACTOR: u32 = 4;

/// Time in which the head of a stream must arrive once the prompt is prefilled.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time for which a call waits for a permit of an engine with a rate limit. It is short, as
/// the reservation holds room at both engines meanwhile.
const PERMIT_PATIENCE: Duration = Duration::from_millis(100);

/// Longest idle time of a kept connection that carries a call to an engine.
const REUSE_IDLE_MAX: Duration = Duration::from_secs(1);

impl Stream<'_> {
    /// Prefills the prompt at the reservation's prefill server; returns where its KV cache is kept.
    pub(super) async fn prefill(
        &self,
        reservation: &Reservation,
    ) -> std::result::Result<Source, AttemptFailure> {
        let server = &reservation.grant.prefill;
        let head_deadline = Instant::now() + self.prefill_timeout();
        let outgoing = self.outgoing(server, Step::Prefill, head_deadline);
        let response = match transport::call(self.router, &outgoing).await {
            Ok(response) => {
                response.into_full(self.router, SMALL_BODY_BYTES_MAX, head_deadline).await
            }
            Err(failure) => Err(failure),
        };
        let not_prefilled = |failing: Failing, cause: String| AttemptFailure {
            error: Error::new(Kind::BackendRefused, format!("prefill: {cause}"))
                .retry_after(RETRY_AFTER),
            failed: Some(failure::failed_server(server, failing)),
            may_retry: self.may_restart(),
            retry_calls: 1,
        };
        let response = response.map_err(|failure| match failure {
            Failure::Withheld(cause) => {
                not_prefilled(Failing::Refused, cause.into()).without_calls()
            }
            failure => not_prefilled(Failing::Broken, failure.to_string()),
        })?;
        if response.head.status != 200 {
            let cause = format!("{} answered {}", server.name, response.head.status);
            return Err(not_prefilled(
                failure::classify(&response.head, &response.response_info),
                cause,
            ));
        }
        let handle = (self.router.dialect.parse_handle)(&response.body.bytes());
        let handle = handle.map_err(|cause| not_prefilled(Failing::Broken, cause.to_string()))?;
        Ok(Source { address: server.address, handle })
    }

    fn prefill_timeout(&self) -> Duration {
        let pool = self.request.snapshot.deployment.pool(&self.request.pool);
        let rate = pool.map_or(1, |pool| pool.prefill_rate.max(1));
        let tokens = self.request.request_info.tokens.map_or(0, |tokens| tokens.prompt);
        let estimate = Duration::from_secs_f64(f64::from(tokens) / f64::from(rate));
        PREFILL_SLACK + estimate * PREFILL_FACTOR
    }

    /// Starts the request at the reservation's decode server and waits for the head of its stream.
    /// Without a source, the decode server prefills the prompt itself.
    pub(super) async fn decode(
        &self,
        reservation: &Reservation,
        source: Option<&Source>,
    ) -> std::result::Result<IncomingResponse, AttemptFailure> {
        let server = &reservation.grant.decode;
        let (step, timeout) = match source {
            Some(source) => (Step::Decode(source), STREAM_HEAD_TIMEOUT),
            None => (Step::Run, STREAM_HEAD_TIMEOUT + self.prefill_timeout()),
        };
        let head_deadline = Instant::now() + timeout;
        let outgoing = self.outgoing(server, step, head_deadline);
        let result = transport::call(self.router, &outgoing).await;
        let message = |cause: String| format!("backend server {}: {cause}", server.name);
        let may_retry = self.may_restart();
        let not_run = |cause: String, failing: Failing| AttemptFailure {
            error: Error::new(Kind::BackendRefused, message(cause)).retry_after(RETRY_AFTER),
            failed: Some(failure::failed_server(server, failing)),
            may_retry,
            retry_calls: CALLS_PER_RESERVATION,
        };
        let response = match result {
            Ok(response) if response.response_info.is_not_run => {
                let cause = format!("refused with {}", response.head.status);
                let failing = failure::classify(&response.head, &response.response_info);
                // The body holds no further information; it is read so that the connection can be
                // kept.
                drop(response.into_full(self.router, SMALL_BODY_BYTES_MAX, head_deadline).await);
                return Err(not_run(cause, failing));
            }
            Ok(response) => response,
            Err(Failure::Unreached(cause)) => return Err(not_run(cause, Failing::Broken)),
            Err(Failure::Withheld(cause)) => {
                return Err(not_run(cause.into(), Failing::Refused).without_calls());
            }
            Err(failure @ (Failure::Broken(_) | Failure::Disconnected(_) | Failure::TimedOut)) => {
                if matches!(failure, Failure::Disconnected(_)) {
                    self.suspect_crash(server, Progress::Unanswered, identity::now());
                }
                return Err(self.broken_run(server, &failure.to_string()));
            }
        };
        let fault = transport::fault(&response.head, &response.response_info);
        let cause = match fault {
            None if response.head.status == 200 => return Ok(response),
            None => format!("answered {}", response.head.status),
            Some(fault) => fault.to_owned(),
        };
        Err(self.broken_run(server, &cause))
    }

    fn outgoing<'a>(
        &'a self,
        server: &'a Server,
        step: Step<'a>,
        head_deadline: Instant,
    ) -> OutgoingRequest<'a> {
        OutgoingRequest {
            server,
            head: &self.request.head,
            body: &self.request.body,
            id: &self.request.request_info.id,
            step,
            last_event_id: self.relay.last_event_id(),
            deadline: self.request.deadline,
            head_deadline: head_deadline.min(self.request.deadline),
            reuse_idle_max: REUSE_IDLE_MAX,
            permit: Permit::Wanted(PERMIT_PATIENCE),
            attempts: self.attempts,
            principal: self.request.principal(),
        }
    }
}
