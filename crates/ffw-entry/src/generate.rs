//! Serves model calls. Each attempt passes admission, prefill, KV cache transfer and decode; a
//! failed attempt is followed by another one within the attempt limit, the deadline and the retry
//! budget. A later attempt resumes after the last delivered token, so the caller gets one
//! continuous response.

pub mod attempt;
pub mod deliver;

use {
    crate::{
        entry::{Entry, OpenRequest},
        exchange::{Exchange, Route},
        filter::limit::Permit,
        openai::{Call, ResponseFormat, ResponseMetadata, Usage},
        record::Recorder,
    },
    attempt::Failure,
    deliver::ResponseWriter,
    ffw_control::identity,
    ffw_decide::attempts::Attempts,
    ffw_http::server::CallerConnection,
    ffw_protocol::{
        digest,
        error::{Error, Kind, Result, Run},
        ledger::Event,
        prefix,
        quarantine::Prompt,
    },
    ffw_runtime::executor,
    http_types::Response,
    log::{info, warn},
    smol::channel,
    std::{sync::Arc, time::Duration},
};

/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 4;

/// Minimum time for finding another engine if an engine fails after the response has tokens. It
/// applies even if less time is left until the deadline, or none.
const RESUME_TIME_MIN: Duration = Duration::from_secs(5);

/// A model call, with the data needed by its attempts.
#[derive(Debug)]
pub struct Generation {
    /// Entry that serves the call.
    pub entry: Arc<Entry>,
    /// Records the events and the outcome of the request.
    pub recorder: Recorder,
    /// The call as parsed.
    pub call: Call,
    /// Name of the service's pool.
    pub pool: Arc<str>,
    /// Rank of the service's priority class; `u8::MAX` if it has none.
    pub rank: u8,
    /// Fair share weight of the workspace.
    pub weight: u32,
    /// Prompt length in tokens, estimated from its bytes and the model's bytes per token.
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    pub max_tokens_out: u32,
    /// Hashes of the prefixes of the prompt that consist of whole memory pieces, shortest prefix
    /// first, to find cached prefixes. Salted with the workspace, so that workspaces share no
    /// cache.
    pub prefix_hashes: Vec<u64>,
    /// The prompt by its prefixes, to find prefixes under which engines crash.
    pub prompt: Prompt,
    /// Time between two tokens as declared for the pool.
    pub token_time: Duration,
    _permit: Option<Permit>,
    _open_request: OpenRequest,
}

impl Generation {
    fn new(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<Generation> {
        let recorder = Recorder::new(&entry.daemon, exchange)?;
        let permit = exchange.permit.take();
        let call = exchange.call.clone();
        let call = call.ok_or_else(|| Error::new(Kind::Internal, "no model call"))?;
        let deployment = &exchange.snapshot()?.deployment;
        let service = &recorder.service;
        let pool = deployment.pool(&service.pool).ok_or_else(|| {
            Error::new(Kind::NoBackend, format!("pool `{}` is not declared", service.pool))
        })?;
        let model = pool.model.as_ref().and_then(|name| deployment.model(name));
        let bytes_per_token = model.map_or(4, |model| model.bytes_per_token).max(1);
        let piece_bytes = (pool.piece_tokens * bytes_per_token) as usize;
        let prefix_hashes = prefix::hashes(&recorder.workspace, &call.prompt, piece_bytes);
        let own = digest::hash64(&[&call.prompt]);
        let prompt = Prompt { own, shared: prefix_hashes.clone() };
        Ok(Generation {
            entry: entry.clone(),
            pool: pool.name.clone(),
            rank: deployment.rank(service),
            weight: exchange.workspace()?.weight,
            tokens_in: (call.prompt.len() as u32).div_ceil(bytes_per_token),
            max_tokens_out: call.max_tokens.unwrap_or(service.max_output),
            prefix_hashes,
            prompt,
            token_time: Duration::from_millis(u64::from(pool.token_ms)),
            call,
            recorder,
            _permit: permit,
            _open_request: OpenRequest::new(&entry.daemon),
        })
    }

    /// Time left until the first token misses its target; zero if it has.
    pub fn time_to_target(&self) -> Duration {
        let elapsed = identity::now().since(self.recorder.arrived);
        Duration::from_millis(self.recorder.service.first_token_ms).saturating_sub(elapsed)
    }

    /// Time left until the first token deadline; zero if it has passed. A response that has tokens
    /// already gets at least `RESUME_TIME_MIN` to find another engine.
    pub fn time_to_deadline(&self, has_tokens: bool) -> Duration {
        let elapsed = identity::now().since(self.recorder.arrived);
        let left = self.recorder.service.deadline().saturating_sub(elapsed);
        if has_tokens { left.max(RESUME_TIME_MIN) } else { left }
    }
}

/// Serves a model call. A streamed response starts with its first token; any other is returned when
/// complete.
///
/// # Errors
/// The final error of admission or the engines, if no part of the response was sent before.
pub async fn serve(
    entry: &Arc<Entry>,
    exchange: &mut Exchange,
    caller: CallerConnection,
) -> Result<Response> {
    let generation = Generation::new(entry, exchange)?;
    let format = if exchange.route == Route::Chat {
        ResponseFormat::Chat
    } else {
        ResponseFormat::Completion
    };
    let metadata = ResponseMetadata {
        id: exchange.id.to_string().into(),
        model: generation.call.model.clone(),
        created: identity::unix_ms() / 1_000,
        format,
    };
    let (sender, receiver) = channel::bounded(1);
    let response = ResponseWriter::new(metadata, generation.call.stream, sender);
    exchange.records_errors = true;
    // The task continues if this future is dropped with the connection: it cancels the work at the
    // engines and records the outcome.
    executor::detach(run_to_end(generation, response, caller));
    receiver
        .recv()
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::CallerGone, "the call ended without a result")))
}

async fn run_to_end(
    generation: Generation,
    mut response: ResponseWriter,
    caller: CallerConnection,
) {
    let event =
        Event::Arrived { tokens_in: generation.tokens_in, tokens_out: generation.max_tokens_out };
    generation.recorder.record_event(0, event);
    let mut number = 0;
    let result = run_attempts(&generation, &mut response, &caller, &mut number).await;
    let id = &generation.recorder.request_id;
    match result {
        Ok(()) => {
            generation.recorder.record_answered(number, &response.delivery());
            let usage = Usage {
                prompt_tokens: generation.tokens_in,
                completion_tokens: response.count(),
                total_tokens: generation.tokens_in + response.count(),
            };
            response.finish(usage).await;
            info!(
                "event=request_answered request={id} service={} tokens={} attempts={number}",
                generation.recorder.service.name, usage.completion_tokens
            );
        }
        Err(error) => {
            info!(
                "event=request_failed request={id} service={} code={} run=\"{}\" message=\"{}\"",
                generation.recorder.service.name,
                error.kind.row().code,
                error.run.word(),
                error.message
            );
            generation.recorder.record_failed(number, &response.delivery(), &error);
            response.fail(error).await;
        }
    }
}

async fn run_attempts(
    generation: &Generation,
    response: &mut ResponseWriter,
    caller: &CallerConnection,
    number: &mut u32,
) -> Result<()> {
    generation.entry.retry_budget().record_call();
    let attempts = Attempts::default();
    loop {
        *number += 1;
        attempts.begin();
        let failure = match attempt::run(generation, response, caller, *number).await {
            Ok(()) => return Ok(()),
            Err(failure) => failure,
        };
        let (Failure::Final(error) | Failure::Retryable(error)) = &failure;
        if error.run == Run::Not {
            attempts.prove_not_run();
        }
        let error = match failure {
            Failure::Final(error) => return Err(attempts.qualify(error)),
            Failure::Retryable(error) => error,
        };
        let may_retry = *number < ATTEMPTS_MAX
            && !generation.time_to_deadline(response.count() > 0).is_zero()
            && generation.entry.retry_budget().take();
        if !may_retry {
            return Err(attempts.qualify(error));
        }
        warn!(
            "event=attempt_failed request={} attempt={number} error=\"{error}\"",
            generation.recorder.request_id
        );
        let label = [&*generation.recorder.service.name];
        generation.recorder.daemon.metrics.retries.with_label_values(&label).inc();
    }
}
