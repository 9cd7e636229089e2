//! State that all routed requests of a daemon share: limits, retry budget, load balancer, idle
//! connections, and counts of open requests and buffered bytes.
//!
//! The retry budget bounds the extra load that retries cause while backend servers fail; the bound
//! on buffered bytes limits the memory for request bodies. During shutdown, requests that could not
//! finish in the remaining time are refused.

use {
    crate::dialect::{Dialect, ResponseInfo},
    ffw_control::{daemon::Daemon, identity, rate},
    ffw_decide::{balance::Balancer, budget::Budget, locality::Locality},
    ffw_http::pool::Pool,
    ffw_protocol::instance::Role,
    ffw_runtime::{
        budget::{Budget as Memory, Kind as Held, Side},
        timer,
    },
    log::info,
    smol::channel::{self, Receiver, Sender},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Period at which the state of servers that have left the instance list is dropped.
const CLEANUP_PERIOD: Duration = Duration::from_secs(2);

/// Shared state of the routed requests.
#[derive(Debug)]
pub struct Router {
    /// Daemon whose view, owned shards and metrics the requests use.
    pub daemon: Arc<Daemon>,
    /// Functions that parse and build messages in the format of the platform.
    pub dialect: Dialect,
    /// Time at which the router was created.
    pub started_at: Instant,
    /// Idle connections to backend servers.
    pub idle_connections: Pool,
    /// Memory that the connections of callers and those to servers may take together.
    pub memory: Arc<Memory>,
    limits: Mutex<Limits>,
    balancer: Mutex<Balancer>,
    /// `None` if the servers of other data centres are weighted by a constant factor.
    locality: Mutex<Option<Locality>>,
    budget: Mutex<Budget>,
    choice_counter: AtomicU64,
    in_flight: AtomicUsize,
    buffered_bytes: AtomicUsize,
    /// Closed, without a message, when the requests that still run have to end.
    ending: (Sender<()>, Receiver<()>),
}

/// Limits that the settings of the deployment give.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of retries that each request to a pool adds to the budget; may be a fraction of one.
    pub retry_ratio: f64,
    /// Retries in one window beyond those that requests add to the budget, over all daemons.
    pub retry_slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Largest sum of the request bodies that are held at once, in bytes, within the budget.
    pub buffered_bytes_max: usize,
    /// Memory that callers' connections and those to servers may take together, in bytes, with
    /// their heads, bodies and buffers.
    pub charged_bytes_max: usize,
    /// Largest number of callers' connections that are open at once.
    pub connections_max: usize,
    /// Time between the signal to shut down and the end of the process.
    pub shutdown_grace: Duration,
}

/// Time after the signal to shut down for which new connections may still arrive; the listener
/// accepts them.
pub const INGRESS_DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// Share of the retry slack that is used, as a daemon that restarts does not know which retries it
/// sent before.
const SLACK_SHARE: f64 = 0.7;

/// Time after the signal to shut down from which a request is accepted only if most of its time limit
/// is over before the process ends; callers reach another daemon by then.
const LONG_REQUEST_TIME: Duration = Duration::from_millis(2_800);

/// Share of its time limit that a request may need.
const NEEDED_SHARE: f64 = 0.75;

/// Time before the end of the process at which requests that still run are answered.
pub const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Time that must remain before the process ends for a stream to be accepted.
const STREAM_FINISH_TIME: Duration = Duration::from_millis(5_500);

/// Time that must remain before the process ends for a plain request to be accepted.
const PLAIN_FINISH_TIME: Duration = Duration::from_millis(1_500);

/// Subtracts its amount from a counter when it is dropped.
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
    /// State of a daemon that has served no request yet.
    pub fn new(daemon: Arc<Daemon>, dialect: Dialect, limits: Limits) -> Arc<Router> {
        Arc::new(Router {
            daemon,
            dialect,
            started_at: Instant::now(),
            idle_connections: Pool::default(),
            memory: Memory::new(limits.charged_bytes_max),
            limits: Mutex::new(limits),
            balancer: Mutex::default(),
            locality: Mutex::default(),
            budget: Mutex::new(Budget::new(limits.retry_ratio, limits.retry_window)),
            choice_counter: AtomicU64::new(u64::from(rand::random::<u32>())),
            in_flight: AtomicUsize::new(0),
            buffered_bytes: AtomicUsize::new(0),
            ending: channel::bounded(1),
        })
    }

    /// The limits now in force.
    pub fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits; what the retry budget has counted stays.
    pub fn configure(&self, limits: Limits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
        self.memory.configure(limits.charged_bytes_max);
        self.budget().configure(limits.retry_ratio, limits.retry_window);
    }

    /// State of the plain servers, by which one is chosen.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Shares of the plain requests that leave this data centre; `None` if no price is set.
    pub fn locality(&self) -> MutexGuard<'_, Option<Locality>> {
        self.locality.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets observed times and this price, in milliseconds for a GB between data centres, decide
    /// which plain requests leave this data centre.
    pub fn set_price(&self, gb_ms: f64) {
        let home = self.daemon.identity.data_centre.clone();
        *self.locality() = Some(Locality::new(home, gb_ms));
    }

    /// Records what a backend server said of itself in a response.
    pub fn record_notices(&self, server: &Arc<str>, response: &ResponseInfo) {
        let view = &self.daemon.view;
        if response.is_leaving && view.notices().record_leaving(identity::now(), server) {
            info!("event=server_leaving server={server} told_by=response");
            self.daemon.admission.report_notices();
        }
        if let Some(span) = response.pushback {
            info!("event=server_pushback server={server} ms={}", span.as_millis());
            view.notices().record_pushback(identity::now(), server, span);
        }
        rate::record(&self.daemon, server, response.rate_limit);
    }

    /// Why a backend server must not be sent a request now, by its own notices; `None` if it may.
    pub fn withholding_cause(&self, server: &str) -> Option<&'static str> {
        let notices = self.daemon.view.notices();
        if notices.is_leaving(server) {
            return Some("it is leaving");
        }
        let is_pushing_back = notices.pushback_left(identity::now(), server).is_some();
        is_pushing_back.then_some("it wants no requests for a time")
    }

    /// Whether a backend server is listed, takes new work, and wants requests from this daemon, as
    /// far as its rate limit is known not to be used up.
    pub fn may_send(&self, server: &str) -> bool {
        self.daemon.view.takes_work(server)
            && self.withholding_cause(server).is_none()
            && self.daemon.rates.wait(server).is_none()
    }

    /// Records a request to a pool in the retry budget.
    pub fn record_request(&self, pool: &Arc<str>) {
        self.budget().record_request(identity::now(), pool);
    }

    /// Takes `count` retries to a pool from the budget; returns whether they may be made.
    pub fn take_retries(&self, pool: &Arc<str>, count: u32) -> bool {
        let retry_slack_share = self.retry_slack_share();
        let is_allowed = self.budget().take(identity::now(), pool, count, retry_slack_share);
        self.daemon.metrics.routed.record_retries(pool, count, is_allowed);
        is_allowed
    }

    /// This daemon's part of the retry slack.
    fn retry_slack_share(&self) -> f64 {
        let roster = self.daemon.view.roster();
        let daemons =
            roster.instances.iter().filter(|instance| instance.role == Role::Entry).count();
        self.limits().retry_slack * SLACK_SHARE / daemons.max(1) as f64
    }

    /// Updates the gauges of the retry budget, of the memory budget and of the shares that leave
    /// the data centre.
    pub fn update_gauges(&self) {
        self.update_memory_gauges();
        let retry_slack_share = self.retry_slack_share();
        for remaining in self.budget().remaining(identity::now(), retry_slack_share) {
            let gauge = &self.daemon.metrics.routed.retries_left;
            gauge.with_label_values(&[&*remaining.pool]).set(i64::from(remaining.calls));
        }
        for (pool, share) in self.locality().iter().flat_map(Locality::shares) {
            self.daemon.metrics.routed.away_share.with_label_values(&[&**pool]).set(share);
        }
    }

    fn update_memory_gauges(&self) {
        let routed = &self.daemon.metrics.routed;
        for (side, memory, refusals) in [
            (Side::Caller, &routed.caller_memory, &routed.memory_refusals),
            (Side::Server, &routed.server_memory, &routed.server_memory_refusals),
        ] {
            for kind in Held::ALL {
                let bytes = i64::try_from(self.memory.held(side, kind)).unwrap_or(i64::MAX);
                memory.with_label_values(&[kind.name()]).set(bytes);
                let refused = self.memory.refused(side, kind).cast_signed();
                refusals.with_label_values(&[kind.name()]).set(refused);
            }
            let evicted = self.memory.evicted(side).cast_signed();
            refusals.with_label_values(&["evicted"]).set(evicted);
        }
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request that is complete now, with this time left, can be answered before this
    /// process ends.
    pub fn can_finish(&self, is_stream: bool, time_left: Duration) -> bool {
        if !self.daemon.is_draining() {
            return true;
        }
        let usual = if is_stream { STREAM_FINISH_TIME } else { PLAIN_FINISH_TIME };
        let draining_for = self.daemon.draining_for();
        let is_late = draining_for >= LONG_REQUEST_TIME;
        let needed = if is_late { usual.max(time_left.mul_f64(NEEDED_SHARE)) } else { usual };
        draining_for + needed < self.limits().shutdown_grace.saturating_sub(LAST_ANSWER_TIME)
    }

    /// Ends the requests that still run: each whose caller has got nothing yet is answered with an
    /// error.
    pub fn end_requests(&self) {
        self.ending.0.close();
    }

    /// Waits until [`Router::end_requests`] is called.
    pub async fn requests_ending(&self) {
        self.ending.1.recv().await.ok();
    }

    /// Next number of a counter with a random start, by which pools and servers are chosen. The
    /// numbers are consecutive, and so evenly distributed, over all choices together, but not over
    /// those of one kind: a plain request takes one for its pool and one for each choice of a
    /// server.
    pub fn next_choice_number(&self) -> u64 {
        self.choice_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Number of requests that are not answered to their end.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request while the guard exists.
    pub fn begin_request(&self) -> CounterGuard<'_> {
        add_guarded(&self.in_flight, 1)
    }

    /// Reserves memory for a request body while the guard exists; `None` if the limit is exceeded.
    pub fn reserve(&self, bytes: usize) -> Option<CounterGuard<'_>> {
        let mut guard = add_guarded(&self.buffered_bytes, 0);
        self.reserve_more(&mut guard, bytes).then_some(guard)
    }

    /// Reserves more memory for a request body; returns whether the total is within the limit. The
    /// bytes count until the guard is dropped, even if the total is above the limit.
    pub fn reserve_more(&self, guard: &mut CounterGuard<'_>, bytes: usize) -> bool {
        guard.amount += bytes;
        self.buffered_bytes.fetch_add(bytes, Ordering::SeqCst) + bytes
            <= self.limits().buffered_bytes_max
    }
}

fn add_guarded(counter: &AtomicUsize, amount: usize) -> CounterGuard<'_> {
    counter.fetch_add(amount, Ordering::SeqCst);
    CounterGuard { counter, amount }
}

/// Drops the state of servers that have left the instance list; never returns.
pub async fn forget_vanished_servers(router: Arc<Router>) {
    loop {
        timer::sleep(CLEANUP_PERIOD).await;
        let roster = router.daemon.view.roster();
        let is_listed = |name: &str| roster.find(name).is_some();
        router.idle_connections.retain(is_listed);
        router.balancer().retain(is_listed);
        if let Some(locality) = router.locality().as_mut() {
            let has_servers = |pool: &str| roster.instances.iter().any(|one| *one.pool == *pool);
            locality.retain(has_servers);
        }
        router.daemon.view.clean_up_notices();
        rate::clean_up(&router.daemon, is_listed);
        forget_vanished_workspaces(&router.daemon);
    }
}

/// Drops the quotas of workspaces that the configuration does not declare.
fn forget_vanished_workspaces(daemon: &Daemon) {
    let Some(snapshot) = daemon.view.config() else { return };
    let declared = snapshot.deployment.workspaces.iter().map(|workspace| &*workspace.name);
    let mut names: Vec<&str> = declared.collect();
    names.sort_unstable();
    daemon.quotas.retain(|workspace| names.binary_search(&workspace).is_ok());
}
