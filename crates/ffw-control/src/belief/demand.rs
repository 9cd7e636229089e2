//! Confirmations on demand: of the configuration, when a request names something that it lacks, and of
//! the list of servers, when it is to tell where a stream began.

use {
    super::{Ask, Beliefs, PAUSES_PER_BOUND, QUESTIONS_PER_BOUND, ask_store},
    crate::daemon::Daemon,
    ffw_protocol::{belief::Kind, time::Moment},
    ffw_runtime::{clock, timer},
    log::{debug, warn},
    smol::channel::{self, Receiver, Sender},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Pause between two looks at whether a list of servers that is wanted is confirmed.
const CONFIRMATION_POLL: Duration = Duration::from_millis(10);

/// Requests for a confirmation by a call that is still to be sent.
#[derive(Debug)]
pub(super) struct Wanted {
    channel: (Sender<()>, Receiver<()>),
    /// When the latest call that was answered for such a request was sent.
    asked_at: Mutex<Option<Moment>>,
}

impl Default for Wanted {
    fn default() -> Wanted {
        Wanted { channel: channel::bounded(1), asked_at: Mutex::default() }
    }
}

impl Wanted {
    /// When the latest call that was answered for such a request was sent.
    fn asked_at(&self) -> MutexGuard<'_, Option<Moment>> {
        self.asked_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests a call, unless one that was sent at `since` or later has been answered.
    fn add(&self, since: Moment) {
        if self.asked_at().is_none_or(|asked_at| asked_at < since) {
            self.channel.0.try_send(()).ok();
        }
    }
}

impl Beliefs {
    /// Waits until the list of servers is confirmed by a call to the store that was sent at `since`
    /// or later; returns false if it is not within `limit`. No time bound on the age would do
    /// instead, as the process may stand still between a look at the age and what follows from it.
    pub async fn confirm_servers(&self, since: Moment, limit: Duration) -> bool {
        let confirming = async {
            while !self.of(Kind::Servers).is_confirmed_since(since) {
                self.wanted.add(since);
                timer::sleep(CONFIRMATION_POLL).await;
            }
        };
        timer::timeout(limit, confirming).await.is_some()
    }
}

/// Asks the store each time that a confirmation is wanted. Never returns.
pub(super) async fn run(daemon: &Arc<Daemon>, ask: &Ask) {
    smol::future::or(confirm_configuration(daemon, ask), confirm_servers(daemon, ask)).await;
}

/// Asks the store each time that a confirmation of the configuration is wanted.
async fn confirm_configuration(daemon: &Arc<Daemon>, ask: &Ask) {
    let kind = Kind::Configuration;
    loop {
        daemon.freshness().confirmation_wanted().await;
        let bound = daemon.beliefs.bound();
        if daemon.beliefs.reader(kind).revision() == 0 {
            // Its first list confirms it.
            timer::sleep(bound / PAUSES_PER_BOUND * 2).await;
            continue;
        }
        if let Err(error) = ask_store(daemon, ask, kind, bound).await {
            warn!("event=config_unconfirmed error=\"{error}\"");
            daemon.beliefs.reader(kind).restart();
        }
    }
}

/// Asks the store each time that a younger confirmation of the list of servers is wanted. Never
/// returns.
async fn confirm_servers(daemon: &Arc<Daemon>, ask: &Ask) {
    let wanted = &daemon.beliefs.wanted;
    loop {
        wanted.channel.1.recv().await.ok();
        let bound = daemon.beliefs.bound();
        let asked_at = clock::boot_time();
        match ask_store(daemon, ask, Kind::Servers, bound).await {
            Ok(()) => *wanted.asked_at() = Some(asked_at),
            Err(error) => {
                debug!("event=servers_unconfirmed error=\"{error}\"");
                timer::sleep(bound / QUESTIONS_PER_BOUND).await;
            }
        }
    }
}
