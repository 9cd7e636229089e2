//! Keeps a stream at the software version that wrote its first event: finds out where a stream that
//! its caller takes up began, and which servers may go on with it.
//!
//! The rule itself is [`ffw_decide::affinity`]. It binds each way on which a run goes on: another
//! run within the same answer, a move, another decode server for a prefilled prompt, and a caller
//! that returns.

use {
    super::{Stream, failure::AttemptFailure},
    crate::{caller::RoutedRequest, router::Router},
    ffw_control::{
        admission::Reservation,
        identity, origin,
        software::{self, Sole},
    },
    ffw_decide::affinity::Origin,
    ffw_protocol::{
        belief::Kind as Followed,
        error::{Error, Kind},
        software::Version,
    },
    ffw_runtime::clock,
    log::info,
    std::time::{Duration, Instant},
};

/// Longest time for which other daemons are asked where a stream began.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which the store is asked where a stream began, after the daemons: for a
/// confirmation of the list of servers, and for the archive.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Retry-After of a stream that no server may go on with now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Records that a server of this version has written events of a stream, before they are sent. The
/// first ones decide where the stream may go on, for the callers of resumable routes also at other
/// daemons.
pub(super) fn record_event(
    router: &Router,
    request: &RoutedRequest,
    origin: &mut Origin,
    version: Option<&Version>,
    is_first: bool,
) {
    origin.record_event(version);
    if !is_first || !request.route.is_resumable {
        return;
    }
    if let Origin::At(version) = origin {
        origin::record(&router.daemon, &request.pool, first_request(request), version.clone());
    }
}

/// Records that a stream has come to its end.
pub(super) fn record_end(router: &Router, request: &RoutedRequest) {
    if request.route.is_resumable {
        origin::record_end(&router.daemon, &request.pool, first_request(request));
    }
}

/// Id of the request that brought, or brings, the first event of the stream.
fn first_request(request: &RoutedRequest) -> &str {
    let info = &request.request_info;
    info.resumes.as_deref().unwrap_or(&info.id)
}

impl Stream<'_> {
    /// Finds out where the stream began, if its caller takes up one that has begun.
    pub(super) async fn find_origin(&mut self) {
        let info = &self.request.request_info;
        if info.resumes.is_none() && info.last_event_id.is_none() {
            return;
        }
        let (daemon, pool) = (&self.router.daemon, &self.request.pool);
        let began_at = Instant::now();
        let (origin, source) = self.look_up_origin().await;
        daemon.metrics.routed.record_resumed(pool, source);
        let list_age = daemon.beliefs.age(Followed::Servers);
        info!(
            "event=stream_resumed request={} resumes={} last_event={:?} origin={origin} \
             known_by={source} lookup_ms={} list_age_ms={:?}",
            info.id,
            info.resumes.as_deref().unwrap_or("none"),
            info.last_event_id,
            began_at.elapsed().as_millis(),
            list_age.map(|age| age.as_millis()),
        );
        self.relay.set_origin(origin);
    }

    /// Where the stream that the caller takes up began, and how that is known.
    async fn look_up_origin(&self) -> (Origin, &'static str) {
        let (daemon, pool) = (&self.router.daemon, &self.request.pool);
        // The stream began before its caller sent this request.
        let arrived_at = clock::boot_time();
        if software::is_unstated(daemon, pool) {
            return (Origin::At(Version::Unstated), "unstated");
        }
        if let Some(first) = &self.request.request_info.resumes
            && let Some(version) = origin::find(daemon, pool, first, FIND_TIMEOUT).await
        {
            return (Origin::At(version), "record");
        }
        // Without a record, the version is certain only if no other one can have begun it.
        let asked_at = Instant::now();
        let unknown_by = match software::sole_before(daemon, pool, arrived_at, STORE_TIMEOUT).await
        {
            Sole::Version(version) => return (Origin::At(version), "sole_version"),
            Sole::Unconfirmed => "unconfirmed",
            Sole::Unknown => "none",
        };
        let time_left = STORE_TIMEOUT.saturating_sub(asked_at.elapsed());
        if let Some(first) = &self.request.request_info.resumes
            && let Some(version) = origin::find_archived(daemon, pool, first, time_left).await
        {
            return (Origin::At(version), "archive");
        }
        (Origin::Unknown, unknown_by)
    }

    /// Why no server may go on with the stream now; `None` if one may. A request that waits in the
    /// owner's queue would not be told when a server wants requests again.
    pub(super) fn affinity_error(&self) -> Option<Error> {
        let (daemon, pool, origin) = (&self.router.daemon, &self.request.pool, self.relay.origin());
        let version = match origin {
            Origin::Fresh => return None,
            Origin::At(version) => version,
            Origin::Unknown => {
                let cause = "it is not known which software version began the stream";
                return Some(Error::new(Kind::NoBackend, cause).retry_after(RETRY_AFTER));
            }
        };
        let mut servers = software::decode_servers(daemon, pool);
        servers.retain(|server| {
            origin.allows(daemon.software.of(server).as_ref()) && daemon.view.takes_work(server)
        });
        if servers.iter().any(|server| self.router.may_send(server)) {
            return None;
        }
        let (state, wait) = match servers.iter().map(|server| self.wait_of(server)).min() {
            Some(wait) => ("wants requests now", wait),
            None => ("takes work", RETRY_AFTER),
        };
        let cause = format!(
            "no server of pool {pool} with software {version}, which began the stream, {state}"
        );
        Some(Error::new(Kind::NoBackend, cause).retry_after(wait))
    }

    /// Time until a server that takes work wants requests of this daemon.
    fn wait_of(&self, server: &str) -> Duration {
        let daemon = &self.router.daemon;
        let pushback = daemon.view.notices().pushback_left(identity::now(), server);
        pushback.max(daemon.rates.wait(server)).unwrap_or_default()
    }

    /// Checks that the decode server of a reservation may go on with the stream, as the owner may
    /// list servers that this daemon does not know yet.
    pub(super) fn check_affinity(
        &self,
        reservation: &Reservation,
    ) -> std::result::Result<(), AttemptFailure> {
        let server = &reservation.grant.decode.name;
        let version = self.router.daemon.software.of(server);
        if self.relay.origin().allows(version.as_ref()) {
            return Ok(());
        }
        let message = format!("backend server {server} may not go on with the stream");
        Err(AttemptFailure {
            error: Error::new(Kind::BackendRefused, message).retry_after(RETRY_AFTER),
            failed: None,
            may_retry: self.may_restart(),
            retry_calls: 0,
        })
    }
}
