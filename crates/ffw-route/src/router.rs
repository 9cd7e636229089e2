//! What all routed requests of a daemon share.

use {
    crate::dialect::Dialect,
    ffw_control::daemon::Daemon,
    ffw_decide::{balance::Balancer, budget::Budget},
    ffw_http::pool::Pool,
    ffw_protocol::instance::Role,
    ffw_runtime::timer,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Period at which what is kept of vanished servers is dropped.
const CLEANUP_PERIOD: Duration = Duration::from_secs(2);

/// State of the routed requests.
#[derive(Debug)]
pub struct Router {
    /// The daemon.
    pub daemon: Arc<Daemon>,
    /// How heads are spelled.
    pub dialect: Dialect,
    /// When it began to serve.
    pub started_at: Instant,
    /// Idle connections to backend servers.
    pub idle_connections: Pool,
    limits: Mutex<Limits>,
    balancer: Mutex<Balancer>,
    budget: Mutex<Budget>,
    choice_counter: AtomicU64,
    in_flight: AtomicUsize,
    buffered_bytes: AtomicUsize,
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Share of the requests to a pool that may be sent once more.
    pub retry_ratio: f64,
    /// Sends beyond that share in one window, over all daemons.
    pub retry_slack: f64,
    /// Window of the two.
    pub retry_window: Duration,
    /// Bytes of bodies that may be held at once.
    pub buffered_bytes: usize,
    /// Callers' connections at once.
    pub connections: usize,
    /// Time between the signal to end and the end of the process.
    pub grace: Duration,
}

/// Time after the signal to end for which new connections may still come.
pub const INGRESS_LAG: Duration = Duration::from_millis(3_200);

/// Share of the slack that is used: a daemon that starts again knows nothing of what it sent before.
const SLACK_SHARE: f64 = 0.7;

/// Time before the end of a process that a stream needs to come to its end.
const STREAM_FINISH_TIME: Duration = Duration::from_millis(5_500);

/// Time before the end of a process that a plain request needs to come to its end.
const PLAIN_FINISH_TIME: Duration = Duration::from_millis(1_500);

/// Counts up while it lives.
#[derive(Debug)]
pub struct CounterGuard<'a> {
    counter: &'a AtomicUsize,
    amount: usize,
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(self.amount, Ordering::SeqCst);
    }
}

impl Router {
    /// The state of a daemon that has served nothing yet.
    pub fn new(daemon: Arc<Daemon>, dialect: Dialect, limits: Limits) -> Arc<Router> {
        Arc::new(Router {
            daemon,
            dialect,
            started_at: Instant::now(),
            idle_connections: Pool::default(),
            limits: Mutex::new(limits),
            balancer: Mutex::default(),
            budget: Mutex::new(Budget::new(limits.retry_ratio, limits.retry_window)),
            choice_counter: AtomicU64::new(u64::from(rand::random::<u32>())),
            in_flight: AtomicUsize::new(0),
            buffered_bytes: AtomicUsize::new(0),
        })
    }

    /// Limits that the deployment sets, at this moment.
    pub fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes new limits over.
    pub fn configure(&self, limits: Limits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
        self.budget().configure(limits.retry_ratio, limits.retry_window);
    }

    /// Plain servers and what is known of each.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request for a pool.
    pub fn record_request(&self, pool: &Arc<str>) {
        self.budget().record_request(ffw_control::identity::now(), pool);
    }

    /// Takes `calls` repeated calls to a pool from the budget; answers whether they may be made.
    pub fn take_retries(&self, pool: &Arc<str>, calls: u32) -> bool {
        let retry_slack_share = self.retry_slack_share();
        let is_allowed =
            self.budget().take(ffw_control::identity::now(), pool, calls, retry_slack_share);
        self.daemon.metrics.routed.record_repeats(pool, calls, is_allowed);
        is_allowed
    }

    /// This daemon's part of the repeats beyond the share of requests.
    fn retry_slack_share(&self) -> f64 {
        let roster = self.daemon.view.roster();
        let daemons =
            roster.instances.iter().filter(|instance| instance.role == Role::Entry).count();
        self.limits().retry_slack * SLACK_SHARE / daemons.max(1) as f64
    }

    /// Brings the gauges of the retry budget up to date.
    pub fn update_gauges(&self) {
        let retry_slack_share = self.retry_slack_share();
        for remaining in self.budget().remaining(ffw_control::identity::now(), retry_slack_share) {
            let gauge = &self.daemon.metrics.routed.repeats_left;
            gauge.with_label_values(&[&*remaining.pool]).set(i64::from(remaining.calls));
        }
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request that comes now can be answered before this process ends.
    pub fn can_finish(&self, is_stream: bool) -> bool {
        let needed = if is_stream { STREAM_FINISH_TIME } else { PLAIN_FINISH_TIME };
        !self.daemon.is_draining() || self.daemon.draining_for() + needed < self.limits().grace
    }

    /// A number that differs from call to call.
    pub fn next_choice_number(&self) -> u64 {
        self.choice_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Requests that are not answered to their end.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request while the guard lives.
    pub fn begin_request(&self) -> CounterGuard<'_> {
        add_guarded(&self.in_flight, 1)
    }

    /// Reserves room for a body while the guard lives; `None` if there is none.
    pub fn reserve(&self, bytes: usize) -> Option<CounterGuard<'_>> {
        let mut guard = add_guarded(&self.buffered_bytes, 0);
        self.reserve_more(&mut guard, bytes).then_some(guard)
    }

    /// Reserves so many bytes more for a body; answers whether there is room for them.
    pub fn reserve_more(&self, guard: &mut CounterGuard<'_>, bytes: usize) -> bool {
        guard.amount += bytes;
        self.buffered_bytes.fetch_add(bytes, Ordering::SeqCst) + bytes
            <= self.limits().buffered_bytes
    }
}

fn add_guarded(counter: &AtomicUsize, amount: usize) -> CounterGuard<'_> {
    counter.fetch_add(amount, Ordering::SeqCst);
    CounterGuard { counter, amount }
}

/// Drops what is kept of servers that have left the list.
pub async fn forget_vanished_servers(router: Arc<Router>) {
    loop {
        timer::sleep(CLEANUP_PERIOD).await;
        let roster = router.daemon.view.roster();
        let is_listed = |name: &str| {
            roster.instances.binary_search_by(|instance| (*instance.name).cmp(name)).is_ok()
        };
        router.idle_connections.retain(is_listed);
        router.balancer().retain(is_listed);
    }
}
