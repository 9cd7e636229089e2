//! Model calls: admission, prefill, transfer and decode, in as many attempts as it takes, and one
//! answer.

pub mod attempt;
pub mod deliver;

use {
    crate::{
        entry::{Entry, Open},
        exchange::{Exchange, Route},
        filter::limit::Permit,
        openai::{Call, Header, Shape, Usage},
        record::Account,
    },
    attempt::Failure,
    deliver::Delivered,
    ffw_control::identity,
    ffw_http::server::Caller,
    ffw_protocol::{
        error::{Error, Kind, Result, Run},
        ledger::Event,
        prefix,
    },
    ffw_runtime::executor,
    http_types::Response,
    log::{info, warn},
    smol::channel,
    std::{sync::Arc, time::Duration},
};

/// Most attempts of one request.
const ATTEMPTS_MAX: u32 = 4;

/// Time that a stream that lost its engine may wait for another.
const RESUME_PATIENCE: Duration = Duration::from_secs(5);

/// A model call with all that its attempts need.
#[derive(Debug)]
pub struct Work {
    /// The entry.
    pub entry: Arc<Entry>,
    /// What is kept of it.
    pub account: Account,
    /// The call.
    pub call: Call,
    /// Pool of the service.
    pub pool: Arc<str>,
    /// Rank of the service's class.
    pub rank: u8,
    /// Weight of the workspace.
    pub weight: u32,
    /// Prompt length in tokens.
    pub tokens_in: u32,
    /// Most output tokens.
    pub tokens_out: u32,
    /// Hashes of the prompt's leading pieces.
    pub prefix: Vec<u64>,
    /// Time of the pool between two tokens.
    pub token_time: Duration,
    _permit: Option<Permit>,
    _open: Open,
}

impl Work {
    fn new(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<Work> {
        let account = Account::new(&entry.daemon, exchange)?;
        let permit = exchange.permit.take();
        let call = exchange.call.clone();
        let call = call.ok_or_else(|| Error::new(Kind::Internal, "no model call"))?;
        let deployment = &exchange.snapshot()?.deployment;
        let service = &account.service;
        let pool = deployment.pool(&service.pool).ok_or_else(|| {
            Error::new(Kind::NoBackend, format!("pool `{}` is not declared", service.pool))
        })?;
        let model = pool.model.as_ref().and_then(|name| deployment.model(name));
        let bytes_per_token = model.map_or(4, |model| model.bytes_per_token).max(1);
        let piece_bytes = (pool.piece_tokens * bytes_per_token) as usize;
        Ok(Work {
            entry: entry.clone(),
            pool: pool.name.clone(),
            rank: deployment.rank(service),
            weight: exchange.workspace()?.weight,
            tokens_in: (call.prompt.len() as u32).div_ceil(bytes_per_token),
            tokens_out: call.max_tokens.unwrap_or(service.max_output),
            prefix: prefix::hashes(&account.workspace, &call.prompt, piece_bytes),
            token_time: Duration::from_millis(u64::from(pool.token_ms)),
            call,
            account,
            _permit: permit,
            _open: Open::new(&entry.daemon),
        })
    }

    /// Time left until the first token misses its target.
    pub fn target(&self) -> Duration {
        let passed = identity::now().since(self.account.arrived);
        Duration::from_millis(self.account.service.first_token_ms).saturating_sub(passed)
    }

    /// Time left until the first token is of no use; a started stream gets a short time of its own.
    pub fn patience(&self, has_started: bool) -> Duration {
        let passed = identity::now().since(self.account.arrived);
        let left = self.account.service.deadline().saturating_sub(passed);
        if has_started { left.max(RESUME_PATIENCE) } else { left }
    }
}

/// Serves a model call; the answer is given when its first token, or its error, is known.
///
/// # Errors
/// As admission and the engines give them, before the first token.
pub async fn serve(
    entry: &Arc<Entry>,
    exchange: &mut Exchange,
    caller: Caller,
) -> Result<Response> {
    let work = Work::new(entry, exchange)?;
    let shape = if exchange.route == Route::Chat { Shape::Chat } else { Shape::Completion };
    let header = Header {
        id: exchange.id.to_string().into(),
        model: work.call.model.clone(),
        created: identity::unix_ms() / 1_000,
        shape,
    };
    let (sender, receiver) = channel::bounded(1);
    let delivered = Delivered::new(header, work.call.stream, sender);
    exchange.is_accounted = true;
    // The task outlives this future: whatever happens to the connection, it ends what it started.
    executor::detach(drive(work, delivered, caller));
    receiver
        .recv()
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::CallerGone, "the caller closed the connection")))
}

async fn drive(work: Work, mut delivered: Delivered, caller: Caller) {
    let event = Event::Arrived { tokens_in: work.tokens_in, tokens_out: work.tokens_out };
    work.account.note(0, event);
    let mut number = 0;
    let result = run_attempts(&work, &mut delivered, &caller, &mut number).await;
    let id = &work.account.request;
    match result {
        Ok(()) => {
            work.account.answered(number, &delivered.delivery());
            let usage = Usage {
                prompt_tokens: work.tokens_in,
                completion_tokens: delivered.count(),
                total_tokens: work.tokens_in + delivered.count(),
            };
            delivered.finish(usage).await;
            info!(
                "event=request_answered request={id} service={} tokens={} attempts={number}",
                work.account.service.name, usage.completion_tokens
            );
        }
        Err(error) => {
            info!(
                "event=request_failed request={id} service={} code={} run=\"{}\" message=\"{}\"",
                work.account.service.name,
                error.kind.row().code,
                error.run.word(),
                error.message
            );
            work.account.failed(number, &delivered.delivery(), &error);
            delivered.fail(error).await;
        }
    }
}

async fn run_attempts(
    work: &Work,
    delivered: &mut Delivered,
    caller: &Caller,
    number: &mut u32,
) -> Result<()> {
    work.entry.retries().count_call();
    loop {
        *number += 1;
        let failure = match attempt::run(work, delivered, caller, *number).await {
            Ok(()) => return Ok(()),
            Err(failure) => failure,
        };
        let error = match failure {
            Failure::Final(error) => return Err(with_run(error, *number)),
            Failure::Retryable(error) => error,
        };
        let may_retry = *number < ATTEMPTS_MAX
            && !work.patience(delivered.count() > 0).is_zero()
            && work.entry.retries().take();
        if !may_retry {
            return Err(error.run(Run::Unknown));
        }
        warn!(
            "event=attempt_failed request={} attempt={number} error=\"{error}\"",
            work.account.request
        );
        let label = [&*work.account.service.name];
        work.account.daemon.metrics.retries.with_label_values(&label).inc();
    }
}

/// *Not run* holds only if no earlier attempt reached an engine.
fn with_run(error: Error, attempts: u32) -> Error {
    if attempts > 1 && error.run == Run::Not { error.run(Run::Unknown) } else { error }
}
