//! The timer service: parts of the daemon subscribe to a period and are called by one task each
//! period, until their subscription is dropped.

use {
    crate::{clock, executor},
    smol::{Task, Timer},
    std::{
        future::Future,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// A running subscription; dropping it ends the calls.
#[derive(Debug)]
pub struct Subscription(#[allow(dead_code, reason = "held for its drop")] Task<()>);

/// Waits for a span.
pub async fn sleep(span: Duration) {
    Timer::after(span).await;
}

/// Calls `action` each `period`, one call at a time, the first after one period.
pub fn every<F, Fut>(period: Duration, mut action: F) -> Subscription
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
/// A task that is ready at once costs no timer: arming one wakes the reactor.
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

/// Notes activity, for a [`watch`] to look at.
#[derive(Debug, Default)]
pub struct Activity {
    last_ms: AtomicU64,
}

impl Activity {
    /// Notes that something has happened now.
    pub fn note(&self) {
        self.last_ms.store(clock::elapsed().as_millis() as u64, Ordering::Relaxed);
    }
}

/// Looks at each stretch of inactivity, in parts of the limit.
const LOOKS: u32 = 4;

/// The output of `task`, or `None` if nothing was noted for `limit`, give or take a quarter. One
/// timer serves the whole task, however often activity is noted.
pub async fn watch<T>(
    limit: Duration,
    activity: &Activity,
    task: impl Future<Output = T>,
) -> Option<T> {
    activity.note();
    let inactive = async {
        loop {
            Timer::after(limit / LOOKS).await;
            let last = Duration::from_millis(activity.last_ms.load(Ordering::Relaxed));
            if clock::elapsed().saturating_sub(last) >= limit {
                return None;
            }
        }
    };
    smol::future::or(async { Some(task.await) }, inactive).await
}
