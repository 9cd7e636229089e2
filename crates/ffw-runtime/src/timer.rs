//! The timer service: parts of the daemon subscribe to a period and are called by one task each
//! period, until their subscription is dropped.

use {
    crate::executor,
    smol::{Task, Timer},
    std::{future::Future, time::Duration},
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
pub async fn timeout<T>(limit: Duration, task: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(task.await) }, expired).await
}
