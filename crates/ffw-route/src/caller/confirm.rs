//! Waits until the configuration in force is confirmed as current, before a request is rejected
//! for what a newer configuration may allow.

use {
    crate::router::Router,
    ffw_control::snapshot::Snapshot,
    std::{sync::Arc, time::Instant},
};

/// The configuration in force after the wait.
pub(super) struct Confirmed {
    pub(super) snapshot: Arc<Snapshot>,
    /// Whether the store has confirmed lately that there is no newer one.
    pub(super) is_current: bool,
    /// When it was confirmed, for messages.
    pub(super) age: String,
}

/// Waits for a confirmation until `waits_until` at the latest. `snapshot` is used if no
/// configuration is in force any more.
pub(super) async fn confirm(
    router: &Router,
    snapshot: Arc<Snapshot>,
    waits_until: Instant,
) -> Confirmed {
    let daemon = &router.daemon;
    let limit = waits_until.saturating_duration_since(Instant::now());
    let is_current = daemon.freshness().is_current(limit).await;
    let snapshot = daemon.view.config().unwrap_or(snapshot);
    let age = match daemon.freshness().confirmation_age() {
        Some(age) => format!("confirmed {} ms ago", age.as_millis()),
        None => "not confirmed".into(),
    };
    Confirmed { snapshot, is_current, age }
}
