//! Calls of plain services. Whatever answer the service gives is its answer.

use {
    ffw_http::{
        client::{self, Call},
        fault::Fault,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The answer of a plain service, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type, empty if none was given.
    pub media: Arc<str>,
    /// Body.
    pub body: Arc<str>,
}

/// Sends one call, once, and reads the whole answer.
///
/// # Errors
/// A fault that says whether the service may have run the call.
pub async fn call(call: &Call) -> Result<Answer, Fault> {
    let mut response = client::send(call).await?;
    let media = response.header("content-type").map_or("", |values| values.last().as_str()).into();
    let status = response.status().into();
    let bytes = client::read_body(&mut response, call.limit).await?;
    let body = String::from_utf8(bytes).map_err(|err| Fault::Broken(err.to_string()))?.into();
    Ok(Answer { status, media, body })
}
