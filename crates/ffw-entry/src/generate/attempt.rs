//! One attempt of a model call: reservation, prefill, KV cache transfer, token stream.
//!
//! However an attempt ends, neither engine keeps memory for it and its reservation is released. If
//! it ends early after its prefill has begun, the cancellation is repeated at both engines until
//! each has confirmed it or is no longer in the instance list; the reservation is held until then,
//! so that the owner does not grant memory that an engine still uses.

use {
    super::{
        Generation,
        deliver::{ResponseWriter, TokenOutcome},
    },
    ffw_backend::engine::{self, Completion, Handoff, Step},
    ffw_control::{
        admission::{self, Decision, Reservation},
        identity, owner,
        quarantine::{self, Ruling, Trial},
        software,
    },
    ffw_http::{connection, fault::Fault, server::CallerConnection},
    ffw_protocol::{
        admission::{Ask, Attempt, Cause, Failed, Failing, Phase, Refusal},
        error::{Error, Kind, Run},
        ledger::Event,
        quarantine::names,
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

/// Pause before the KV cache transfer is requested again from a decode server without a free slot.
const TRANSFER_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Fixed part of the time limits of the steps. It is added to three times the time predicted
/// to the first token, as the limit of a prefill, and to the stall limit for the start of a stream;
/// a request for a KV cache transfer may take twice this time.
const STEP_MARGIN: Duration = Duration::from_secs(2);

/// Time without a token after which a stream is treated as failed, in multiples of the time between
/// tokens declared for the pool.
const STALL_FACTOR: u32 = 20;

/// Lower bound of the time without a token after which a stream is treated as failed.
const STALL_MIN: Duration = Duration::from_millis(1_500);

/// The answer of a run has just begun up to this number of tokens.
const BEGINNING_TOKENS_MAX: u32 = 2;

/// Error of an attempt that did not complete the response.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The request ends with this error.
    Final(Error),
    /// Another attempt may complete the response.
    Retryable(Error),
}

/// Progress of an attempt at the engines, which determines the cleanup at its end.
#[derive(Debug, Default)]
struct Progress {
    reservation: Option<Reservation>,
    prefill_begun: bool,
    handoff: Option<Handoff>,
    /// The server that refused the KV cache transfer.
    failed: Option<Failed>,
    decode_begun: bool,
}

/// Runs one attempt; ends it if the caller disconnects.
///
/// # Errors
/// See [`Failure`].
pub async fn run(
    generation: &Generation,
    response: &mut ResponseWriter,
    caller: &CallerConnection,
    number: u32,
) -> Result<(), Failure> {
    let attempt = Attempt { request: generation.recorder.request_id.clone(), number };
    let delivered_before = response.count();
    let mut progress = Progress::default();
    let steps = run_steps(generation, response, &attempt, &mut progress);
    let disconnect = async {
        caller.closed().await;
        let error = Error::new(Kind::CallerGone, "the caller closed the connection");
        Err(Failure::Final(error))
    };
    let result = smol::future::or(steps, disconnect).await;
    let emitted = response.count() - delivered_before;
    clean_up(generation, &attempt, progress, emitted, result.is_ok());
    result
}

async fn run_steps(
    generation: &Generation,
    response: &mut ResponseWriter,
    attempt: &Attempt,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let resume_from = response.count();
    let started = Instant::now();
    let trial = admit_prompt(generation)?;
    let reservation = admit(generation, attempt, response).await?;
    // The owner has recorded the grant in its ledger. If the owner is another daemon, this daemon
    // records it too, so that two daemons hold the record.
    if reservation.grant.owner != generation.recorder.daemon.identity.instance {
        generation.recorder.record_event(attempt.number, Event::Granted(reservation.grant.clone()));
    }
    let mut completion = engine_request(generation, attempt, resume_from);
    let reservation = &*progress.reservation.insert(reservation);
    let version = check_version(generation, reservation, response)?;
    timer::sleep(reservation.grant.start_in).await;
    match &trial {
        None => check_not_held(generation)?,
        Some(trial) => trial.record_sent(),
    }
    progress.prefill_begun = true;
    let admitted = started.elapsed();
    let handoff = prefill(reservation, &completion).await?;
    let expires = Instant::now() + Duration::from_millis(handoff.expires_ms);
    progress.handoff = Some(handoff.clone());
    completion.kv_transfer_params = Some(handoff);
    reservation.record_phase(Phase::Transfer);
    let prefilled = started.elapsed();
    let decode_server = &reservation.grant.decode.name;
    let transfer_result = transfer(reservation, &completion, expires).await;
    if matches!(transfer_result, Err(Fault::Refused { .. })) {
        progress.failed = Some(Failed { server: decode_server.clone(), how: Failing::Refused });
    }
    transfer_result.map_err(|fault| Failure::Retryable(fault.to_error(decode_server)))?;
    let transferred = started.elapsed();
    debug!(
        "event=attempt_steps attempt={} admit_us={} prefill_us={} transfer_us={}",
        completion.request_id,
        admitted.as_micros(),
        (prefilled - admitted).as_micros(),
        (transferred - prefilled).as_micros()
    );
    progress.decode_begun = true;
    reservation.record_phase(Phase::Decode);
    let decoded = decode(generation, reservation, &completion, response).await;
    if response.count() > resume_from {
        response.record_origin(version.as_ref());
    }
    let run_progress = match response.count() - resume_from {
        0 => quarantine::Progress::Unanswered,
        1..=BEGINNING_TOKENS_MAX => quarantine::Progress::Begun,
        _ => quarantine::Progress::Midway,
    };
    record_end(generation, reservation, &decoded, run_progress, trial.as_ref());
    decoded
}

/// Refuses a call whose prompt begins with a prefix under which engines crash, unless it is tried.
fn admit_prompt(generation: &Generation) -> Result<Option<Trial>, Failure> {
    let daemon = &generation.recorder.daemon;
    match quarantine::rule(daemon, &generation.pool, &generation.prompt) {
        Ruling::Pass => Ok(None),
        Ruling::Try(trial) => Ok(Some(trial)),
        Ruling::Refuse(refusal) => Err(refusal_failure(&refusal)),
    }
}

/// Checks once more, as the prefix may be held since the call was admitted.
fn check_not_held(generation: &Generation) -> Result<(), Failure> {
    let quarantines = &generation.recorder.daemon.quarantines;
    let refusal = quarantines.refusal(&generation.pool, &generation.prompt);
    refusal.map_or(Ok(()), |refusal| Err(refusal_failure(&refusal)))
}

fn refusal_failure(refusal: &quarantine::Refusal) -> Failure {
    let message = format!("engines crash under prefix {}", names(&refusal.parts));
    let error = Error::new(Kind::Quarantined, message).run(Run::Not);
    Failure::Final(error.retry_after(refusal.left))
}

/// Records the end of a run for the quarantine. A failed run counts only if its engine accepts no
/// connections either, and was not leaving.
fn record_end(
    generation: &Generation,
    reservation: &Reservation,
    decoded: &Result<(), Failure>,
    run_progress: quarantine::Progress,
    trial: Option<&Trial>,
) {
    let daemon = generation.recorder.daemon.clone();
    let (pool, prompt) = (generation.pool.clone(), generation.prompt.clone());
    match decoded {
        Ok(()) => {
            daemon.quarantines.record_success(&pool, &prompt);
            trial.inspect(|trial| trial.record_success());
        }
        Err(Failure::Final(_)) => {}
        Err(Failure::Retryable(_)) => {
            trial.inspect(|trial| trial.record_broken());
            let (server, at) = (reservation.grant.decode.clone(), identity::now());
            if !daemon.view.takes_work(&server.name) {
                return;
            }
            executor::detach(async move {
                if connection::has_ended(server.address).await {
                    quarantine::record_crash(
                        &daemon,
                        &pool,
                        &server.name,
                        &prompt,
                        run_progress,
                        at,
                    );
                }
            });
        }
    }
}

/// Checks that the decode server of a reservation may go on with the response, as the owner may
/// list servers that this daemon does not know yet; returns the version of its software.
fn check_version(
    generation: &Generation,
    reservation: &Reservation,
    response: &ResponseWriter,
) -> Result<Option<software::Version>, Failure> {
    let server = &reservation.grant.decode.name;
    let version = generation.recorder.daemon.software.of(server);
    if response.origin().allows(version.as_ref()) {
        return Ok(version);
    }
    let message = format!("engine {server} may not go on with the response");
    Err(Failure::Retryable(Error::new(Kind::NoBackend, message)))
}

async fn admit(
    generation: &Generation,
    attempt: &Attempt,
    response: &ResponseWriter,
) -> Result<Reservation, Failure> {
    let recorder = &generation.recorder;
    let resume_from = response.count();
    let ask = Ask {
        attempt: attempt.clone(),
        workspace: recorder.workspace.clone(),
        weight: generation.weight,
        service: recorder.service.name.clone(),
        rank: generation.rank,
        tokens_in: generation.tokens_in + resume_from,
        tokens_out: generation.max_tokens_out - resume_from,
        is_read: false,
        output_hint: None,
        waited: ffw_control::identity::now().since(recorder.arrived),
        target: generation.time_to_target(),
        patience: generation.time_to_deadline(resume_from > 0),
        prefix: generation.prefix_hashes.clone(),
        avoid: software::excluded(&recorder.daemon, &generation.pool, response.origin()),
    };
    match admission::reserve(&recorder.daemon, &generation.pool, ask).await {
        Ok(Decision::Reservation(reservation)) => Ok(reservation),
        Ok(Decision::Refusal(refusal)) => {
            recorder.record_event(attempt.number, Event::Refused(refusal.clone()));
            Err(Failure::Final(refusal_error(generation, &refusal)))
        }
        Err(error) => Err(Failure::Final(error)),
    }
}

fn refusal_error(generation: &Generation, refusal: &Refusal) -> Error {
    let service = &generation.recorder.service.name;
    let (kind, message) = match refusal.cause {
        Cause::NoBackend => {
            (Kind::NoBackend, format!("pool {} has no live engines", generation.pool))
        }
        Cause::TooLarge => {
            (Kind::TooLarge, "prompt and output need more memory than an engine has".to_owned())
        }
        _ => {
            let message = format!(
                "service {service}: the first token is predicted in {} ms, and {} ms are left until its deadline",
                refusal.basis.predicted_ms, refusal.basis.patience_ms
            );
            (Kind::Overloaded, message)
        }
    };
    let error = Error::new(kind, message).run(Run::Not);
    if kind.row().retry { error.retry_after(refusal.retry_after) } else { error }
}

fn engine_request(generation: &Generation, attempt: &Attempt, resume_from: u32) -> Completion {
    Completion {
        // The engines identify an attempt by this id.
        request_id: engine::attempt_name(attempt),
        model: generation.call.model.clone(),
        prompt: generation.call.prompt.clone(),
        prompt_tokens: generation.tokens_in + resume_from,
        max_tokens: generation.max_tokens_out,
        priority: generation.rank,
        resume_from,
        cache_salt: generation.recorder.workspace.clone(),
        kv_transfer_params: None,
    }
}

async fn prefill(reservation: &Reservation, completion: &Completion) -> Result<Handoff, Failure> {
    let server = &reservation.grant.prefill;
    let predicted = Duration::from_millis(reservation.grant.basis.predicted_ms);
    let limit = predicted * 3 + STEP_MARGIN;
    engine::prefill(server.address, completion, limit).await.map_err(|fault| {
        let error = fault.to_error(&server.name);
        // An engine that failed may have worked on the prompt.
        let has_failed = matches!(fault, Fault::Refused { status: 500.., .. });
        Failure::Retryable(if has_failed { error.run(Run::Unknown) } else { error })
    })
}

/// Transfers the KV cache to the decode server. Repeats this while the decode server has no free
/// slot (status 429), until the prefill result expires.
async fn transfer(
    reservation: &Reservation,
    completion: &Completion,
    expires: Instant,
) -> Result<(), Fault> {
    let address = reservation.grant.decode.address;
    loop {
        let result = engine::import(address, completion, STEP_MARGIN * 2).await;
        let has_no_slot = matches!(result, Err(Fault::Refused { status: 429, .. }));
        if !has_no_slot || Instant::now() >= expires {
            return result;
        }
        timer::sleep(TRANSFER_RETRY_PAUSE).await;
    }
}

async fn decode(
    generation: &Generation,
    reservation: &Reservation,
    completion: &Completion,
    response: &mut ResponseWriter,
) -> Result<(), Failure> {
    let server = &reservation.grant.decode;
    // A status that is no success does not prove that the engine generated nothing.
    let failed = |fault: Fault| Failure::Retryable(fault.to_error(&server.name).run(Run::Unknown));
    let stall = (generation.token_time * STALL_FACTOR).max(STALL_MIN);
    let mut stream =
        engine::decode(server.address, completion, stall + STEP_MARGIN).await.map_err(failed)?;
    let activity = Activity::default();
    let forwarding = forward_tokens(reservation, completion, response, &mut stream, &activity);
    match timer::with_idle_timeout(stall, &activity, forwarding).await {
        None => Err(failed(Fault::Timeout(stall))),
        Some(Err(StreamError::Engine(fault))) => Err(failed(fault)),
        Some(Err(StreamError::Response(error))) if error.kind == Kind::CallerGone => {
            Err(Failure::Final(error))
        }
        Some(Err(StreamError::Response(error))) => Err(Failure::Retryable(error)),
        Some(Ok(())) => Ok(()),
    }
}

/// Why a token stream ended before the last token: the engine failed, or the response did not
/// accept a token, because an earlier token is missing or the caller has disconnected.
enum StreamError {
    Engine(Fault),
    Response(Error),
}

async fn forward_tokens(
    reservation: &Reservation,
    completion: &Completion,
    response: &mut ResponseWriter,
    stream: &mut engine::Stream,
    activity: &Activity,
) -> Result<(), StreamError> {
    loop {
        let token = match stream.next().await.map_err(StreamError::Engine)? {
            Step::Token(token) => token,
            Step::Done => {
                return Err(StreamError::Engine(Fault::Broken("the stream ended early".into())));
            }
        };
        activity.record();
        match response
            .accept(&completion.request_id, &token)
            .await
            .map_err(StreamError::Response)?
        {
            TokenOutcome::Last => return Ok(()),
            TokenOutcome::Accepted => {
                reservation.record_emitted(response.count() - completion.resume_from)
            }
            TokenOutcome::Dropped => {}
        }
    }
}

/// Counts the prefill as used or wasted, and releases the reservation. If the attempt ended early
/// after its prefill had begun, first cancels it at the engines, in the background.
fn clean_up(
    generation: &Generation,
    attempt: &Attempt,
    progress: Progress,
    emitted: u32,
    is_complete: bool,
) {
    let tokens = generation.tokens_in;
    let label = [&*generation.recorder.service.name];
    if progress.decode_begun {
        let used = &generation.recorder.daemon.metrics.used_prefill;
        used.with_label_values(&label).inc_by(u64::from(tokens));
    } else if progress.prefill_begun {
        generation.recorder.record_wasted_prefill(attempt.number, tokens);
    }
    let Some(reservation) = progress.reservation else { return };
    if is_complete || !progress.prefill_begun {
        // `true`: no engine holds anything of the attempt. `None`: no server is named as failed.
        reservation.release(emitted, true, None);
        return;
    }
    executor::detach(cancel(
        generation.recorder.daemon.clone(),
        attempt.clone(),
        reservation,
        emitted,
        progress.failed,
    ));
}

/// Cancels the attempt at both engines, each until it has confirmed or is no longer in the instance
/// list, then releases the reservation.
async fn cancel(
    daemon: Arc<ffw_control::daemon::Daemon>,
    attempt: Attempt,
    reservation: Reservation,
    emitted: u32,
    failed: Option<Failed>,
) {
    let grant = reservation.grant.clone();
    smol::future::zip(
        owner::cancel_at(&daemon, &attempt, &grant.prefill),
        owner::cancel_at(&daemon, &attempt, &grant.decode),
    )
    .await;
    // `true`: no engine holds anything of the attempt.
    reservation.release(emitted, true, failed);
}
