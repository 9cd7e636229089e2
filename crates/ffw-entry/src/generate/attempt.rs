//! One attempt of a model call: a place, a prefill, a transfer, a token stream. Whatever way it
//! ends, both engines are left without memory for it and the place is given back.

use {
    super::{
        Work,
        deliver::{Delivered, Taken},
    },
    ffw_backend::engine::{self, Completion, Handoff, Step},
    ffw_control::{
        admission::{self, Decision, Reservation},
        owner,
    },
    ffw_http::{fault::Fault, server::Caller},
    ffw_protocol::{
        admission::{Ask, Attempt, Cause, Phase, Refusal},
        error::{Error, Kind, Run},
        ledger::Event,
    },
    ffw_runtime::{
        executor,
        timer::{self, Activity},
    },
    log::debug,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause before a decode server without a free slot is asked again.
const IMPORT_PAUSE: Duration = Duration::from_millis(10);

/// Time that a step may take beyond what was predicted for it.
const STEP_MARGIN: Duration = Duration::from_secs(2);

/// Time without a token after which a stream is taken for dead, in multiples of the pool's own time
/// between tokens, and at least.
const STALL_FACTOR: u32 = 20;
const STALL_MIN: Duration = Duration::from_millis(1_500);

/// Why an attempt has not answered.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The request ends with this error.
    Final(Error),
    /// Another attempt may answer.
    Retryable(Error),
}

/// How far the engine work of an attempt has come.
#[derive(Debug, Default)]
struct Progress {
    reservation: Option<Reservation>,
    prefill_begun: bool,
    prefilled: Option<Handoff>,
    decoding: bool,
}

/// Runs one attempt.
///
/// # Errors
/// Why it has not answered, and whether another attempt may.
pub async fn run(
    work: &Work,
    delivered: &mut Delivered,
    caller: &Caller,
    number: u32,
) -> Result<(), Failure> {
    let attempt = Attempt { request: work.account.request.clone(), number };
    let before = delivered.count();
    let mut progress = Progress::default();
    let running = run_steps(work, delivered, &attempt, &mut progress);
    let leaving = async {
        caller.gone().await;
        let error = Error::new(Kind::CallerGone, "the caller closed the connection");
        Err(Failure::Final(error))
    };
    let result = smol::future::or(running, leaving).await;
    let emitted = delivered.count() - before;
    settle(work, &attempt, progress, emitted, result.is_ok());
    result
}

async fn run_steps(
    work: &Work,
    delivered: &mut Delivered,
    attempt: &Attempt,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let resume_from = delivered.count();
    let began = Instant::now();
    let reservation = admit(work, attempt, resume_from).await?;
    // The owner has noted the grant; a second daemon holds it too if the owner is another one.
    if reservation.grant.owner != work.account.daemon.identity.instance {
        work.account.note(attempt.number, Event::Granted(reservation.grant.clone()));
    }
    let mut completion = completion(work, attempt, resume_from);
    let reservation = &*progress.reservation.insert(reservation);
    timer::sleep(reservation.grant.start_in).await;
    progress.prefill_begun = true;
    let admitted = began.elapsed();
    let handoff = prefill(reservation, &completion).await?;
    let expires = Instant::now() + Duration::from_millis(handoff.expires_ms);
    progress.prefilled = Some(handoff.clone());
    completion.kv_transfer_params = Some(handoff);
    reservation.record_phase(Phase::Transfer);
    let prefilled = began.elapsed();
    transfer(reservation, &completion, expires).await?;
    let transferred = began.elapsed();
    debug!(
        "event=attempt_steps attempt={} admit_us={} prefill_us={} transfer_us={}",
        completion.request_id,
        admitted.as_micros(),
        (prefilled - admitted).as_micros(),
        (transferred - prefilled).as_micros()
    );
    progress.decoding = true;
    reservation.record_phase(Phase::Decode);
    decode(work, reservation, &completion, delivered).await
}

async fn admit(work: &Work, attempt: &Attempt, resume_from: u32) -> Result<Reservation, Failure> {
    let account = &work.account;
    let ask = Ask {
        attempt: attempt.clone(),
        workspace: account.workspace.clone(),
        weight: work.weight,
        service: account.service.name.clone(),
        rank: work.rank,
        tokens_in: work.tokens_in + resume_from,
        tokens_out: work.tokens_out - resume_from,
        is_read: false,
        output_hint: None,
        waited: ffw_control::identity::now().since(account.arrived),
        target: work.target(),
        patience: work.patience(resume_from > 0),
        prefix: work.prefix.clone(),
    };
    match admission::reserve(&account.daemon, &work.pool, ask).await {
        Ok(Decision::Reservation(reservation)) => Ok(reservation),
        Ok(Decision::Refusal(refusal)) => {
            account.note(attempt.number, Event::Refused(refusal.clone()));
            Err(Failure::Final(refusal_error(work, &refusal)))
        }
        Err(error) => Err(Failure::Final(error)),
    }
}

fn refusal_error(work: &Work, refusal: &Refusal) -> Error {
    let service = &work.account.service.name;
    let (kind, message) = match refusal.cause {
        Cause::NoBackend => (Kind::NoBackend, format!("pool {} has no live engines", work.pool)),
        Cause::TooLarge => {
            (Kind::TooLarge, "prompt and answer need more memory than an engine has".to_owned())
        }
        _ => {
            let message = format!(
                "service {service}: the first token is predicted in {} ms, and {} ms are left",
                refusal.basis.predicted_ms, refusal.basis.patience_ms
            );
            (Kind::Overloaded, message)
        }
    };
    let error = Error::new(kind, message).run(Run::Not);
    if kind.row().retry { error.retry_after(refusal.retry_after) } else { error }
}

fn completion(work: &Work, attempt: &Attempt, resume_from: u32) -> Completion {
    Completion {
        request_id: engine::attempt_name(attempt),
        model: work.call.model.clone(),
        prompt: work.call.prompt.clone(),
        prompt_tokens: work.tokens_in + resume_from,
        max_tokens: work.tokens_out,
        priority: work.rank,
        resume_from,
        cache_salt: work.account.workspace.clone(),
        kv_transfer_params: None,
    }
}

async fn prefill(reservation: &Reservation, completion: &Completion) -> Result<Handoff, Failure> {
    let server = &reservation.grant.prefill;
    let predicted = Duration::from_millis(reservation.grant.basis.predicted_ms);
    let limit = predicted * 3 + STEP_MARGIN;
    engine::prefill(server.address, completion, limit)
        .await
        .map_err(|fault| Failure::Retryable(fault.to_error(&server.name)))
}

/// Moves the prefill result to the decode server, which may have to wait for its slot.
async fn transfer(
    reservation: &Reservation,
    completion: &Completion,
    expires: Instant,
) -> Result<(), Failure> {
    let server = &reservation.grant.decode;
    loop {
        let result = engine::import(server.address, completion, STEP_MARGIN * 2).await;
        let fault = match result {
            Ok(()) => return Ok(()),
            Err(fault) => fault,
        };
        let has_no_slot = matches!(fault, Fault::Refused { status: 429, .. });
        if !has_no_slot || Instant::now() >= expires {
            return Err(Failure::Retryable(fault.to_error(&server.name)));
        }
        timer::sleep(IMPORT_PAUSE).await;
    }
}

async fn decode(
    work: &Work,
    reservation: &Reservation,
    completion: &Completion,
    delivered: &mut Delivered,
) -> Result<(), Failure> {
    let server = &reservation.grant.decode;
    let failed = |fault: Fault| Failure::Retryable(fault.to_error(&server.name));
    let stall = (work.token_time * STALL_FACTOR).max(STALL_MIN);
    let mut stream =
        engine::decode(server.address, completion, stall + STEP_MARGIN).await.map_err(failed)?;
    let activity = Activity::default();
    let taking = take_all(reservation, completion, delivered, &mut stream, &activity);
    match timer::watch(stall, &activity, taking).await {
        None => Err(failed(Fault::Timeout(stall))),
        Some(Err(Ended::Engine(fault))) => Err(failed(fault)),
        Some(Err(Ended::Delivery(error))) if error.kind == Kind::CallerGone => {
            Err(Failure::Final(error))
        }
        Some(Err(Ended::Delivery(error))) => Err(Failure::Retryable(error)),
        Some(Ok(())) => Ok(()),
    }
}

/// Why a token stream ended before the last token.
enum Ended {
    Engine(Fault),
    Delivery(Error),
}

async fn take_all(
    reservation: &Reservation,
    completion: &Completion,
    delivered: &mut Delivered,
    stream: &mut engine::Stream,
    activity: &Activity,
) -> Result<(), Ended> {
    loop {
        let token = match stream.next().await.map_err(Ended::Engine)? {
            Step::Token(token) => token,
            Step::Done => {
                return Err(Ended::Engine(Fault::Broken("the stream ended early".into())));
            }
        };
        activity.note();
        match delivered.take(&completion.request_id, &token).await.map_err(Ended::Delivery)? {
            Taken::Last => return Ok(()),
            Taken::New => reservation.record_emitted(delivered.count() - completion.resume_from),
            Taken::Dropped => {}
        }
    }
}

/// Gives the place back, after cancelling what the engines may still hold.
fn settle(work: &Work, attempt: &Attempt, progress: Progress, emitted: u32, is_whole: bool) {
    let tokens = work.tokens_in;
    let label = [&*work.account.service.name];
    if progress.decoding {
        let used = &work.account.daemon.metrics.used_prefill;
        used.with_label_values(&label).inc_by(u64::from(tokens));
    } else if progress.prefill_begun {
        work.account.wasted(attempt.number, tokens);
    }
    let Some(reservation) = progress.reservation else { return };
    if is_whole || !progress.prefill_begun {
        reservation.release(emitted, true, None);
        return;
    }
    executor::detach(cancel(work.account.daemon.clone(), attempt.clone(), reservation, emitted));
}

/// Cancels at both engines until each has confirmed; the place stays held until then.
async fn cancel(
    daemon: Arc<ffw_control::daemon::Daemon>,
    attempt: Attempt,
    reservation: Reservation,
    emitted: u32,
) {
    let grant = reservation.grant.clone();
    smol::future::zip(
        owner::cancel_at(&daemon, &attempt, &grant.prefill),
        owner::cancel_at(&daemon, &attempt, &grant.decode),
    )
    .await;
    reservation.release(emitted, true, None);
}
