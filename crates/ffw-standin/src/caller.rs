//! A client that sends requests to a daemon and reports the response, for tests and experiments.

use {
    ffw_http::{
        client::{self, Call, Header},
        fault::Fault,
    },
    futures_lite::{AsyncBufReadExt as _, AsyncReadExt as _, io::BufReader},
    http_types::{Method, Response},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// A completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// API key, sent as bearer token.
    pub key: Arc<str>,
    /// Service that the request is for, sent as `fireflyworks-service` header.
    pub service: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Whether the response is streamed token by token.
    pub stream: bool,
    /// Time after which the caller closes the connection; `None` to wait for the response.
    pub leave_after: Option<Duration>,
}

/// The response to a request, as far as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if no response head was received.
    pub status: u16,
    /// Request id from the response head; empty if there is none.
    pub request: Arc<str>,
    /// Whether the request was run, as the `fireflyworks-run` header or the error event of a stream
    /// states it; empty if neither does.
    pub run: Arc<str>,
    /// Text of the response, or the error message.
    pub text: String,
    /// Whether the response was received completely: a stream up to `[DONE]`, any other response up
    /// to its declared length.
    pub is_whole: bool,
    /// Number of output tokens.
    pub tokens: u32,
    /// Time from sending the request to the first token, or to the end of a completion that is not
    /// streamed; `None` if there was none.
    pub first: Option<Duration>,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
    /// Time after which the caller may retry, from the `retry-after-ms` header.
    pub retry_after: Option<Duration>,
}

impl Completion {
    fn call(&self) -> Call {
        let body = json!({
            "model": self.model, "prompt": self.prompt,
            "max_tokens": self.max_tokens, "stream": self.stream,
        });
        let mut call = Call::new(self.address, Method::Post, "/v1/completions").json(&body);
        call.headers.push(header("authorization", &format!("Bearer {}", self.key)));
        call.headers.push(header("fireflyworks-service", &self.service));
        call.limit(Duration::from_secs(120))
    }

    /// Sends the request and reads the response to its end, or until `leave_after` has passed.
    /// A transport error is reported in [`Answer::text`].
    pub async fn send(&self) -> Answer {
        let began_at = Instant::now();
        let mut answer = Answer::default();
        let receiving = receive(self, &mut answer, began_at);
        match self.leave_after {
            None => receiving.await,
            Some(limit) => drop(ffw_runtime::timer::timeout(limit, receiving).await),
        }
        answer.total = began_at.elapsed();
        answer
    }
}

async fn receive(completion: &Completion, answer: &mut Answer, began_at: Instant) {
    let mut response = match client::send(&completion.call()).await {
        Ok(response) => response,
        Err(fault) => {
            answer.text = fault.to_string();
            return;
        }
    };
    read_head(&response, answer);
    if completion.stream && answer.status == 200 {
        receive_stream(response, answer, began_at).await;
        return;
    }
    let declared_length = response.len();
    let mut bytes = Vec::new();
    let read = response.take_body().read_to_end(&mut bytes).await;
    answer.is_whole = read.is_ok() && declared_length.is_none_or(|length| length == bytes.len());
    let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    if answer.status == 200 {
        answer.text = value["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        answer.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0) as u32;
        answer.first = Some(began_at.elapsed());
    } else {
        answer.text = value["error"]["message"].as_str().unwrap_or_default().to_owned();
    }
}

fn read_head(response: &Response, answer: &mut Answer) {
    let header = |name: &str| response.header(name).map_or("", |values| values.last().as_str());
    answer.status = response.status().into();
    answer.request = header("fireflyworks-request").into();
    answer.run = header("fireflyworks-run").into();
    let millis = header("retry-after-ms").parse().ok();
    answer.retry_after = millis.map(Duration::from_millis);
}

async fn receive_stream(mut response: Response, answer: &mut Answer, began_at: Instant) {
    let mut lines = BufReader::new(response.take_body()).lines();
    while let Some(Ok(line)) = futures_lite::StreamExt::next(&mut lines).await {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            answer.is_whole = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(run) = value["error"]["run"].as_str() {
            answer.run = run.into();
            return;
        }
        answer.first.get_or_insert(began_at.elapsed());
        answer.tokens += 1;
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
}

/// Makes a request header.
pub fn header(name: &str, value: &str) -> Header {
    Header { name: name.into(), value: value.into() }
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// API key, sent as bearer token.
    pub key: Arc<str>,
    /// Path, such as `/services/booking/confirm`.
    pub path: Arc<str>,
    /// Value of the `idempotency-key` header; `None` to send none.
    pub idempotency_key: Option<Arc<str>>,
    /// Request body.
    pub body: Arc<str>,
}

impl Plain {
    /// Sends the request and reads the response. A transport error is reported in
    /// [`Answer::text`].
    pub async fn send(&self) -> Answer {
        let began_at = Instant::now();
        let mut call = Call::new(self.address, Method::Post, self.path.clone());
        call.body = self.body.as_bytes().into();
        call.headers.push(header("authorization", &format!("Bearer {}", self.key)));
        if let Some(key) = &self.idempotency_key {
            call.headers.push(header("idempotency-key", key));
        }
        let mut answer = Answer::default();
        match receive_plain(&call.limit(Duration::from_secs(30)), &mut answer).await {
            Ok(text) => {
                answer.text = text;
                answer.is_whole = true;
            }
            Err(fault) => answer.text = fault.to_string(),
        }
        answer.total = began_at.elapsed();
        answer
    }
}

async fn receive_plain(call: &Call, answer: &mut Answer) -> Result<String, Fault> {
    let mut response = client::send(call).await?;
    read_head(&response, answer);
    let bytes = client::read_body(&mut response, call.time_limit).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
