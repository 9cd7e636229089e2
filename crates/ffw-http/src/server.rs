//! A server loop with limits on the time of each step, the size of bodies and the number of
//! connections, so that slow or silent callers can't occupy a server.
//!
//! After [`Tracker::close`] no further connection is accepted. Requests that are in flight then, or
//! under way on an open connection, are answered completely.

use {
    ffw_protocol::error::{Error, Kind},
    ffw_runtime::{
        coop::Coop,
        listener::{self, Tracker},
        timer,
    },
    futures_lite::{AsyncRead, AsyncReadExt as _, AsyncWriteExt as _},
    http_types::{Body, Method, Request, Response, StatusCode},
    log::debug,
    smol::net::{TcpListener, TcpStream},
    std::{
        future::Future,
        io,
        net::Shutdown,
        time::{Duration, Instant},
    },
};

/// Size of the buffer through which a response is copied.
const COPY_BUFFER_BYTES: usize = 16 << 10;

/// Pause between two checks whether a caller closed its connection, while unread bytes hide its
/// end.
const CLOSE_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Time for which an idle connection is kept open after the tracker was closed.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time and bytes for which the unread rest of a request is read and discarded after the response.
const LINGER_TIME: Duration = Duration::from_secs(2);
const LINGER_BYTES: usize = 64 << 20;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for the head of a request, counted from the start of the connection or from the
    /// preceding response; it also bounds how long a connection stays idle.
    pub head_timeout: Duration,
    /// Time for the body of a request.
    pub body_timeout: Duration,
    /// Time for the caller to accept one part of its response.
    pub write_timeout: Duration,
    /// Maximum size of a request body.
    pub body_bytes_max: u64,
    /// Maximum number of simultaneous connections; further ones are closed on arrival.
    pub connections_max: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            body_bytes_max: 4 << 20,
            connections_max: 4_096,
        }
    }
}

/// The connection that a request came over.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    stream: TcpStream,
}

impl CallerConnection {
    /// Waits until the caller has closed its connection.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // A pipelined request is unread and hides the end of the connection behind it.
                Ok(_) => timer::sleep(CLOSE_CHECK_PAUSE).await,
            }
        }
    }
}

/// Accepts connections until the tracker is closed, and answers each request with the response of
/// `handler`. Connections that were let in before are served to their end.
pub async fn serve<F, Fut>(listener: TcpListener, limits: Limits, tracker: Tracker, handler: F)
where
    F: Fn(Request, CallerConnection) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    listener::accept(listener, "http", &tracker, |stream, token| {
        // The listener's own token counts as one.
        if tracker.open() > limits.connections_max + 1 {
            debug!("event=connection_refused cause=too_many_connections");
            return;
        }
        stream.set_nodelay(true).ok();
        let (tracker, handler) = (tracker.clone(), handler.clone());
        listener::detach_with(token, async move {
            if let Err(err) = serve_connection(stream, limits, &tracker, handler).await {
                debug!("event=connection_ended error={err}");
            }
        });
    })
    .await;
}

/// Waits for the first byte of a request; returns whether one arrived in time. After the tracker
/// was closed, a caller may still have sent a request that is under way.
async fn wait_for_request(stream: &TcpStream, limit: Duration, tracker: &Tracker) -> bool {
    let mut byte = [0];
    let arriving = async { matches!(stream.peek(&mut byte).await, Ok(1)) };
    let closing = async {
        tracker.closed().await;
        timer::sleep(CLOSING_IDLE_TIMEOUT).await;
        false
    };
    let waiting = smol::future::or(arriving, closing);
    timer::timeout(limit, waiting).await.unwrap_or(false)
}

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    limits: Limits,
    tracker: &Tracker,
    handler: F,
) -> io::Result<()>
where
    F: Fn(Request, CallerConnection) -> Fut,
    Fut: Future<Output = Response>,
{
    loop {
        let idle_since = Instant::now();
        if !wait_for_request(&stream, limits.head_timeout, tracker).await {
            return Ok(());
        }
        let head_time_left = limits.head_timeout.saturating_sub(idle_since.elapsed());
        let decoding = async_h1::server::decode(Coop::new(stream.clone()));
        let (request, mut rest) = match timer::timeout(head_time_left, decoding).await {
            None | Some(Ok(None)) => return Ok(()),
            Some(Ok(Some(parts))) => parts,
            Some(Err(err)) => {
                let error =
                    Error::new(Kind::Malformed, format!("the request can't be parsed: {err}"));
                return write_answer(&stream, error_response(&error), Method::Get, &limits).await;
            }
        };
        let method = request.method();
        let keep_alive = !request
            .header("connection")
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
        let mut response = handler(request, CallerConnection { stream: stream.clone() }).await;
        let mut scratch = [0];
        let body_read = matches!(
            timer::timeout(Duration::from_millis(1), rest.read(&mut scratch)).await,
            Some(Ok(0))
        );
        let keep_alive = keep_alive && body_read && !tracker.is_closed();
        if !keep_alive {
            response.insert_header("connection", "close");
        }
        write_answer(&stream, response, method, &limits).await?;
        if !keep_alive {
            return if body_read { Ok(()) } else { linger(stream).await };
        }
    }
}

/// Reads and discards what a caller still sends after its response. Closing a socket with unread
/// bytes sends a TCP reset, which can destroy the response before the caller has read it.
async fn linger(stream: TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    let mut stream = Coop::new(stream);
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    let draining = async {
        let mut remaining = LINGER_BYTES;
        while remaining > 0 {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                break;
            }
            remaining = remaining.saturating_sub(count);
        }
        Ok(())
    };
    timer::timeout(LINGER_TIME, draining).await.unwrap_or(Ok(()))
}

/// Writes a response to its caller. If reading its body fails, the connection ends without the last
/// chunk, so that the caller does not take the response for complete.
async fn write_answer(
    stream: &TcpStream,
    response: Response,
    method: Method,
    limits: &Limits,
) -> io::Result<()> {
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let mut stream = stream.clone();
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        let count = encoder.read(&mut buffer).await?;
        if count == 0 {
            return stream.flush().await;
        }
        let writing = stream.write_all(&buffer[..count]);
        match timer::timeout(limits.write_timeout, writing).await {
            Some(result) => result?,
            None => return Err(io::Error::new(io::ErrorKind::TimedOut, "caller does not read")),
        }
    }
}

/// Reads the body of a request within the limits.
///
/// # Errors
/// [`Kind::TooLarge`], or [`Kind::Malformed`] if the body ends before its declared length, can't be
/// read, or does not arrive within [`Limits::body_timeout`].
pub async fn read_body(request: &mut Request, limits: &Limits) -> Result<Vec<u8>, Error> {
    let declared = request.len();
    let too_large = || {
        Error::new(
            Kind::TooLarge,
            format!("the body is larger than {} bytes", limits.body_bytes_max),
        )
    };
    if declared.is_some_and(|length| length as u64 > limits.body_bytes_max) {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    let reading = async {
        let mut body = request.take_body().take(limits.body_bytes_max + 1);
        body.read_to_end(&mut bytes).await
    };
    match timer::timeout(limits.body_timeout, reading).await {
        None => return Err(Error::new(Kind::Malformed, "the body did not arrive in time")),
        Some(Err(err)) => return Err(Error::new(Kind::Malformed, format!("bad body: {err}"))),
        Some(Ok(_)) => {}
    }
    if bytes.len() as u64 > limits.body_bytes_max {
        return Err(too_large());
    }
    if declared.is_some_and(|length| length != bytes.len()) {
        return Err(Error::new(Kind::Malformed, "the body ended before its declared length"));
    }
    Ok(bytes)
}

/// A response with a JSON body.
pub fn json_response(status: u16, value: &impl serde::Serialize) -> Response {
    let mut response = response(status);
    response.set_body(Body::from_bytes(serde_json::to_vec(value).unwrap_or_default()));
    response.insert_header("content-type", "application/json");
    response
}

/// A response with a text body of the media type `media`.
pub fn text_response(status: u16, media: &str, text: &str) -> Response {
    let mut response = response(status);
    response.set_body(Body::from_bytes(text.as_bytes().to_vec()));
    response.insert_header("content-type", media);
    response
}

/// A response with status 200 whose body is read while it is written, in chunks.
pub fn stream_response(
    media: &str,
    body: impl AsyncRead + Unpin + Send + Sync + 'static,
) -> Response {
    let mut response = response(200);
    response.set_body(Body::from_reader(futures_lite::io::BufReader::new(body), None));
    response.insert_header("content-type", media);
    response
}

/// The response for an error, with status, code and help from the table of error kinds.
pub fn error_response(error: &Error) -> Response {
    let row = error.kind.row();
    let body = serde_json::json!({
        "error": {
            "code": row.code,
            "message": &*error.message,
            "run": error.run.word(),
            "help": row.help,
        }
    });
    let mut response = json_response(row.status, &body);
    response.insert_header("fireflyworks-run", error.run.word());
    if let Some(delay) = error.retry_after {
        response.insert_header("retry-after", delay.as_secs_f64().ceil().to_string());
        response.insert_header("retry-after-ms", delay.as_millis().to_string());
    }
    response
}

fn response(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError))
}
