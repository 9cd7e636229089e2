//! Calls to plain servers. A response with any status is a result, not an error.

use {
    ffw_http::{
        client::{self, Call},
        fault::Fault,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The complete response of a plain server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type; empty if the response has none.
    pub media: Arc<str>,
    /// Body, which must be UTF-8.
    pub body: Arc<str>,
}

/// Sends one call, once, and reads the complete response. The time limit of the call applies to the
/// head and again to the body.
///
/// # Errors
/// A fault that shows whether the server may have run the call.
pub async fn call(call: &Call) -> Result<Answer, Fault> {
    let mut response = client::send(call).await?;
    let media = response.header("content-type").map_or("", |values| values.last().as_str()).into();
    let status = response.status().into();
    let bytes = client::read_body(&mut response, call.time_limit).await?;
    let body = String::from_utf8(bytes).map_err(|err| Fault::Broken(err.to_string()))?.into();
    Ok(Answer { status, media, body })
}
