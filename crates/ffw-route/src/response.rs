//! Answers to callers: the router's own, and whole ones of backend servers.

use {
    ffw_http::{
        connection::Connection,
        message::{Request, Response},
    },
    ffw_protocol::error::{Error, Kind, Run},
    std::{io, time::Duration},
};

/// Time for which a caller may leave a part of its answer unread.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// What becomes of the caller's connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
}

/// Status for an error: a status that promises that the request did not run is given only where
/// that is certain.
pub fn status(error: &Error) -> u16 {
    match (error.kind, error.run) {
        (Kind::Malformed | Kind::NotFound | Kind::TooLarge, _) => error.kind.row().status,
        (_, Run::Not) => 503,
        (Kind::Timeout, _) => 504,
        (_, _) => 502,
    }
}

/// Head and body of the answer to an error.
pub fn from_error(error: &Error) -> (Response, Vec<u8>) {
    let mut head = Response::new(status(error));
    let row = error.kind.row();
    let body = format!("{}: {} ({})\n", row.code, error.message, error.run.word());
    if let Some(retry_after) = error.retry_after.filter(|_| head.status == 503) {
        head.fields.set("Retry-After", format!("{:.3}", retry_after.as_secs_f64()));
    }
    head.fields.set("Content-Type", "text/plain; charset=utf-8");
    (head, body.into_bytes())
}

/// Writes a whole answer.
///
/// # Errors
/// The caller is gone or does not read.
pub async fn write(
    caller: &mut Connection,
    request: &Request,
    mut head: Response,
    body: &[u8],
    persistence: Persistence,
) -> io::Result<()> {
    let has_no_body = matches!(head.status, 204 | 304) || request.method.as_ref() == "HEAD";
    if !has_no_body {
        head.fields.set("Content-Length", body.len().to_string());
    }
    set_connection(&mut head, request, persistence);
    let mut bytes = head.to_bytes();
    if !has_no_body {
        bytes.extend_from_slice(body);
    }
    caller.write(&bytes, UNREAD_TIMEOUT).await
}

/// Says in the head what becomes of the connection.
pub fn set_connection(head: &mut Response, request: &Request, persistence: Persistence) {
    match persistence {
        Persistence::Close => head.fields.set("Connection", "close"),
        Persistence::Keep if request.minor == 0 => head.fields.set("Connection", "keep-alive"),
        Persistence::Keep => {}
    }
}
