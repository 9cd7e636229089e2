//! A caller: sends requests to a daemon and says what came back.

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

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Daemon.
    pub address: SocketAddr,
    /// Bearer key.
    pub key: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The caller leaves after this time.
    pub leave_after: Option<Duration>,
}

/// What came back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if no head came.
    pub status: u16,
    /// Request id from the head.
    pub request: Arc<str>,
    /// Run word from the head, or from the error event.
    pub run: Arc<str>,
    /// Text, or the error's message.
    pub text: String,
    /// Whether the answer came to its proper end.
    pub is_whole: bool,
    /// Output tokens.
    pub tokens: u32,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// When to come back.
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

    /// Sends it and reads the answer to its end.
    pub async fn send(&self) -> Answer {
        let began = Instant::now();
        let mut answer = Answer::default();
        let receiving = receive(self, &mut answer, began);
        match self.leave_after {
            None => receiving.await,
            Some(span) => drop(ffw_runtime::timer::timeout(span, receiving).await),
        }
        answer.total = began.elapsed();
        answer
    }
}

async fn receive(completion: &Completion, answer: &mut Answer, began: Instant) {
    let mut response = match client::send(&completion.call()).await {
        Ok(response) => response,
        Err(fault) => {
            answer.text = fault.to_string();
            return;
        }
    };
    read_head(&response, answer);
    if completion.stream && answer.status == 200 {
        receive_stream(response, answer, began).await;
        return;
    }
    let declared = response.len();
    let mut bytes = Vec::new();
    let read = response.take_body().read_to_end(&mut bytes).await;
    answer.is_whole = read.is_ok() && declared.is_none_or(|length| length == bytes.len());
    let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    if answer.status == 200 {
        answer.text = value["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        answer.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0) as u32;
        answer.first = Some(began.elapsed());
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

async fn receive_stream(mut response: Response, answer: &mut Answer, began: Instant) {
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
        answer.first.get_or_insert(began.elapsed());
        answer.tokens += 1;
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
}

/// A header line.
pub fn header(name: &str, value: &str) -> Header {
    Header { name: name.into(), value: value.into() }
}

/// A call of a plain service to make.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Daemon.
    pub address: SocketAddr,
    /// Bearer key.
    pub key: Arc<str>,
    /// Path, as `/services/booking/confirm`.
    pub path: Arc<str>,
    /// Idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Body.
    pub body: Arc<str>,
}

impl Plain {
    /// Sends it and reads the answer.
    pub async fn send(&self) -> Answer {
        let began = Instant::now();
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
        answer.total = began.elapsed();
        answer
    }
}

async fn receive_plain(call: &Call, answer: &mut Answer) -> Result<String, Fault> {
    let mut response = client::send(call).await?;
    read_head(&response, answer);
    let bytes = client::read_body(&mut response, call.time_limit).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
