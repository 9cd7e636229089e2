//! Authenticates the caller of a routed request by its key, if the configuration requires keys.
//!
//! The configuration holds only digests of keys, and only digests are compared. A key that the
//! configuration in force does not know may have been added by a newer one, so it is rejected only
//! once the store has confirmed that there is none.

use {
    super::confirm::{Confirmed, confirm},
    crate::{dialect::RequestInfo, router::Router},
    ffw_control::snapshot::Snapshot,
    ffw_protocol::{
        declaration::Workspace,
        error::{Error, Kind},
        route::Route,
    },
    std::{sync::Arc, time::Instant},
};

/// A request's configuration, its route there and the workspace that holds its key.
pub(super) struct Authenticated {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) route: Route,
    /// `None` if the route needs no key.
    pub(super) workspace: Option<Arc<Workspace>>,
}

/// Finds the workspace that holds the caller's key. If the configuration has none, one that the
/// store has confirmed lately must not have one either; until `waits_until`, a confirmation is
/// waited for. A newer configuration that arrives meanwhile gives the route as well.
///
/// # Errors
/// [`Kind::Unauthenticated`] if no workspace holds the key, [`Kind::NotReady`] if a newer
/// configuration may have one that does.
pub(super) async fn apply(
    router: &Router,
    snapshot: Arc<Snapshot>,
    route: Route,
    target: (&str, &str),
    request_info: &RequestInfo,
    waits_until: Instant,
) -> Result<Authenticated, Error> {
    let digest = request_info.key_digest.as_deref();
    if let Some(workspace) = holder(&snapshot, &route, digest) {
        return Ok(authenticated(snapshot, route, workspace));
    }
    let Confirmed { snapshot, is_current, age } = confirm(router, snapshot, waits_until).await;
    let (host, path) = target;
    let route = snapshot.route(host, path).cloned().unwrap_or(route);
    if let Some(workspace) = holder(&snapshot, &route, digest) {
        return Ok(authenticated(snapshot, route, workspace));
    }
    let version = snapshot.version.number;
    let message = match digest {
        Some(_) => format!("no workspace of version {version}, {age}, has the key"),
        None => {
            format!("the request has no readable key, which version {version}, {age}, requires")
        }
    };
    Err(match is_current {
        true => Error::new(Kind::Unauthenticated, message),
        false => Error::new(Kind::NotReady, message).retry_after(super::filter::RETRY_AFTER),
    })
}

/// The workspace of a request: `Some(None)` if the route needs no key, `None` if no workspace holds
/// the key.
fn holder(
    snapshot: &Snapshot,
    route: &Route,
    digest: Option<&str>,
) -> Option<Option<Arc<Workspace>>> {
    if route.is_public || !snapshot.deployment.requires_keys {
        return Some(None);
    }
    snapshot.workspace_of_key(digest?).cloned().map(Some)
}

/// The rank of a workspace takes precedence over that of the route.
fn authenticated(
    snapshot: Arc<Snapshot>,
    mut route: Route,
    workspace: Option<Arc<Workspace>>,
) -> Authenticated {
    if let Some(rank) = workspace.as_ref().and_then(|workspace| workspace.rank) {
        route.rank = rank;
    }
    Authenticated { snapshot, route, workspace }
}
