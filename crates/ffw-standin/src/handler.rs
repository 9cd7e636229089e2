//! Functions that the stand-ins' request handlers share: reading requests and making responses.

use {
    ffw_http::server::{self, Limits},
    ffw_protocol::error::{Error, Kind},
    http_types::{Request, Response},
    serde::de::DeserializeOwned,
};

/// Parses the JSON body of a request.
///
/// # Errors
/// [`Kind::Malformed`] if the body is not valid JSON for `T`; otherwise as [`server::read_body`],
/// such as [`Kind::TooLarge`].
pub async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let bytes = server::read_body(request, &Limits::default()).await?;
    serde_json::from_slice(&bytes).map_err(|err| Error::new(Kind::Malformed, err.to_string()))
}

/// Value of the first query parameter with this name; `None` if there is none.
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// A plain-text response with a status and a reason as its body.
pub fn status_response(status: u16, reason: &str) -> Response {
    server::text_response(status, "text/plain", reason)
}

/// The response of a handler; an error becomes an error response.
pub fn response(result: Result<Response, Error>) -> Response {
    result.unwrap_or_else(|error| server::error_response(&error))
}
