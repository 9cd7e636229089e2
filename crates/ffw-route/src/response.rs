//! Writes responses to callers: the router's own error responses, and whole responses of backend
//! servers.

use {
    ffw_http::{
        connection::Connection,
        message::{Request, Response},
    },
    ffw_protocol::error::{Error, Kind, Run},
    ffw_runtime::timer,
    std::{io, time::Duration},
};

/// Longest time for which a caller may leave a part of its response unread.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the caller's connection persists after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection carries the next request.
    Keep,
    /// The connection is closed.
    Close,
}

/// Status of an error. A status that promises that the request did not run is used only if that is
/// certain.
pub fn status(error: &Error) -> u16 {
    match (error.kind, error.run) {
        (Kind::Malformed | Kind::NotFound | Kind::TooLarge | Kind::Unauthenticated, _)
        | (Kind::RateLimited, Run::Not) => error.kind.row().status,
        (_, Run::Not) => 503,
        (Kind::Timeout, _) => 504,
        (_, _) => 502,
    }
}

/// Head and body of an error response. The head has a Retry-After only with status 429 or 503.
pub fn from_error(error: &Error) -> (Response, Vec<u8>) {
    let mut head = Response::new(status(error));
    let row = error.kind.row();
    let body = format!("{}: {} ({})\n", row.code, error.message, error.run.word());
    if let Some(retry_after) = error.retry_after.filter(|_| matches!(head.status, 429 | 503)) {
        head.fields.set("Retry-After", format!("{:.3}", retry_after.as_secs_f64()));
    }
    head.fields.set("Content-Type", "text/plain; charset=utf-8");
    (head, body.into_bytes())
}

/// Writes a whole response. A response that has no body by its status or by the method HEAD is
/// written without `body`, and its length field is left as it is.
///
/// # Errors
/// The connection is closed, or the caller did not read within [`UNREAD_TIMEOUT`].
pub async fn write(
    caller: &mut Connection,
    request: &Request,
    head: Response,
    body: &[u8],
    persistence: Persistence,
) -> io::Result<()> {
    write_segments(caller, request, head, [body].into_iter(), persistence).await
}

/// As [`write`], with a body in segments, which are not copied together.
///
/// # Errors
/// As [`write`].
pub(crate) async fn write_segments<'a>(
    caller: &mut Connection,
    request: &Request,
    mut head: Response,
    body: impl Iterator<Item = &'a [u8]> + Clone,
    persistence: Persistence,
) -> io::Result<()> {
    let has_no_body = matches!(head.status, 204 | 304) || request.method.as_ref() == "HEAD";
    if !has_no_body {
        head.fields.set("Content-Length", body.clone().map(<[u8]>::len).sum::<usize>().to_string());
    }
    set_connection(&mut head, request, persistence);
    let mut bytes = head.to_bytes();
    let mut segments = body.filter(|_| !has_no_body);
    bytes.extend_from_slice(segments.next().unwrap_or_default());
    let writing = async {
        caller.write(&bytes, UNREAD_TIMEOUT).await?;
        for segment in segments {
            caller.write(segment, UNREAD_TIMEOUT).await?;
        }
        Ok(())
    };
    let is_unread = || Err(io::ErrorKind::TimedOut.into());
    timer::timeout(UNREAD_TIMEOUT, writing).await.unwrap_or_else(is_unread)
}

/// Sets the Connection field; HTTP/1.1 needs none for a persistent connection.
pub fn set_connection(head: &mut Response, request: &Request, persistence: Persistence) {
    match persistence {
        Persistence::Close => head.fields.set("Connection", "close"),
        Persistence::Keep if request.minor == 0 => head.fields.set("Connection", "keep-alive"),
        Persistence::Keep => {}
    }
}
