//! Work on large inputs beside other tasks.
//!
//! Guards against requests that wait while a large configuration is decoded.

use {
    ffw_runtime::{executor, timer},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Processor time of each piece of work; for that long, its thread does nothing else.
const WORK_TIME: Duration = Duration::from_millis(400);

/// Size of the largest object that the users' store accepts, in bytes.
const LARGE: usize = 1_048_576;

/// More pieces of work than the executor has threads begin at once.
#[test]
fn large_inputs_delay_no_other_task() {
    let longest_delay = executor::run(async {
        let work = || async { executor::run_sized(LARGE, || thread::sleep(WORK_TIME)).await };
        let pieces: Vec<_> = (0..8).map(|_| executor::spawn(work())).collect();
        let mut longest = Duration::ZERO;
        let started_at = Instant::now();
        while started_at.elapsed() < WORK_TIME {
            let asleep_since = Instant::now();
            timer::sleep(Duration::from_millis(5)).await;
            longest = longest.max(asleep_since.elapsed());
        }
        for piece in pieces {
            piece.await;
        }
        longest
    });
    let longest_delay = longest_delay.expect("the executor runs");
    assert!(longest_delay < WORK_TIME / 4, "a task waited for {longest_delay:?}");
}
