//! Prompt parts under which servers crash: refuses requests that have them, and reports how runs
//! ended.

use {
    super::{Stream, failure::AttemptFailure},
    ffw_control::{
        admission::Reservation,
        quarantine::{self, Refusal, Ruling},
    },
    ffw_http::connection,
    ffw_protocol::{
        admission::Server,
        error::{Error, Kind, Result},
        quarantine::{Progress, names},
        time::Moment,
    },
    ffw_runtime::{executor, timer},
    std::time::Duration,
};

/// Period at which a request that waits for a reservation is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

impl Stream<'_> {
    /// Checks the prompt before a reservation is requested. A request with parts in doubt may be let
    /// through as one that is tried, for one reservation only.
    pub(super) fn admit_prompt(&mut self) -> Result<()> {
        let (daemon, pool) = (&self.router.daemon, &self.request.pool);
        match quarantine::rule(daemon, pool, &self.request.request_info.prompt) {
            Ruling::Pass => Ok(()),
            Ruling::Try(trial) => {
                self.trial = Some(trial);
                Ok(())
            }
            Ruling::Refuse(refusal) => Err(refusal_error(&refusal)),
        }
    }

    /// Error of a request whose prompt has parts that are held, unless it is tried.
    fn quarantine_error(&self) -> Option<Error> {
        let prompt = &self.request.request_info.prompt;
        if self.trial.is_some() {
            return None;
        }
        let refusal = self.router.daemon.quarantines.refusal(&self.request.pool, prompt)?;
        Some(refusal_error(&refusal))
    }

    /// Fails as soon as the prompt has parts that are held.
    pub(super) async fn until_held(&self) -> Result<Reservation> {
        loop {
            timer::sleep(CHECK_PERIOD).await;
            if let Some(error) = self.quarantine_error() {
                return Err(error);
            }
        }
    }

    /// Checks once more before a call, as the parts may be held since the request was admitted.
    pub(super) fn check_not_held(&self) -> std::result::Result<(), AttemptFailure> {
        self.quarantine_error().map_or(Ok(()), |error| {
            Err(AttemptFailure { error, failed: None, may_retry: false, retry_calls: 0 })
        })
    }

    pub(super) fn record_success(&self) {
        let quarantines = &self.router.daemon.quarantines;
        quarantines.record_success(&self.request.pool, &self.request.request_info.prompt);
        if let Some(trial) = &self.trial {
            trial.record_success();
        }
    }

    /// Records that a server gets the request, if that is tried.
    pub(super) fn record_trial_sent(&self) {
        if let Some(trial) = &self.trial {
            trial.record_sent();
        }
    }

    /// Reports a crash of a server that has ended the connection of a run at `at`, if it has crashed
    /// and was not leaving.
    pub(super) fn suspect_crash(&self, server: &Server, progress: Progress, at: Moment) {
        if let Some(trial) = &self.trial {
            trial.record_broken();
        }
        let prompt = &self.request.request_info.prompt;
        let is_leaving = !self.router.daemon.view.takes_work(&server.name);
        if prompt.shared.is_empty() || is_leaving {
            return;
        }
        let (daemon, pool) = (self.router.daemon.clone(), self.request.pool.clone());
        let (server, prompt) = (server.clone(), prompt.clone());
        executor::detach(async move {
            if connection::has_ended(server.address).await {
                quarantine::record_crash(&daemon, &pool, &server.name, &prompt, progress, at);
            }
        });
    }
}

fn refusal_error(refusal: &Refusal) -> Error {
    let message = format!("servers crash under part {} of the prompt", names(&refusal.parts));
    Error::new(Kind::Quarantined, message).retry_after(refusal.left)
}
