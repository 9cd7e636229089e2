//! Guards against a task that panics and takes its worker thread with it: after a few of them the
//! process would run nothing any more.

use {
    ffw_runtime::{executor, timer},
    std::time::Duration,
};

#[test]
fn tasks_go_on_after_others_have_panicked() {
    for number in 0..8 {
        executor::detach(async move { panic!("panic {number}, which is expected here") });
    }
    smol::block_on(async {
        timer::sleep(Duration::from_millis(50)).await;
        let answering = executor::spawn(async { 7 });
        assert_eq!(timer::timeout(Duration::from_secs(5), answering).await, Some(7));
    });
}
