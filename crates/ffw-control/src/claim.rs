//! Carries out a call that may run at most once: drives the claim machine against the platform.

use {
    crate::{daemon::Daemon, identity},
    ffw_decide::claim::{Claim, Event, Finish, Found, Machine, Outcome, State, Step},
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

/// Time for which the caller waits for the record of an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which an outcome is recorded in the background.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(900);

/// One call and its key.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the claim object.
    pub name: Arc<str>,
    /// Digest of the call's path and body.
    pub digest: Arc<str>,
    /// Request that makes the call.
    pub request: id::Request,
    /// Time for which the caller waits.
    pub limit: Duration,
}

/// Runs `send` if and only if the claim allows it, and gives the answer for the caller.
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
            Some(at) => Instant::elapsed(&at) > RECORD_TIMEOUT,
        };
        step = match step {
            Step::Finish(finish) => return finish,
            _ if is_late => return give_up(daemon, call, machine, step),
            Step::Send => {
                let Some(send) = send.take() else {
                    return give_up(daemon, call, machine, step);
                };
                let outcome = send().await;
                sent_at = Some(Instant::now());
                machine.next(Event::Sent(outcome))
            }
            other => {
                let event = perform(&daemon, &call.name, other).await;
                machine.next(event)
            }
        };
    }
}

/// Answers the caller now, and goes on in the background to record what is known.
fn give_up(daemon: Arc<Daemon>, call: Call, machine: Machine, step: Step) -> Finish {
    let mut giving_up = machine.clone();
    let finish = giving_up.give_up();
    if machine.was_sent() {
        executor::detach(record(daemon, call.name, machine, step));
    } else {
        executor::detach(abandon(daemon, call.name, machine.abandoned()));
    }
    finish
}

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

/// Marks a claim that was never used as not run, if a lost write has created it after all.
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
            Event::Waited
        }
        Step::Send | Step::Finish(_) => Event::Waited,
    }
}

fn written(result: Result<Object<Claim>>) -> Event {
    match result {
        Ok(object) => Event::Written(object.metadata.resource_version),
        Err(Fault::Conflict | Fault::NotFound) => Event::Refused,
        Err(Fault::Lost(_)) => Event::Lost,
        Err(Fault::Gone | Fault::Down(_)) => Event::Down,
    }
}

async fn read(daemon: &Daemon, name: &Arc<str>) -> Event {
    let read: Result<Object<Claim>> = daemon.store.get(Kind::Claims, name).await;
    match read {
        Ok(object) => {
            let holder_lives = lives(daemon, &object.spec.holder).await;
            let version = object.metadata.resource_version;
            Event::Read(Some(Found { claim: object.spec, version, holder_lives }))
        }
        Err(Fault::NotFound) => Event::Read(None),
        Err(_) => Event::Down,
    }
}

/// Whether the process that holds a claim still runs; true while nobody can tell.
async fn lives(daemon: &Daemon, holder: &id::Request) -> bool {
    if holder.instance == daemon.identity.instance {
        return holder.incarnation == daemon.identity.incarnation;
    }
    let roster = daemon.view.roster();
    let is_holder = |name: &Arc<str>, role: Role| *name == holder.instance && role == Role::Entry;
    let Some(listed) = roster.instances.iter().find(|one| is_holder(&one.name, one.role)) else {
        return false;
    };
    let limit = Duration::from_millis(300);
    let status = daemon
        .peers
        .call(listed.address, limit, async move |peer, context| peer.status(context).await);
    status.await.map_or(true, |status| status.incarnation == holder.incarnation)
}
