//! Relays the events of a stream to its caller across several runs. Only whole events are sent, so
//! that another run can continue after the last one.

use {
    super::{Outcome, affinity, ask, events::Events, moving::Mover},
    crate::{
        caller::{self, RoutedRequest},
        response::{self, Persistence, UNREAD_TIMEOUT},
        router::Router,
        transport::IncomingResponse,
    },
    ffw_control::admission::Reservation,
    ffw_decide::affinity::Origin,
    ffw_http::{
        connection::{Connection, Fault},
        message::Response,
    },
    ffw_protocol::{admission::Ask, error::Error, quarantine::Progress},
    ffw_runtime::{budget::Kind as Held, meter::Wire, timer},
    std::time::{Duration, Instant},
};

/// Longest time without data from a decode server, after which its run counts as broken.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Largest event, in bytes. Many streams may receive bytes without end at the same time.
const EVENT_BYTES_MAX: usize = 128 << 10;

/// Copies of an event that are held while it is passed on: as received, as taken for the caller,
/// and as written to it.
const EVENT_COPIES: usize = 3;

/// The answer of a run has just begun up to this number of events, and this time after the first
/// one. The server may have written more than has arrived.
const BEGINNING_EVENTS_MAX: u32 = 2;
const BEGINNING_TIME: Duration = Duration::from_millis(200);

/// Media type of an event stream.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// How a run ended.
pub(super) enum RelayEnd {
    /// The stream ended with this run.
    Complete,
    /// The run ended before the stream.
    Broken {
        /// What happened.
        cause: String,
        /// Whether the server ended the connection.
        is_disconnect: bool,
    },
    /// The caller no longer reads.
    CallerGone,
}

impl RelayEnd {
    /// Name in logs and metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            RelayEnd::Complete => "complete",
            RelayEnd::Broken { .. } => "broken",
            RelayEnd::CallerGone => "caller_gone",
        }
    }
}

/// The caller's side of a stream: what has been sent, and when.
pub(super) struct Relay<'a> {
    request: &'a RoutedRequest,
    caller: &'a mut Connection,
    has_begun: bool,
    origin: Origin,
    /// Media type of the response, which is that of the first run.
    media_type: Option<Vec<u8>>,
    last_event_id: Option<u64>,
    events: u32,
    /// Events before the present run, and when its first one came.
    events_before: u32,
    run_began_at: Option<Instant>,
    tokens_per_event: u32,
    last_sent_at: Instant,
    time_to_first_event: Duration,
    longest_gap: Duration,
}

impl<'a> Relay<'a> {
    pub(super) fn new(request: &'a RoutedRequest, caller: &'a mut Connection) -> Relay<'a> {
        let pool = request.snapshot.deployment.pool(&request.pool);
        Relay {
            request,
            caller,
            has_begun: false,
            origin: Origin::default(),
            media_type: None,
            last_event_id: request.request_info.last_event_id,
            events: 0,
            events_before: 0,
            run_began_at: None,
            tokens_per_event: pool.map_or(1, |pool| pool.event_tokens),
            last_sent_at: request.started_at,
            time_to_first_event: Duration::ZERO,
            longest_gap: Duration::ZERO,
        }
    }

    /// Where the first event of the stream was written.
    pub(super) fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Sets where the stream that the caller takes up began.
    pub(super) fn set_origin(&mut self, origin: Origin) {
        self.origin = origin;
    }

    /// Whether the head of the response was sent.
    pub(super) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Id of the last event that was sent to the caller, or that it stated in its request.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Number of events with an id; each is counted just before it is sent.
    pub(super) fn events(&self) -> u32 {
        self.events
    }

    /// How far the present run has come, as far as its events have arrived.
    pub(super) fn progress(&self) -> Progress {
        let has_many = self.events - self.events_before > BEGINNING_EVENTS_MAX;
        match self.run_began_at {
            None => Progress::Unanswered,
            Some(at) if !has_many && at.elapsed() <= BEGINNING_TIME => Progress::Begun,
            Some(_) => Progress::Midway,
        }
    }

    /// Number of output tokens in these events.
    pub(super) fn emitted_tokens(&self) -> u32 {
        self.events * self.tokens_per_event
    }

    /// Time of the last event, or of the request if no event has been sent.
    pub(super) fn last_sent_at(&self) -> Instant {
        self.last_sent_at
    }

    /// Ends the stream with an error: with an error response if nothing was sent yet, or else by
    /// closing the connection before the response is complete.
    pub(super) fn fail(&self, error: Error) -> Outcome {
        if self.has_begun { Outcome::Cut } else { Outcome::Failed(error) }
    }

    /// Relays the events of one run until it ends; advances the move of the run between two events.
    pub(super) async fn relay_events(
        &mut self,
        router: &Router,
        response: IncomingResponse,
        reservation: &Reservation,
        mover: &mut Mover,
    ) -> RelayEnd {
        (self.events_before, self.run_began_at) = (self.events, None);
        let relaying = self.relay_response(router, response, reservation, mover);
        relaying.await.err().unwrap_or(RelayEnd::Complete)
    }

    async fn relay_response(
        &mut self,
        router: &Router,
        mut response: IncomingResponse,
        reservation: &Reservation,
        mover: &mut Mover,
    ) -> Result<(), RelayEnd> {
        if let Some(cause) = self.unfit(&response) {
            return Err(broken(cause));
        }
        let continues = self.continues();
        let mut unsent = Events::default();
        while receive(&mut response, &mut unsent).await? {
            if self.send_events(router, &response, reservation, &mut unsent).await? {
                mover.advance(reservation, || self.build_ask(router)).await;
            }
        }
        // A body that ends with its connection may have been cut anywhere.
        let is_disconnect = response.decoder.ends_with_connection();
        if is_disconnect && mover.settle().await.may_have_stopped() {
            return Err(broken("the run was or may have been stopped for a move"));
        }
        let is_missing = continues && self.events == self.events_before;
        self.check_end(&unsent, is_disconnect, is_missing)?;
        self.complete(router, response, unsent).await
    }

    /// Sends the whole events that were received; returns whether there are any.
    async fn send_events(
        &mut self,
        router: &Router,
        response: &IncomingResponse,
        reservation: &Reservation,
        unsent: &mut Events,
    ) -> Result<bool, RelayEnd> {
        let events = unsent.take_numbered();
        if !events.is_empty() {
            if !self.record_events(&events) {
                return Err(broken("the ids of the events do not increase"));
            }
            let version = router.daemon.software.of(&reservation.grant.decode.name);
            let (request, is_first) = (self.request, !self.has_begun);
            affinity::record_event(router, request, &mut self.origin, version.as_ref(), is_first);
            reservation.record_emitted(self.emitted_tokens());
            if self.send(router, response, &events).await.is_err() {
                return Err(RelayEnd::CallerGone);
            }
        }
        if unsent.is_foreign() {
            return Err(broken("the stream holds something else than events"));
        }
        if unsent.len() > EVENT_BYTES_MAX {
            return Err(broken("an event is too large"));
        }
        Ok(!events.is_empty())
    }

    /// Checks that the end of a run's response is the end of the stream. `is_missing` states
    /// whether the run continues another one and has sent no event.
    fn check_end(
        &self,
        unsent: &Events,
        is_disconnect: bool,
        is_missing: bool,
    ) -> Result<(), RelayEnd> {
        if !unsent.is_whole() {
            let cause = "the stream ended within an event".into();
            return Err(RelayEnd::Broken { cause, is_disconnect });
        }
        // The run of before broke off, so that something is missing, unless its output had come to
        // the largest size. This holds for a run of the caller's earlier attempt, too.
        if is_missing && !self.has_full_output() {
            return Err(broken("the continued stream ended without an event"));
        }
        if is_disconnect && !self.has_begun {
            let cause = "the stream ended without an event".into();
            return Err(RelayEnd::Broken { cause, is_disconnect });
        }
        Ok(())
    }

    /// Sends what is left of a complete stream, and its end.
    async fn complete(
        &mut self,
        router: &Router,
        response: IncomingResponse,
        unsent: Events,
    ) -> Result<(), RelayEnd> {
        let rest = unsent.into_bytes();
        if !rest.is_empty() && self.send(router, &response, &rest).await.is_err() {
            return Err(RelayEnd::CallerGone);
        }
        if self.finish(router, &response).await.is_err() {
            return Err(RelayEnd::CallerGone);
        }
        response.keep_connection(router);
        Ok(())
    }

    /// Why a run's response can't be a part of the stream.
    fn unfit(&self, response: &IncomingResponse) -> Option<&'static str> {
        let media_type = media_type(&response.head);
        if media_type.as_ref().is_some_and(|media_type| media_type != EVENT_STREAM) {
            return Some("the response is no event stream");
        }
        let is_another = self.has_begun && media_type != self.media_type;
        is_another.then_some("the response has another media type than the stream")
    }

    /// Whether the caller has events of an earlier run, of this request or of one that it resumes.
    fn continues(&self) -> bool {
        self.has_begun || self.request.request_info.last_event_id.is_some()
    }

    /// Whether the caller has got as much output as it allows.
    fn has_full_output(&self) -> bool {
        let tokens = self.request.request_info.tokens;
        tokens.is_some_and(|tokens| self.emitted_tokens() >= tokens.output)
    }

    /// Builds the admission request for a reservation to which the run is moved.
    fn build_ask(&self, router: &Router) -> Option<Ask> {
        ask::build(router, self.request, self, 1, true).ok()
    }

    /// Records events that are to be sent; returns whether their ids increase. If not, records
    /// none.
    fn record_events(&mut self, events: &[u8]) -> bool {
        let text = String::from_utf8_lossy(events);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
        let (mut count, mut last_id) = (0, self.last_event_id);
        for id in ids {
            count += 1;
            match id.trim().parse() {
                Ok(id) if last_id.is_none_or(|last| id > last) => last_id = Some(id),
                Err(_) if last_id.is_none() => {}
                _ => return false,
            }
        }
        self.events += count;
        self.run_began_at.get_or_insert_with(Instant::now);
        self.last_event_id = last_id;
        let gap = self.last_sent_at.elapsed();
        if self.has_begun {
            self.longest_gap = self.longest_gap.max(gap);
        } else {
            self.time_to_first_event = gap;
        }
        self.last_sent_at = Instant::now();
        true
    }

    /// Time from the request to its first event; zero if there was none.
    pub(super) fn time_to_first_event(&self) -> Duration {
        self.time_to_first_event
    }

    /// Longest time between two events.
    pub(super) fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    async fn send(
        &mut self,
        router: &Router,
        response: &IncomingResponse,
        events: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = self.head(router, response);
        if self.request.head.minor == 0 {
            bytes.extend_from_slice(events);
        } else {
            bytes.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
            bytes.extend_from_slice(events);
            bytes.extend_from_slice(b"\r\n");
        }
        self.caller.write(&bytes, UNREAD_TIMEOUT).await
    }

    async fn finish(
        &mut self,
        router: &Router,
        response: &IncomingResponse,
    ) -> std::io::Result<()> {
        let mut bytes = self.head(router, response);
        if self.request.head.minor > 0 {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        self.caller.write(&bytes, UNREAD_TIMEOUT).await?;
        if self.request.head.minor == 0 {
            self.caller.end_on_close();
        }
        Ok(())
    }

    /// The head of the response, taken from the first run; empty if it was sent before.
    fn head(&mut self, router: &Router, response: &IncomingResponse) -> Vec<u8> {
        if std::mem::replace(&mut self.has_begun, true) {
            return Vec::new();
        }
        self.media_type = media_type(&response.head);
        let mut head = response.head.clone();
        head.fields.remove_hop_by_hop();
        head.fields.remove("content-length");
        let request = &self.request.head;
        if request.minor > 0 {
            head.fields.set("Transfer-Encoding", "chunked");
            response::set_connection(
                &mut head,
                request,
                caller::persistence_after(router, request),
            );
        } else {
            // The end of the connection is that of the response. Until the response is complete,
            // the connection must not end regularly, however it ends: not by a panic or by the end
            // of the process either.
            self.caller.reset_on_close();
            response::set_connection(&mut head, request, Persistence::Close);
        }
        head.to_bytes()
    }
}

/// Media type of a response, without parameters and in lower case.
fn media_type(head: &Response) -> Option<Vec<u8>> {
    let value = head.fields.all("content-type").next()?;
    let media_type = value.split(|byte| *byte == b';').next().unwrap_or_default();
    Some(media_type.trim_ascii().to_ascii_lowercase())
}

/// Receives the next part of a run's response; returns `false` at its end.
async fn receive(response: &mut IncomingResponse, unsent: &mut Events) -> Result<bool, RelayEnd> {
    let reading = response.connection.read_part(&mut response.decoder);
    let part = match timer::timeout(EVENT_TIMEOUT, reading).await {
        None => return Err(broken("no event in time")),
        Some(Err(fault)) => {
            let is_disconnect = matches!(fault, Fault::Closed | Fault::Broken(_));
            return Err(RelayEnd::Broken { cause: fault.to_string(), is_disconnect });
        }
        Some(Ok(part)) => part,
    };
    let Some(part) = part else { return Ok(false) };
    let held = EVENT_COPIES * (unsent.len() + part.len());
    if !response.connection.charge(Held::Body, held) {
        return Err(broken("no memory for an event"));
    }
    unsent.push(&part);
    Wire::Request.record_examined(part.len());
    Ok(true)
}

fn broken(cause: &str) -> RelayEnd {
    RelayEnd::Broken { cause: cause.into(), is_disconnect: false }
}
