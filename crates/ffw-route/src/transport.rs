//! Calls to backend servers, and what the end of a call shows about whether the request ran.
//!
//! Connections are kept for further calls if the last exchange ended cleanly. A kept connection may
//! still deliver the response to an earlier request, or deliver one again. So a connection carries
//! each id once, responses with another request's id are skipped, and one without an id counts on a
//! new connection only. That the server has not run the request is believed only with its id.

use {
    crate::{
        body::{Body, Payload},
        dialect::{Call, Principal, ResponseInfo, Step},
        router::Router,
    },
    ffw_control::rate,
    ffw_decide::attempts::Attempts,
    ffw_http::{
        connection::{Connection, Fault},
        framing::{Decoder, Framing},
        message::{Malformed, Request, Response},
    },
    ffw_protocol::admission::Server,
    ffw_runtime::{
        budget::{Kind as Held, Side},
        meter::Wire,
        timer,
    },
    std::{
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes break a connection to a backend server.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest head of a response, in bytes.
const HEAD_BYTES_MAX: usize = 32 << 10;

/// Memory that a call is charged with for the connection itself.
const CONNECTION_BYTES: usize = 4 << 10;

/// Size that is requested for the receive buffer of a connection's socket, in bytes. The system
/// doubles it for its own bookkeeping.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Copies of a head that are held while its response is passed on: as received, as passed on, and
/// as written to the caller.
const HEAD_COPIES: usize = 3;

/// Why a request is not sent, or a response is given up.
const NO_MEMORY: &str = "no memory for the response";

/// Why a response is given up that is larger than its limit.
const BODY_TOO_LARGE: &str = "the body is too large";

/// Largest number of responses to other requests that are read on one connection in one call.
const STALE_RESPONSES_MAX: u32 = 4;

/// Largest body of a response that is not passed on to a caller, in bytes: of a response that is
/// skipped, or of a response to a control call.
const UNRELAYED_BODY_BYTES_MAX: usize = 1 << 20;

/// Longest idle time of a kept connection that carries a control call; zero, so that each such call
/// opens a connection of its own.
const CONTROL_REUSE_IDLE_MAX: Duration = Duration::ZERO;

/// Id of control calls, which carry none, in the record of what was sent on a connection.
const CONTROL_ID: &str = "";

/// Why a request is withheld from a server with a rate limit.
const LIMIT_USED_UP: &str = "its rate limit is used up";

/// A response on a kept connection without the id of a request, which may be an earlier one's.
const UNIDENTIFIED: Malformed = Malformed("the response on a kept connection has no request id");

/// Share of a server's stated keep-alive time for which an idle connection is kept.
const KEEP_ALIVE_SHARE: f64 = 0.5;

/// Time for which an idle connection is kept if its server states no keep-alive time.
const IDLE_LIFETIME: Duration = Duration::from_secs(4);

/// A call that carries a caller's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingRequest<'a> {
    /// Server that is called.
    pub(crate) server: &'a Server,
    /// Head of the caller's request.
    pub(crate) head: &'a Request,
    /// Body of the caller's request.
    pub(crate) body: &'a [u8],
    /// Id of the request, which its response must have.
    pub(crate) id: &'a str,
    /// What the server has to do.
    pub(crate) step: Step<'a>,
    /// Id of the last event that the caller received.
    pub(crate) last_event_id: Option<u64>,
    /// Deadline of the request, sent to the server as the time left.
    pub(crate) deadline: Instant,
    /// Time by which the head of the response must have arrived.
    pub(crate) head_deadline: Instant,
    /// Longest idle time of a kept connection that may be used.
    pub(crate) reuse_idle_max: Duration,
    /// What allows the call if the server has a rate limit.
    pub(crate) permit: Permit,
    /// Account of the request's attempts.
    pub(crate) attempts: &'a Attempts,
    /// On whose behalf the request is sent.
    pub(crate) principal: Principal<'a>,
}

impl OutgoingRequest<'_> {
    /// Whether the call makes the server run the request, and not only prefill its prompt.
    fn runs_request(&self) -> bool {
        !matches!(self.step, Step::Prefill)
    }
}

/// What allows a call to a server that has a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// A permit that was taken for this call.
    Taken,
    /// A permit that is taken before the request is sent, and waited for at most for this time.
    Wanted(Duration),
}

/// Why a call has no response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    Unreached(String),
    /// The request was not sent, because the server has said that it wants none, or no more.
    Withheld(&'static str),
    /// The connection failed or the response is invalid; the server may have run the request.
    Broken(String),
    /// The connection ended or failed before the response; the server may have run the request.
    Disconnected(String),
    /// No response arrived in time; the server may have run the request.
    TimedOut,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreached(cause) => write!(f, "not reached: {cause}"),
            Failure::Withheld(cause) => write!(f, "not sent: {cause}"),
            Failure::Broken(cause) | Failure::Disconnected(cause) => write!(f, "broken: {cause}"),
            Failure::TimedOut => f.write_str("no answer in time"),
        }
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct IncomingResponse {
    pub(crate) head: Response,
    /// What the adapter's dialect parsed from the head.
    pub(crate) response_info: ResponseInfo,
    /// Framing of the body.
    pub(crate) framing: Framing,
    /// Decoder of the body.
    pub(crate) decoder: Decoder,
    /// Connection on which the body arrives.
    pub(crate) connection: Connection,
    /// Whether the whole request was sent; a server may respond before that.
    is_request_sent_whole: bool,
    server: Arc<str>,
}

/// Makes a call and waits for the head of the response with the request's id, or with none.
pub(crate) async fn call(
    router: &Router,
    outgoing: &OutgoingRequest<'_>,
) -> Result<IncomingResponse, Failure> {
    let mut connection = prepare(router, outgoing).await?;
    let time_left = outgoing.deadline.saturating_duration_since(Instant::now());
    let call = Call {
        server: &outgoing.server.name,
        time_left,
        step: outgoing.step,
        last_event_id: outgoing.last_event_id,
        body_bytes: outgoing.body.len(),
        principal: outgoing.principal,
    };
    let mut bytes = (router.dialect.write_call)(outgoing.head, &call).to_bytes();
    bytes.extend_from_slice(outgoing.body);
    let limit = outgoing.head_deadline.saturating_duration_since(Instant::now());
    if outgoing.runs_request() {
        outgoing.attempts.begin();
    }
    let exchanging = exchange(router, &mut connection, outgoing, &bytes);
    let (head, response_info, is_request_sent_whole) = match timer::timeout(limit, exchanging).await
    {
        Some(exchanged) => exchanged.map_err(|fault| match fault {
            Fault::Closed | Fault::Broken(_) => Failure::Disconnected(fault.to_string()),
            Fault::Malformed(_) | Fault::TooLarge | Fault::OutOfMemory => {
                Failure::Broken(fault.to_string())
            }
        })?,
        None => return Err(Failure::TimedOut),
    };
    if !connection.charge(Held::Head, HEAD_COPIES * head.fields.held_bytes()) {
        return Err(Failure::Broken(NO_MEMORY.into()));
    }
    let framing = Framing::of_response(&head, &outgoing.head.method);
    let framing = framing.map_err(|malformed| Failure::Broken(malformed.to_string()))?;
    let (decoder, server) = (Decoder::new(framing), outgoing.server.name.clone());
    Ok(IncomingResponse {
        head,
        response_info,
        framing,
        decoder,
        connection,
        is_request_sent_whole,
        server,
    })
}

/// Takes a permit, unless one was taken, and connects to the server. A permit that is waited for
/// comes first: a kept connection may be closed meanwhile.
async fn prepare(router: &Router, outgoing: &OutgoingRequest<'_>) -> Result<Connection, Failure> {
    let (server, head_deadline) = (outgoing.server, outgoing.head_deadline);
    check_notices(router, server)?;
    if let Permit::Wanted(patience) = outgoing.permit {
        acquire_permit(router, server, patience).await?;
    }
    let reuse_idle_max = outgoing.reuse_idle_max;
    let connected = connect(router, server, head_deadline, reuse_idle_max, outgoing.id).await;
    // The server may have answered another request meanwhile.
    let checked = connected.and_then(|connection| {
        check_notices(router, server)?;
        Ok(connection)
    });
    if checked.is_err() {
        router.daemon.rates.give_up(&server.name);
    }
    checked
}

async fn acquire_permit(
    router: &Router,
    server: &Server,
    patience: Duration,
) -> Result<(), Failure> {
    let acquired = rate::request::acquire(&router.daemon, &server.name, patience).await;
    acquired.map_err(|_| Failure::Withheld(LIMIT_USED_UP))
}

/// Makes a control call, which is a call that carries no caller's request, such as a probe, and
/// reads its whole response. `limit` covers the whole call.
pub(crate) async fn control_call(
    router: &Router,
    server: &Server,
    head: &Request,
    body: &[u8],
    limit: Duration,
) -> Result<FullResponse, Failure> {
    let deadline = Instant::now() + limit;
    acquire_permit(router, server, Duration::ZERO).await?;
    let mut connection =
        connect(router, server, deadline, CONTROL_REUSE_IDLE_MAX, CONTROL_ID).await?;
    connection.record_sent(CONTROL_ID);
    let mut head = head.clone();
    head.fields.set("Host", server.address.to_string());
    if !body.is_empty() {
        head.fields.set("Content-Type", "application/json");
        head.fields.set("Content-Length", body.len().to_string());
    }
    let mut bytes = head.to_bytes();
    bytes.extend_from_slice(body);
    let time_left = deadline.saturating_duration_since(Instant::now());
    let exchanged = timer::timeout(time_left, connection.exchange(&bytes, HEAD_BYTES_MAX)).await;
    let exchanged = exchanged.ok_or(Failure::TimedOut)?;
    let broken = |cause: &dyn fmt::Display| Failure::Broken(cause.to_string());
    let (response, is_request_sent_whole) = exchanged.map_err(|fault| broken(&fault))?;
    let framing = Framing::of_response(&response, &head.method).map_err(|err| broken(&err))?;
    let response_info = (router.dialect.parse_response)(&response);
    router.record_notices(&server.name, &response_info);
    let (decoder, server) = (Decoder::new(framing), server.name.clone());
    let response = IncomingResponse {
        head: response,
        response_info,
        framing,
        decoder,
        connection,
        is_request_sent_whole,
        server,
    };
    response.into_full(router, UNRELAYED_BODY_BYTES_MAX, deadline).await
}

fn check_notices(router: &Router, server: &Server) -> Result<(), Failure> {
    router.withholding_cause(&server.name).map_or(Ok(()), |cause| Err(Failure::Withheld(cause)))
}

async fn connect(
    router: &Router,
    server: &Server,
    deadline: Instant,
    reuse_idle_max: Duration,
    id: &str,
) -> Result<Connection, Failure> {
    let holder = router.memory.open(Side::Server, CONNECTION_BYTES);
    let holder = holder.ok_or(Failure::Withheld(NO_MEMORY))?;
    let kept = router.idle_connections.take(&server.name, reuse_idle_max, id).await;
    let mut connection = match kept {
        Some(kept) => kept,
        None => open(server, deadline).await?,
    };
    if !connection.charge_response_to(holder) {
        return Err(Failure::Withheld(NO_MEMORY));
    }
    Ok(connection)
}

async fn open(server: &Server, deadline: Instant) -> Result<Connection, Failure> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let limit = CONNECT_TIMEOUT.min(time_left);
    let opened =
        Connection::open(server.address, Wire::Request, limit, UNACKNOWLEDGED_TIMEOUT).await;
    let opened = opened.map_err(|err| Failure::Unreached(err.to_string()))?;
    opened.bound_unread(SOCKET_BUFFER_BYTES);
    if !opened.is_reusable().await {
        return Err(Failure::Unreached("the server closed, or answered before a request".into()));
    }
    Ok(opened)
}

async fn exchange(
    router: &Router,
    connection: &mut Connection,
    outgoing: &OutgoingRequest<'_>,
    bytes: &[u8],
) -> Result<(Response, ResponseInfo, bool), Fault> {
    let was_used = connection.was_used();
    connection.record_sent(outgoing.id);
    let (mut head, is_request_sent_whole) = connection.exchange(bytes, HEAD_BYTES_MAX).await?;
    for _ in 0..STALE_RESPONSES_MAX {
        let mut response_info = (router.dialect.parse_response)(&head);
        router.record_notices(&outgoing.server.name, &response_info);
        match response_info.id.as_deref() {
            Some(id) if id == outgoing.id => {
                if response_info.is_not_run && outgoing.runs_request() {
                    outgoing.attempts.prove_not_run();
                }
                return Ok((head, response_info, is_request_sent_whole));
            }
            Some(_) => {}
            None if was_used => return Err(Fault::Malformed(UNIDENTIFIED)),
            None => {
                // Without the id, the statement may be about another request.
                response_info.is_not_run = false;
                return Ok((head, response_info, is_request_sent_whole));
            }
        }
        let mut decoder = Decoder::new(Framing::of_response(&head, &outgoing.head.method)?);
        connection.skip_body(&mut decoder, UNRELAYED_BODY_BYTES_MAX).await?;
        head = connection.read_response(HEAD_BYTES_MAX).await?;
    }
    // This fault stands for too many responses to other requests.
    Err(Fault::TooLarge)
}

impl IncomingResponse {
    /// Reads the whole body, of at most `limit` bytes, and keeps the connection for further calls
    /// if possible.
    pub(crate) async fn into_full(
        mut self,
        router: &Router,
        limit: usize,
        deadline: Instant,
    ) -> Result<FullResponse, Failure> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let reading = self.read_body(limit);
        let body = match timer::timeout(time_left, reading).await {
            Some(body) => body?,
            None => return Err(Failure::TimedOut),
        };
        let (head, response_info) = (self.head.clone(), self.response_info.clone());
        let holder = self.connection.take_holder();
        // A complete response is not given up for its memory any more.
        if holder.as_ref().is_some_and(|holder| !holder.begin_request()) {
            return Err(Failure::Broken(NO_MEMORY.into()));
        }
        self.keep_connection(router);
        Ok(FullResponse { head, response_info, body: body.into_payload(holder) })
    }

    /// Reads a whole body of at most `limit` bytes.
    async fn read_body(&mut self, limit: usize) -> Result<Body, Failure> {
        let broken = |cause: &dyn fmt::Display| Failure::Broken(cause.to_string());
        if matches!(self.framing, Framing::Length(length) if length > limit as u64) {
            return Err(broken(&BODY_TOO_LARGE));
        }
        let mut body = Body::new(&mut self.connection, 0).ok_or_else(|| broken(&NO_MEMORY))?;
        loop {
            let part = self.connection.read_part(&mut self.decoder).await;
            let Some(part) = part.map_err(|fault| broken(&fault))? else { return Ok(body) };
            if body.len() + part.len() > limit {
                return Err(broken(&BODY_TOO_LARGE));
            }
            if !body.push(&mut self.connection, &part) {
                return Err(broken(&NO_MEMORY));
            }
        }
    }

    /// Keeps the connection for further calls if the request was sent whole and the response ended
    /// cleanly.
    pub(crate) fn keep_connection(mut self, router: &Router) {
        let may_keep = self.is_request_sent_whole
            && self.head.keeps_connection()
            && self.decoder.has_ended()
            && !self.connection.has_unparsed_bytes();
        if may_keep {
            let lifetime = self
                .response_info
                .keep_alive
                .map_or(IDLE_LIFETIME, |keep_alive| keep_alive.mul_f64(KEEP_ALIVE_SHARE));
            drop(self.connection.take_holder());
            router.idle_connections.put(&self.server, self.connection, lifetime);
        }
    }
}

/// A response with its whole body.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) head: Response,
    /// What the adapter's dialect parsed from the head.
    pub(crate) response_info: ResponseInfo,
    pub(crate) body: Payload,
}

impl FullResponse {
    /// Why the response can't be passed on; `None` if it can. A success must carry the server's
    /// signature and a request id, and no response may have an encoded body.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        fault(&self.head, &self.response_info)
    }
}

/// Why a response with this head can't be passed on; `None` if it can.
pub(crate) fn fault(head: &Response, response_info: &ResponseInfo) -> Option<&'static str> {
    let is_success = (200..300).contains(&head.status);
    if head.fields.has("content-encoding") {
        return Some("the body is encoded");
    }
    if is_success && !response_info.is_signed {
        return Some("a success without signature");
    }
    if is_success && response_info.id.is_none() {
        return Some("a success without request id");
    }
    None
}
