//! Guards against a task that keeps its worker thread as long as its connection has bytes, so that
//! neither other tasks nor its own time limit get a turn.

use {
    ffw_runtime::{coop::Coop, timer},
    futures_lite::{AsyncReadExt as _, io},
    smol::LocalExecutor,
    std::{cell::Cell, time::Duration},
};

/// Most reads in a row without a turn for another task.
const READS_MAX: u32 = 16;

#[test]
fn a_reader_that_always_has_bytes_lets_others_run() {
    let (reads, turns) = (Cell::new(0_u32), Cell::new(0_u32));
    let executor = LocalExecutor::new();
    let reader = executor.spawn(async {
        let mut endless = Coop::new(io::repeat(b'x'));
        let mut buffer = [0; 64];
        for _ in 0..10_000 {
            endless.read_exact(&mut buffer).await.expect("bytes");
            reads.set(reads.get() + 1);
        }
    });
    let other = executor.spawn(async {
        loop {
            let before = reads.get();
            smol::future::yield_now().await;
            turns.set(turns.get() + 1);
            assert!(reads.get() - before <= READS_MAX, "{} reads in a row", reads.get() - before);
        }
    });
    smol::block_on(executor.run(reader));
    drop(other);
    assert!(turns.get() >= 10_000 / READS_MAX, "{} turns", turns.get());
}

#[test]
fn a_time_limit_ends_a_reader_that_always_has_bytes() {
    smol::block_on(async {
        let mut endless = Coop::new(io::repeat(b'x'));
        let reading = io::copy(&mut endless, io::sink());
        let copied = timer::timeout(Duration::from_millis(50), reading).await;
        assert!(copied.is_none(), "bytes without end have ended");
    });
}
