//! Counts of this daemon's requests that missed their service-level objective, for operators, and
//! burn rates of the error budget, for Prometheus.

use {
    crate::{daemon::Daemon, identity},
    ffw_decide::burn::WINDOWS,
    ffw_peer::service::Burn,
};

/// Counts of this daemon's requests and of those that missed their service-level objective, by
/// service, workspace and window.
pub fn rows(daemon: &Daemon) -> Vec<Burn> {
    let now = identity::now();
    let counters = daemon.burn();
    let mut rows = Vec::new();
    for series in counters.series() {
        for window in WINDOWS {
            let counts = series.over(now, window);
            rows.push(Burn {
                service: series.service.clone(),
                workspace: series.workspace.clone(),
                window_s: window.as_secs(),
                total: counts.total,
                missed: counts.missed,
                first_token: counts.first_token,
                between_tokens: counts.between_tokens,
                unavailable: counts.unavailable,
            });
        }
    }
    rows
}

/// Sets the burn-rate gauges to the present rates. Services that the configuration no longer
/// declares are left out.
pub fn update_gauges(daemon: &Daemon) {
    let Some(snapshot) = daemon.view.config() else { return };
    let now = identity::now();
    let counters = daemon.burn();
    for series in counters.series() {
        let Some(service) = snapshot.deployment.service(&series.service) else { continue };
        for window in WINDOWS {
            let rate = series.over(now, window).burn_rate(service.objective);
            let window = format!("{}m", window.as_secs() / 60);
            let labels = [&*series.service, &*series.workspace, &*window];
            daemon.metrics.burn_rate.with_label_values(&labels).set((rate * 1_000.0) as i64);
        }
    }
}
