//! Rate limits that plain servers state during the faults, and the check that all daemons together
//! follow them.

use {
    super::Harness,
    crate::{check::Disturbance, worker::Worker},
    std::time::{Duration, Instant},
};

/// Limits of the first servers, in requests a second.
const LIMITS: [f64; 2] = [3.0, 1.5];

/// Time after the first statement of a limit from which it must be followed.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A limit that a server states.
pub(super) struct Limit {
    worker: Worker,
    per_s: f64,
    from: Instant,
    until: Option<Instant>,
}

impl Harness {
    /// Lets the first plain servers state limits.
    pub(super) fn state_limits(&mut self) {
        for (server, per_s) in self.servers.iter().zip(LIMITS) {
            server.worker.set_rate_limit(Some(per_s));
            let (worker, from) = (server.worker.clone(), Instant::now());
            self.limits.push(Limit { worker, per_s, from, until: None });
        }
    }

    /// Ends all limits, so that callers can be served.
    pub(super) fn end_limits(&mut self) {
        for limit in &mut self.limits {
            limit.worker.set_rate_limit(None);
            limit.until = Some(Instant::now());
        }
    }

    /// Checks the arrivals of each span without a disturbance of the daemons.
    pub(super) fn check_limits(&self, violations: &mut Vec<String>) {
        for limit in &self.limits {
            let allowed = (1.5 * limit.per_s * WINDOW.as_secs_f64() + 5.0) as usize;
            let most = most_in_a_window(limit, &self.disturbances);
            if most > allowed {
                violations.push(format!(
                    "{} got {most} requests in 4 s, {allowed} are allowed by its limit of {}",
                    limit.worker.name, limit.per_s
                ));
            }
        }
    }
}

/// Largest number of arrivals in a window in which the limit had to be followed and no daemon was
/// disturbed.
fn most_in_a_window(limit: &Limit, disturbances: &[Disturbance]) -> usize {
    let since = limit.from + SETTLING_TIME;
    let until = limit.until.unwrap_or_else(Instant::now);
    let arrivals = limit.worker.arrivals();
    let is_counted = |start: &Instant| {
        let end = *start + WINDOW;
        let is_disturbed = disturbances.iter().any(|one| one.from < end && *start < one.until);
        *start >= since && end <= until && !is_disturbed
    };
    let in_window = |start: &Instant| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    arrivals.iter().filter(|at| is_counted(at)).map(in_window).max().unwrap_or(0)
}
