//! One HTTP/1.1 call over one connection.
//!
//! Connections are not reused. For a call that may run at most once, the sender must know whether
//! the first byte was written to an open connection; a kept-alive connection that the server has
//! closed in the meantime does not show that.

use {
    crate::fault::Fault,
    ffw_runtime::{
        meter::{Metered, Wire},
        timer,
    },
    futures_lite::AsyncReadExt as _,
    http_types::{Method, Request, Response, StatusCode, Url},
    serde::{Serialize, de::DeserializeOwned},
    smol::net::TcpStream,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a response body that [`read_body`] reads.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Server to connect to.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: Arc<str>,
    /// Header fields besides those of the connection.
    pub headers: Vec<Header>,
    /// Body; empty for none.
    pub body: Arc<[u8]>,
    /// Time limit for the head of the response, counted from the first byte sent. [`fetch`] applies
    /// it a second time to the body.
    pub time_limit: Duration,
    /// Purpose of the connection, by which its bytes are counted.
    pub wire: Wire,
}

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, in lower case.
    pub name: Arc<str>,
    /// Value.
    pub value: Arc<str>,
}

impl Call {
    /// A call without header fields or body, with a limit of 5 seconds.
    pub fn new(address: SocketAddr, method: Method, path: impl Into<Arc<str>>) -> Call {
        let limit = Duration::from_secs(5);
        let (headers, body, wire) = (Vec::new(), Arc::from([]), Wire::default());
        Call { address, method, path: path.into(), headers, body, time_limit: limit, wire }
    }

    /// The call with a JSON body.
    pub fn json<T: Serialize>(mut self, value: &T) -> Call {
        self.body = serde_json::to_vec(value).unwrap_or_default().into();
        self.headers.push(Header { name: "content-type".into(), value: "application/json".into() });
        self
    }

    /// The call with another purpose of its connection.
    pub fn wire(mut self, wire: Wire) -> Call {
        self.wire = wire;
        self
    }

    /// The call with another time limit.
    pub fn limit(mut self, limit: Duration) -> Call {
        self.time_limit = limit;
        self
    }
}

/// Sends a call and waits for the head of the response. The body is left to [`read_body`].
///
/// # Errors
/// A fault that shows whether bytes of the request may have been sent. A response that may have a
/// body must state its end by a length or by chunks.
pub async fn send(call: &Call) -> Result<Response, Fault> {
    let request = build_request(call)?;
    let connecting = timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(call.address));
    let stream = match connecting.await {
        Some(Ok(stream)) => stream,
        Some(Err(err)) => return Err(Fault::Unreached(err.to_string())),
        None => return Err(Fault::Unreached("connecting timed out".into())),
    };
    stream.set_nodelay(true).ok();
    let stream = Metered::new(stream, call.wire);
    match timer::timeout(call.time_limit, async_h1::connect(stream, request)).await {
        // The library takes an interim response for the final one, and doesn't read on.
        Some(Ok(response)) if response.status().is_informational() => {
            Err(Fault::Broken(format!("an interim response {}", response.status())))
        }
        // The library takes a body that ends with its connection for an empty one.
        Some(Ok(response)) if !states_end(&response, call.method) => {
            Err(Fault::Broken("the response states no end of its body".into()))
        }
        Some(Ok(response)) => Ok(response),
        Some(Err(err)) => Err(Fault::Broken(err.to_string())),
        None => Err(Fault::Timeout(call.time_limit)),
    }
}

/// Whether a response has no body, or states where its body ends.
fn states_end(response: &Response, method: Method) -> bool {
    let has_no_body = method == Method::Head
        || matches!(response.status(), StatusCode::NoContent | StatusCode::NotModified);
    let is_chunked = response
        .header("transfer-encoding")
        .is_some_and(|codings| codings.last().as_str() == "chunked");
    has_no_body || is_chunked || response.header("content-length").is_some()
}

fn build_request(call: &Call) -> Result<Request, Fault> {
    let text = format!("http://{}{}", call.address, call.path);
    let url = Url::parse(&text).map_err(|err| Fault::Unreached(format!("invalid path: {err}")))?;
    let mut request = Request::new(call.method, url);
    for header in &call.headers {
        request.insert_header(&*header.name, &*header.value);
    }
    request.insert_header("connection", "close");
    if !call.body.is_empty() {
        let mime = request.content_type();
        request.set_body(call.body.to_vec());
        if let Some(mime) = mime {
            request.set_content_type(mime);
        }
    }
    Ok(request)
}

/// Reads the whole body of a response.
///
/// # Errors
/// The body ended before its declared length, is too large, or did not arrive within `limit`.
pub async fn read_body(response: &mut Response, limit: Duration) -> Result<Vec<u8>, Fault> {
    let declared = response.len();
    let mut bytes = Vec::new();
    let reading = async {
        let mut body = response.take_body().take(MAX_BODY_BYTES + 1);
        body.read_to_end(&mut bytes).await
    };
    match timer::timeout(limit, reading).await {
        None => return Err(Fault::Timeout(limit)),
        Some(Err(err)) => return Err(Fault::Broken(err.to_string())),
        Some(Ok(_)) => {}
    }
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(Fault::Broken(format!("the response is larger than {MAX_BODY_BYTES} bytes")));
    }
    if declared.is_some_and(|length| length != bytes.len()) {
        return Err(Fault::Broken("the response ended before its declared length".into()));
    }
    Ok(bytes)
}

/// Sends a call and parses the JSON body of the response.
///
/// # Errors
/// [`Fault::Refused`] for any status above 299, [`Fault::Broken`] for invalid JSON; otherwise as
/// [`send`] and [`read_body`].
pub async fn fetch<T: DeserializeOwned>(call: &Call) -> Result<T, Fault> {
    let mut response = send(call).await?;
    let status: u16 = response.status().into();
    let bytes = read_body(&mut response, call.time_limit).await?;
    if status > 299 {
        let message = String::from_utf8_lossy(&bytes).into_owned();
        return Err(Fault::Refused { status, message });
    }
    serde_json::from_slice(&bytes).map_err(|err| Fault::Broken(err.to_string()))
}
