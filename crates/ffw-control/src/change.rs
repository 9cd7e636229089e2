//! Makes a change of the configuration in the platform's object API, by the steps of
//! [`ffw_decide::config::Machine`]. Each version that is replaced is first stored as a history
//! object of its own.

use {
    crate::daemon::Daemon,
    ffw_decide::config::{Change, Event, Machine, Step, Stored},
    ffw_platform::{
        fault::{Fault, Result},
        store::{Kind, Metadata, Object},
    },
    ffw_protocol::{
        config::Version,
        error::{Error, Kind as ErrorKind, Run},
    },
    ffw_runtime::timer,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time after which a change that is not decided fails.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change is in force as this version.
    Accepted(Version),
    /// Another change came first. Holds the version in force, if there is one.
    Conflict(Option<Version>),
}

/// Makes a change, or finds that it is already in force or that another change came first.
///
/// # Errors
/// [`ErrorKind::StoreUnavailable`] if the change was not decided in time. The error's [`Run`] is
/// `Unknown` if the change may be in force, and `Not` if it is not.
pub async fn apply(daemon: &Daemon, change: Change) -> std::result::Result<Outcome, Error> {
    let began = Instant::now();
    let (mut machine, mut step) = Machine::start(change);
    loop {
        let event = match step {
            Step::Accepted(version) => return Ok(Outcome::Accepted(version)),
            Step::Conflict(version) => return Ok(Outcome::Conflict(version)),
            _ if began.elapsed() > CHANGE_TIMEOUT => return Err(unavailable(&machine)),
            Step::Pause(span) => {
                timer::sleep(span).await;
                Event::PauseEnded
            }
            Step::Read => read(daemon).await,
            Step::ReadHistory(number) => read_history(daemon, number).await,
            Step::WriteHistory(version) => {
                let name = history_name(daemon, version.number);
                written(daemon.store.create(Kind::Changes, &name, version).await)
            }
            Step::Create(version) => {
                let name = &daemon.deployment;
                written(daemon.store.create(Kind::Configurations, name, version).await)
            }
            Step::Replace(resource_version, version) => {
                let metadata = Metadata { name: daemon.deployment.clone(), resource_version };
                let object = Object { metadata, spec: version };
                written(daemon.store.update(Kind::Configurations, &object).await)
            }
        };
        step = machine.next(event);
    }
}

fn unavailable(machine: &Machine) -> Error {
    let run = if machine.may_be_written() { Run::Unknown } else { Run::Not };
    let message =
        "the platform's object API did not answer in time; apply the same change id again";
    Error::new(ErrorKind::StoreUnavailable, message).run(run)
}

/// Reads the version in force.
async fn read(daemon: &Daemon) -> Event {
    let read: Result<Object<Version>> =
        daemon.store.get(Kind::Configurations, &daemon.deployment).await;
    match read {
        Ok(object) => Event::Read(Some(Stored {
            version: object.spec,
            resource_version: object.metadata.resource_version,
        })),
        Err(Fault::NotFound) => Event::Read(None),
        Err(_) => Event::Failed,
    }
}

/// Reads the history object of a version.
async fn read_history(daemon: &Daemon, number: u64) -> Event {
    match daemon.store.get(Kind::Changes, &history_name(daemon, number)).await {
        Ok(object) => Event::HistoryRead(Some(object.spec)),
        Err(Fault::NotFound) => Event::HistoryRead(None),
        Err(_) => Event::Failed,
    }
}

/// The event that the result of a write means for the machine.
fn written(result: Result<Object<Version>>) -> Event {
    match result {
        Ok(_) => Event::Written,
        Err(Fault::Conflict | Fault::NotFound) => Event::Refused,
        Err(Fault::Lost(_)) => Event::ResultUnknown,
        Err(Fault::Gone | Fault::Down(_)) => Event::Failed,
    }
}

/// Name of the history object of a version.
fn history_name(daemon: &Daemon, number: u64) -> String {
    format!("{}-{number:010}", daemon.deployment)
}

/// All versions, oldest first. The one in force is last, and is missing if it can't be read.
///
/// # Errors
/// The platform's object API does not answer the read of the history.
pub async fn history(daemon: &Daemon) -> std::result::Result<Vec<Version>, Error> {
    let prefix = format!("{}-", daemon.deployment);
    let listed = daemon.store.list::<Version>(Kind::Changes, &prefix).await;
    let listed = listed.map_err(|fault| fault.to_error())?;
    let mut versions: Vec<Version> = listed.items.into_iter().map(|object| object.spec).collect();
    if let Event::Read(Some(stored)) = read(daemon).await {
        versions.retain(|version| version.number < stored.version.number);
        versions.push(stored.version);
    }
    versions.sort_by_key(|version| version.number);
    Ok(versions)
}

/// The version in force at the platform; `None` before the first change.
///
/// # Errors
/// [`ErrorKind::StoreUnavailable`] if the platform's object API does not answer.
pub async fn current(daemon: &Daemon) -> std::result::Result<Option<Arc<Version>>, Error> {
    match read(daemon).await {
        Event::Read(stored) => Ok(stored.map(|stored| Arc::new(stored.version))),
        _ => Err(Error::new(ErrorKind::StoreUnavailable, "the object API does not answer")),
    }
}
