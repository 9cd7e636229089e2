//! The process's executor and its worker threads.

use {
    smol::{Executor, Task, future},
    std::{
        future::Future,
        panic,
        sync::{OnceLock, mpsc},
        thread,
    },
};

static EXECUTOR: OnceLock<Executor<'static>> = OnceLock::new();

/// Maximum number of worker threads. An idle worker polls the reactor itself, so that most events
/// are handled by the thread that receives them; each additional thread causes more hand-overs
/// between threads.
const MAX_THREADS: usize = 2;

fn executor() -> &'static Executor<'static> {
    EXECUTOR.get_or_init(|| {
        let threads = thread::available_parallelism().map_or(1, |count| count.get());
        for index in 0..threads.min(MAX_THREADS) {
            let spawned = thread::Builder::new().name(format!("worker-{index}")).spawn(run_worker);
            drop(spawned);
        }
        Executor::new()
    })
}

/// Runs tasks; never returns. A task that panics ends, and the others go on.
fn run_worker() {
    loop {
        let running = || smol::block_on(executor().run(future::pending::<()>()));
        // The panic hook has reported the panic.
        drop(panic::catch_unwind(running));
    }
}

/// Runs a task on the process's executor; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    executor().spawn(task)
}

/// Runs a task on the process's executor without a handle to it.
pub fn detach(task: impl Future<Output = ()> + Send + 'static) {
    spawn(task).detach();
}

/// Runs a task on the process's executor and blocks the calling thread until the task ends.
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

/// Size of an input, in bytes, above which its parsing would delay the other tasks.
const LARGE_INPUT_BYTES: usize = 64 << 10;

/// Runs work whose processor time grows with the size of its input, in bytes. With a large input it
/// runs on a thread of its own, so that the worker threads go on with other tasks.
pub async fn run_sized<T: Send + 'static>(
    bytes: usize,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    if bytes > LARGE_INPUT_BYTES { smol::unblock(work).await } else { work() }
}
