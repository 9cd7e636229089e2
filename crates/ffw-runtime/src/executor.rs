//! One executor a process, worked by several threads.

use {
    smol::{Executor, Task, future},
    std::{future::Future, sync::OnceLock, thread},
};

static EXECUTOR: OnceLock<Executor<'static>> = OnceLock::new();

/// Most threads that work the executor.
const MAX_THREADS: usize = 4;

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
