//! Sends a call that may run at most once. A claim object in the platform's object API guards the
//! call and records its outcome, by the steps of [`ffw_decide::claim::Machine`]. When the caller
//! can't wait any longer, it gets an answer, and a background task records what became of the
//! claim.

use {
    crate::{daemon::Daemon, identity},
    ffw_decide::claim::{Claim, Event, Finish, Machine, Outcome, State, Step, Stored},
    ffw_platform::{
        fault::{Fault, Result},
        store::{Kind, Metadata, Object},
    },
    ffw_protocol::{id, instance::Role},
    ffw_runtime::{executor, timer},
    log::warn,
    std::{
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which the caller waits until the outcome of its call is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the background task tries to record an outcome.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(900);

/// One call and its claim.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the claim object.
    pub name: Arc<str>,
    /// Digest of the call's path and body.
    pub digest: Arc<str>,
    /// Id of the caller's request for which the call is made.
    pub request: id::Request,
    /// Longest time until the call is sent. If it passes, the caller gets an error and nothing is
    /// sent.
    pub limit: Duration,
}

/// Runs `send` if and only if the claim allows it, and returns the answer for the caller.
pub async fn run<Fut>(daemon: Arc<Daemon>, call: Call, send: impl FnOnce() -> Fut) -> Finish
where
    Fut: Future<Output = Outcome> + Send + 'static,
{
    let began = Instant::now();
    let nonce: u128 = rand::random();
    let (mut machine, mut step) = Machine::start(Claim {
        nonce: format!("{nonce:032x}").into(),
        digest: call.digest.clone(),
        holder: call.request.clone(),
        state: State::Started,
        created_ms: identity::unix_ms(),
    });
    let mut send = Some(send);
    let mut sent_at = None;
    loop {
        let is_late = match sent_at {
            None => began.elapsed() > call.limit,
            Some(time) => Instant::elapsed(&time) > RECORD_TIMEOUT,
        };
        step = match step {
            Step::Finish(finish) => return finish,
            _ if is_late => return give_up(daemon, call, machine, step),
            Step::Send => {
                // The machine asks to send at most once.
                let Some(send) = send.take() else {
                    return give_up(daemon, call, machine, step);
                };
                let outcome = send().await;
                sent_at = Some(Instant::now());
                machine.next(Event::CallEnded(outcome))
            }
            other => {
                let event = perform(&daemon, &call.name, other).await;
                machine.next(event)
            }
        };
    }
}

/// Returns the answer for the caller now. A background task records the outcome if the call was
/// sent, and otherwise marks the claim as not run.
fn give_up(daemon: Arc<Daemon>, call: Call, machine: Machine, step: Step) -> Finish {
    let mut giving_up = machine.clone();
    let finish = giving_up.give_up();
    if machine.was_sent() {
        executor::detach(record(daemon, call.name, machine, step));
    } else {
        executor::detach(abandon(daemon, call.name, machine.not_run_claim()));
    }
    finish
}

/// Runs the machine's remaining steps until the outcome is recorded, for at most
/// [`BACKGROUND_TIMEOUT`].
async fn record(daemon: Arc<Daemon>, name: Arc<str>, mut machine: Machine, mut step: Step) {
    let began = Instant::now();
    while began.elapsed() < BACKGROUND_TIMEOUT {
        match step {
            Step::Finish(_) | Step::Send => return,
            other => step = machine.next(perform(&daemon, &name, other).await),
        }
    }
    warn!("event=claim_not_recorded name={name}");
}

/// Marks the claim of a call that was not sent as not run. A write without an answer may still
/// create the claim late, so a missing claim is looked for again for 30 seconds. After failures,
/// the task goes on for at most [`BACKGROUND_TIMEOUT`].
async fn abandon(daemon: Arc<Daemon>, name: Arc<str>, claim: Claim) {
    let began = Instant::now();
    while began.elapsed() < BACKGROUND_TIMEOUT {
        timer::sleep(Duration::from_secs(2)).await;
        let read: Result<Object<Claim>> = daemon.store.get(Kind::Claims, &name).await;
        let object = match read {
            Ok(object) if object.spec.nonce != claim.nonce => return,
            Ok(object) if object.spec.state != State::Started => return,
            Ok(object) => Object { metadata: object.metadata, spec: claim.clone() },
            Err(Fault::NotFound) if began.elapsed() > Duration::from_secs(30) => return,
            Err(_) => continue,
        };
        if daemon.store.update(Kind::Claims, &object).await.is_ok() {
            return;
        }
    }
}

/// Does one step at the platform and returns its event.
async fn perform(daemon: &Daemon, name: &Arc<str>, step: Step) -> Event {
    match step {
        Step::Create(claim) => written(daemon.store.create(Kind::Claims, name, claim).await),
        Step::Replace(resource_version, claim) => {
            let metadata = Metadata { name: name.clone(), resource_version };
            let object = Object { metadata, spec: claim };
            written(daemon.store.update(Kind::Claims, &object).await)
        }
        Step::Read => read(daemon, name).await,
        Step::Pause(span) => {
            timer::sleep(span).await;
            Event::PauseEnded
        }
        // Both callers handle these steps themselves.
        Step::Send | Step::Finish(_) => Event::PauseEnded,
    }
}

/// The event that the result of a write means for the machine.
fn written(result: Result<Object<Claim>>) -> Event {
    match result {
        Ok(object) => Event::Written(object.metadata.resource_version),
        Err(Fault::Conflict | Fault::NotFound) => Event::Refused,
        Err(Fault::Lost(_)) => Event::ResultUnknown,
        Err(Fault::Gone | Fault::Down(_)) => Event::Failed,
    }
}

async fn read(daemon: &Daemon, name: &Arc<str>) -> Event {
    let read: Result<Object<Claim>> = daemon.store.get(Kind::Claims, name).await;
    match read {
        Ok(object) => {
            let is_holder_running = is_running(daemon, &object.spec.holder).await;
            let version = object.metadata.resource_version;
            Event::Read(Some(Stored {
                claim: object.spec,
                resource_version: version,
                is_holder_running,
            }))
        }
        Err(Fault::NotFound) => Event::Read(None),
        Err(_) => Event::Failed,
    }
}

/// Whether the process that holds a claim still runs: its instance is listed and has not been
/// restarted. True if its daemon does not answer.
async fn is_running(daemon: &Daemon, holder: &id::Request) -> bool {
    if holder.instance == daemon.identity.instance {
        return holder.incarnation == daemon.identity.incarnation;
    }
    let roster = daemon.view.roster();
    let is_holder = |name: &Arc<str>, role: Role| *name == holder.instance && role == Role::Entry;
    let Some(listed) = roster.instances.iter().find(|listed| is_holder(&listed.name, listed.role))
    else {
        return false;
    };
    let limit = Duration::from_millis(300);
    let status = daemon
        .peers
        .call(listed.address, limit, async move |peer, context| peer.status(context).await);
    status.await.map_or(true, |status| status.incarnation == holder.incarnation)
}
