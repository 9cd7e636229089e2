//! The two calls of a place: the prompt is read at one server, the request runs at the other.

use {
    super::{
        CALLS_A_PLACE, RETRY_AFTER, Stream,
        setback::{self, Setback},
    },
    crate::{
        dialect::{Source, Step},
        transport::{self, Answer, Failure, Outgoing},
    },
    ffw_control::admission::Reservation,
    ffw_protocol::{
        admission::{Failing, Server},
        error::{Error, Kind, Run},
    },
    std::time::{Duration, Instant},
};

/// Largest body of an answer that is not for the caller, in bytes.
const SMALL_BODY: usize = 64 << 10;

/// Time for a prefill beyond what its length takes.
const PREFILL_SLACK: Duration = Duration::from_millis(400);

/// Factor on the time that the length of a prompt takes, up to which a prefill is waited for.
const PREFILL_FACTOR: u32 = 4;

/// Time for the head of a stream after its prompt was read.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1_500);

/// Idle time up to which a kept connection carries a call to an engine.
const REUSE: Duration = Duration::from_secs(1);

impl Stream<'_> {
    /// Has the prompt read at the place's prefill server.
    pub(super) async fn prefill(
        &self,
        reservation: &Reservation,
    ) -> std::result::Result<Source, Setback> {
        let server = &reservation.grant.prefill;
        let head_by = Instant::now() + self.prefill_limit();
        let outgoing = self.outgoing(server, Step::Prefill, head_by);
        let whole = match transport::call(self.router, &outgoing).await {
            Ok(answer) => answer.into_whole(self.router, SMALL_BODY, head_by).await,
            Err(failure) => Err(failure),
        };
        let unread = |how: Failing, cause: String| Setback {
            error: Error::new(Kind::BackendRefused, format!("prefill: {cause}"))
                .run(if self.is_run { Run::Unknown } else { Run::Not })
                .retry_after(RETRY_AFTER),
            failed: Some(setback::failed(server, how)),
            may_repeat: self.may_begin_again(),
            repeats: 1,
        };
        let whole = whole.map_err(|failure| unread(Failing::Broken, failure.to_string()))?;
        if whole.head.status != 200 {
            let cause = format!("{} answered {}", server.name, whole.head.status);
            return Err(unread(setback::failing(&whole.head, &whole.response_info), cause));
        }
        let handle = (self.router.dialect.parse_handle)(&whole.body);
        let handle = handle.map_err(|cause| unread(Failing::Broken, cause.to_string()))?;
        Ok(Source { address: server.address, handle })
    }

    fn prefill_limit(&self) -> Duration {
        let pool = self.exchange.snapshot.deployment.pool(&self.exchange.pool);
        let rate = pool.map_or(1, |pool| pool.prefill_rate.max(1));
        let tokens = self.exchange.request_info.tokens.map_or(0, |tokens| tokens.prompt);
        let span = Duration::from_secs_f64(f64::from(tokens) / f64::from(rate));
        PREFILL_SLACK + span * PREFILL_FACTOR
    }

    /// Has the request run at the place's decode server, and waits for the head of its stream.
    pub(super) async fn decode(
        &mut self,
        reservation: &Reservation,
        source: Option<&Source>,
    ) -> std::result::Result<Answer, Setback> {
        let server = &reservation.grant.decode;
        let (step, limit) = match source {
            Some(source) => (Step::Decode(source), FIRST_EVENT_LIMIT),
            None => (Step::Run, FIRST_EVENT_LIMIT + self.prefill_limit()),
        };
        let head_by = Instant::now() + limit;
        let outgoing = self.outgoing(server, step, head_by);
        let result = transport::call(self.router, &outgoing).await;
        let message = |cause: String| format!("backend server {}: {cause}", server.name);
        let (was_run, may_repeat) = (self.is_run, self.may_begin_again());
        let not_run = |cause: String, how: Failing| Setback {
            error: Error::new(Kind::BackendRefused, message(cause))
                .run(if was_run { Run::Unknown } else { Run::Not })
                .retry_after(RETRY_AFTER),
            failed: Some(setback::failed(server, how)),
            may_repeat,
            repeats: CALLS_A_PLACE,
        };
        let answer = match result {
            Ok(answer) if answer.response_info.is_not_run => {
                let cause = format!("refused with {}", answer.head.status);
                let how = setback::failing(&answer.head, &answer.response_info);
                // The body says nothing more; it is read so that the connection can be kept.
                drop(answer.into_whole(self.router, SMALL_BODY, head_by).await);
                return Err(not_run(cause, how));
            }
            Ok(answer) => answer,
            Err(Failure::Unreached(cause)) => return Err(not_run(cause, Failing::Broken)),
            Err(failure @ (Failure::Broken(_) | Failure::Late)) => {
                self.is_run = true;
                return Err(self.broken(server, &failure.to_string()));
            }
        };
        self.is_run = true;
        let fault = transport::fault(&answer.head, &answer.response_info);
        let cause = match fault {
            None if answer.head.status == 200 => return Ok(answer),
            None => format!("answered {}", answer.head.status),
            Some(fault) => fault.to_owned(),
        };
        Err(self.broken(server, &cause))
    }

    fn outgoing<'a>(
        &'a self,
        server: &'a Server,
        step: Step<'a>,
        head_by: Instant,
    ) -> Outgoing<'a> {
        Outgoing {
            server,
            head: &self.exchange.head,
            body: &self.exchange.body,
            id: &self.exchange.request_info.id,
            step,
            last_event: self.relay.last_event(),
            deadline: self.exchange.deadline,
            head_by: head_by.min(self.exchange.deadline),
            reuse: REUSE,
        }
    }
}
