//! One executor a process, worked by several threads.

use {
    smol::{Executor, Task, future},
    std::{
        future::Future,
        sync::{OnceLock, mpsc},
        thread,
    },
};

static EXECUTOR: OnceLock<Executor<'static>> = OnceLock::new();

/// Most threads that work the executor. An idle one drives the reactor itself, so that an event is
/// mostly handled by the thread that sees it; each further thread costs hand-overs.
const MAX_THREADS: usize = 2;

fn executor() -> &'static Executor<'static> {
    EXECUTOR.get_or_init(|| {
        let threads = thread::available_parallelism().map_or(1, |count| count.get());
        for index in 0..threads.min(MAX_THREADS) {
            let work = || smol::block_on(executor().run(future::pending::<()>()));
            let built = thread::Builder::new().name(format!("worker-{index}")).spawn(work);
            drop(built);
        }
        Executor::new()
    })
}

/// Runs a task on the process's executor; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    executor().spawn(task)
}

/// Runs a task that nobody waits for.
pub fn detach(task: impl Future<Output = ()> + Send + 'static) {
    spawn(task).detach();
}

/// Runs a task to its end on the executor, while the calling thread sleeps.
///
/// # Errors
/// The task panicked.
pub fn run<T: Send + 'static>(
    task: impl Future<Output = T> + Send + 'static,
) -> Result<T, mpsc::RecvError> {
    let (sender, receiver) = mpsc::sync_channel(1);
    detach(async move {
        sender.send(task.await).ok();
    });
    receiver.recv()
}
