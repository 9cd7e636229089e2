//! One call to a backend server, and what its end proves about the work.

use {
    crate::{
        dialect::{Call, ResponseInfo, Step},
        router::Router,
    },
    ffw_http::{
        connection::{self, Connection},
        framing::{Decoder, Framing},
        message::{Request, Response},
    },
    ffw_protocol::admission::Server,
    ffw_runtime::{meter::Wire, timer},
    std::{
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes break a connection to a backend server.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 32 << 10;

/// Answers to other requests that are passed over on one connection.
const STALE_RESPONSES_MAX: u32 = 4;

/// Largest answer to another request that is passed over, in bytes.
const BODY_BYTES_MAX: usize = 1 << 20;

/// Idle time up to which a kept connection carries a call that belongs to no request.
const CONTROL_REUSE_IDLE_MAX: Duration = Duration::ZERO;

/// Part of a server's time for idle connections that is used.
const KEEP_ALIVE_SHARE: f64 = 0.5;

/// Time for which an idle connection is kept if its server names none.
const IDLE_LIFETIME: Duration = Duration::from_secs(4);

/// A call to make.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingRequest<'a> {
    /// Server that is to take it.
    pub(crate) server: &'a Server,
    /// The caller's head.
    pub(crate) head: &'a Request,
    /// The caller's body.
    pub(crate) body: &'a [u8],
    /// Id that the answer must bear.
    pub(crate) id: &'a str,
    /// What the server is to do.
    pub(crate) step: Step<'a>,
    /// Last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// When the caller's time is over.
    pub(crate) deadline: Instant,
    /// Latest moment for the head of the answer.
    pub(crate) head_deadline: Instant,
    /// Idle time up to which a kept connection may be used.
    pub(crate) reuse_idle_max: Duration,
}

/// Why a call gave no answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was handed over.
    Unreached(String),
    /// The server may have run the request.
    Broken(String),
    /// No answer came in time; the server may have run the request.
    TimedOut,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreached(cause) => write!(f, "not reached: {cause}"),
            Failure::Broken(cause) => write!(f, "broken: {cause}"),
            Failure::TimedOut => f.write_str("no answer in time"),
        }
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct IncomingResponse {
    /// Head.
    pub(crate) head: Response,
    /// What the head says.
    pub(crate) response_info: ResponseInfo,
    /// Decoder of the body.
    pub(crate) decoder: Decoder,
    /// Connection on which the body comes.
    pub(crate) connection: Connection,
    is_request_sent: bool,
    server: Arc<str>,
}

/// Makes a call and waits for the head of the answer that belongs to it.
pub(crate) async fn call(
    router: &Router,
    outgoing: &OutgoingRequest<'_>,
) -> Result<IncomingResponse, Failure> {
    let (server, deadline) = (outgoing.server, outgoing.head_deadline);
    let mut connection = connect(router, server, deadline, outgoing.reuse_idle_max).await?;
    let time_left = outgoing.deadline.saturating_duration_since(Instant::now());
    let call = Call {
        server: &outgoing.server.name,
        time_left,
        step: outgoing.step,
        last_event: outgoing.last_event,
        body_bytes: outgoing.body.len(),
    };
    let mut bytes = (router.dialect.write_call)(outgoing.head, &call).to_bytes();
    bytes.extend_from_slice(outgoing.body);
    let limit = outgoing.head_deadline.saturating_duration_since(Instant::now());
    let exchanging = exchange(router, &mut connection, outgoing, &bytes);
    let (head, response_info, is_request_sent) = match timer::timeout(limit, exchanging).await {
        Some(exchanged) => exchanged.map_err(|fault| Failure::Broken(fault.to_string()))?,
        None => return Err(Failure::TimedOut),
    };
    let framing = Framing::of_response(&head, &outgoing.head.method);
    let framing = framing.map_err(|malformed| Failure::Broken(malformed.to_string()))?;
    let (decoder, server) = (Decoder::new(framing), outgoing.server.name.clone());
    Ok(IncomingResponse { head, response_info, decoder, connection, is_request_sent, server })
}

/// Makes a call that belongs to no request, and reads its whole answer.
pub(crate) async fn control_call(
    router: &Router,
    server: &Server,
    head: &Request,
    body: &[u8],
    limit: Duration,
) -> Result<FullResponse, Failure> {
    let deadline = Instant::now() + limit;
    let mut connection = connect(router, server, deadline, CONTROL_REUSE_IDLE_MAX).await?;
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
    let (response, is_request_sent) = exchanged.map_err(|fault| broken(&fault))?;
    let framing = Framing::of_response(&response, &head.method).map_err(|err| broken(&err))?;
    let response_info = (router.dialect.parse_response)(&response);
    let (decoder, server) = (Decoder::new(framing), server.name.clone());
    let response = IncomingResponse {
        head: response,
        response_info,
        decoder,
        connection,
        is_request_sent,
        server,
    };
    response.into_full(router, BODY_BYTES_MAX, deadline).await
}

async fn connect(
    router: &Router,
    server: &Server,
    deadline: Instant,
    reuse_idle_max: Duration,
) -> Result<Connection, Failure> {
    if let Some(idle) = router.idle_connections.take(&server.name, reuse_idle_max).await {
        return Ok(idle);
    }
    let time_left = deadline.saturating_duration_since(Instant::now());
    let limit = CONNECT_TIMEOUT.min(time_left);
    let opened =
        Connection::open(server.address, Wire::Request, limit, UNACKNOWLEDGED_TIMEOUT).await;
    opened.map_err(|err| Failure::Unreached(err.to_string()))
}

async fn exchange(
    router: &Router,
    connection: &mut Connection,
    outgoing: &OutgoingRequest<'_>,
    bytes: &[u8],
) -> Result<(Response, ResponseInfo, bool), connection::Fault> {
    let (mut head, is_request_sent) = connection.exchange(bytes, HEAD_BYTES_MAX).await?;
    for _ in 0..STALE_RESPONSES_MAX {
        let response_info = (router.dialect.parse_response)(&head);
        let is_stale = response_info.id.as_ref().is_some_and(|id| **id != *outgoing.id);
        if !is_stale {
            return Ok((head, response_info, is_request_sent));
        }
        let mut decoder = Decoder::new(Framing::of_response(&head, &outgoing.head.method)?);
        connection.read_body(&mut decoder, BODY_BYTES_MAX).await?;
        head = connection.read_response(HEAD_BYTES_MAX).await?;
    }
    Err(connection::Fault::TooLarge)
}

impl IncomingResponse {
    /// Reads the whole body, and keeps the connection for further requests if it may be kept.
    pub(crate) async fn into_full(
        mut self,
        router: &Router,
        limit: usize,
        deadline: Instant,
    ) -> Result<FullResponse, Failure> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let reading = self.connection.read_body(&mut self.decoder, limit);
        let body = match timer::timeout(time_left, reading).await {
            Some(body) => body.map_err(|fault| Failure::Broken(fault.to_string()))?,
            None => return Err(Failure::TimedOut),
        };
        let (head, response_info) = (self.head.clone(), self.response_info.clone());
        self.keep_connection(router);
        Ok(FullResponse { head, response_info, body })
    }

    /// Keeps the connection for further requests if its last answer ended cleanly.
    pub(crate) fn keep_connection(self, router: &Router) {
        let may_keep = self.is_request_sent
            && self.head.keeps_connection()
            && self.decoder.has_ended()
            && !self.connection.has_pending();
        if may_keep {
            let lifetime = self
                .response_info
                .keep_alive
                .map_or(IDLE_LIFETIME, |keep_alive| keep_alive.mul_f64(KEEP_ALIVE_SHARE));
            router.idle_connections.put(&self.server, self.connection, lifetime);
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct FullResponse {
    /// Head.
    pub(crate) head: Response,
    /// What the head says.
    pub(crate) response_info: ResponseInfo,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl FullResponse {
    /// Why the answer can't be passed on, if it can't: a success must bear the server's signature
    /// and the id of its request.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        fault(&self.head, &self.response_info)
    }
}

/// Why an answer with this head can't be passed on, if it can't.
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
