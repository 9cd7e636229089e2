//! Helpers that the stand-ins' request handlers share.

use {
    ffw_http::server::{self, Limits},
    ffw_protocol::error::{Error, Kind},
    http_types::{Request, Response},
    serde::de::DeserializeOwned,
};

/// Parses the JSON body of a request.
///
/// # Errors
/// [`Kind::Malformed`] or [`Kind::TooLarge`].
pub async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let bytes = server::read_body(request, &Limits::default()).await?;
    serde_json::from_slice(&bytes).map_err(|err| Error::new(Kind::Malformed, err.to_string()))
}

/// Value of a query parameter.
pub fn query(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// An answer with a status and a reason.
pub fn status(status: u16, reason: &str) -> Response {
    server::text_response(status, "text/plain", reason)
}

/// The answer of a handler that may fail.
pub fn answer(result: Result<Response, Error>) -> Response {
    result.unwrap_or_else(|error| server::error_response(&error))
}
