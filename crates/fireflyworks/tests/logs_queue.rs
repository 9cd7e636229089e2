//! The queue between the logging threads and the output.
//!
//! Guards against a daemon that blocks because nobody reads its log, and against a flood of
//! lines that displaces warnings.

use {
    fireflyworks::logs::Queue,
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// An output whose writes block until it is opened.
#[derive(Clone, Default)]
struct BlockedOutput {
    state: Arc<(Mutex<bool>, Condvar)>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl BlockedOutput {
    fn open(&self) {
        *self.state.0.lock().expect("no panic") = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.text.lock().expect("no panic").clone()).expect("text")
    }

    fn wait_for(&self, part: &str) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(10) {
            if self.text().contains(part) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut is_open = self.state.0.lock().expect("no panic");
        while !*is_open {
            is_open = self.state.1.wait(is_open).expect("no panic");
        }
        self.text.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stops reading. Guards against a logging thread that waits for it, and
/// against dropped lines that are not counted in the log.
#[test]
fn a_stopped_reader_blocks_no_logging_thread() {
    let output = BlockedOutput::default();
    let mut queue = Queue::start(output.clone());
    // More lines than the queue and the output accept: a writer that waits would never return.
    for number in 0..20_000 {
        writeln!(queue, "[WARN] event=test number={number}").expect("never fails");
    }
    output.open();
    writeln!(queue, "[WARN] event=last").expect("never fails");
    assert!(output.wait_for("log_lines_left_out count="), "{}", output.text().len());
}

/// One event is logged more often than lines are written in a second. Guards against a warning
/// that is dropped with the other lines.
#[test]
fn warnings_are_kept_before_other_lines() {
    let output = BlockedOutput::default();
    output.open();
    let mut queue = Queue::start(output.clone());
    for number in 0..1_500 {
        writeln!(queue, "[INFO] event=often number={number}").expect("never fails");
    }
    writeln!(queue, "[WARN] event=kept").expect("never fails");
    assert!(output.wait_for("event=kept"));
    let often = output.text().matches("event=often").count();
    assert!(often < 1_500, "all {often} lines of one event were written");
}
