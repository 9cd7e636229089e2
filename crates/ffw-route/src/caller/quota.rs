//! Charges a request to the quota of its workspace.

use {
    crate::{dialect::RequestInfo, router::Router},
    ffw_control::quota::{self, Charge, Denial},
    ffw_protocol::{
        declaration::Workspace,
        error::{Error, Kind},
    },
    std::time::Duration,
};

/// Least and largest Retry-After of a request beyond the quota.
const RETRY_MIN: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Takes the units of a request; `None` if its workspace has no quota.
///
/// # Errors
/// [`Kind::RateLimited`] if the quota is used up, [`Kind::Overloaded`] if it can't be checked.
pub(super) async fn apply(
    router: &Router,
    workspace: &Workspace,
    version: u64,
    request_info: &RequestInfo,
    time_left: Duration,
) -> Result<Option<Charge>, Error> {
    let tokens =
        request_info.tokens.map(|tokens| f64::from(tokens.prompt) + f64::from(tokens.output));
    let taken = quota::take(&router.daemon, workspace, version, tokens, time_left).await;
    let outcome = match &taken {
        Ok(None) => return Ok(None),
        Ok(Some(_)) => "granted",
        Err(Denial::Exceeded(_)) => "exceeded",
        Err(Denial::Unchecked(_)) => "unchecked",
    };
    router.daemon.metrics.routed.record_quota(&workspace.name, outcome);
    let name = &workspace.name;
    taken.map_err(|denial| match denial {
        Denial::Exceeded(wait) => {
            let message = format!("workspace {name} has used up its quota in version {version}");
            Error::new(Kind::RateLimited, message).retry_after(wait.clamp(RETRY_MIN, RETRY_MAX))
        }
        Denial::Unchecked(wait) => {
            let message = format!("no daemon that keeps the quota of workspace {name} is reached");
            Error::new(Kind::Overloaded, message).retry_after(wait)
        }
    })
}
