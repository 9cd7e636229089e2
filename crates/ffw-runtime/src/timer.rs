//! Timers: sleeping, periodic calls until a subscription is dropped, and time limits on the
//! duration or on the inactivity of a task.

use {
    crate::{clock, executor},
    smol::{Task, Timer},
    std::{
        future::Future,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// A running periodic call; dropping it ends the calls.
#[derive(Debug)]
pub struct Subscription(#[allow(dead_code, reason = "held for its drop")] Task<()>);

/// Waits for a duration.
pub async fn sleep(span: Duration) {
    Timer::after(span).await;
}

/// Calls `action` repeatedly until the subscription is dropped. The first call starts after one
/// `period`; each further one starts a `period` after the end of the previous call.
pub fn run_periodically<F, Fut>(period: Duration, mut action: F) -> Subscription
where
    F: FnMut() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    Subscription(executor::spawn(async move {
        loop {
            Timer::after(period).await;
            action().await;
        }
    }))
}

/// The output of `task`, or `None` if it takes longer than `limit`.
///
/// A task that is ready at the first poll creates no timer, because arming one wakes the reactor.
pub async fn timeout<T>(limit: Duration, task: impl Future<Output = T>) -> Option<T> {
    let mut task = std::pin::pin!(task);
    if let Some(output) = futures_lite::future::poll_once(&mut task).await {
        return Some(output);
    }
    let expired = async {
        Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(task.await) }, expired).await
}

/// Time of the latest activity of a task, which [`with_idle_timeout`] checks.
#[derive(Debug, Default)]
pub struct Activity {
    last_ms: AtomicU64,
}

impl Activity {
    /// Records activity at the present time.
    pub fn record(&self) {
        self.last_ms.store(clock::elapsed().as_millis() as u64, Ordering::Relaxed);
    }
}

/// Number of checks for inactivity per limit.
const CHECKS_PER_LIMIT: u32 = 4;

/// The output of `task`, or `None` if no activity was recorded for `limit`. Inactivity is detected
/// up to a quarter of `limit` late, because it is checked four times per `limit`: recording
/// activity is then a single atomic store and doesn't rearm a timer.
pub async fn with_idle_timeout<T>(
    limit: Duration,
    activity: &Activity,
    task: impl Future<Output = T>,
) -> Option<T> {
    activity.record();
    let inactive = async {
        loop {
            Timer::after(limit / CHECKS_PER_LIMIT).await;
            let last = Duration::from_millis(activity.last_ms.load(Ordering::Relaxed));
            if clock::elapsed().saturating_sub(last) >= limit {
                return None;
            }
        }
    };
    smol::future::or(async { Some(task.await) }, inactive).await
}
