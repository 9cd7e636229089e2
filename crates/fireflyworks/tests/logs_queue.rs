//! Logs whose reader has stopped, and more lines than are written.

use {
    fireflyworks::logs::Queue,
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
    state: Arc<(Mutex<bool>, Condvar)>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
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

impl Write for Gate {
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

#[test]
fn nobody_waits_for_a_reader_that_has_stopped() {
    let gate = Gate::default();
    let mut queue = Queue::start(gate.clone());
    // More than the queue and the output hold: whoever waited would wait for ever.
    for number in 0..20_000 {
        writeln!(queue, "[WARN] event=test number={number}").expect("never fails");
    }
    gate.open();
    writeln!(queue, "[WARN] event=last").expect("never fails");
    assert!(gate.wait_for("log_lines_left_out count="), "{}", gate.text().len());
}

#[test]
fn warnings_are_kept_before_other_lines() {
    let gate = Gate::default();
    gate.open();
    let mut queue = Queue::start(gate.clone());
    for number in 0..1_500 {
        writeln!(queue, "[INFO] event=often number={number}").expect("never fails");
    }
    writeln!(queue, "[WARN] event=kept").expect("never fails");
    assert!(gate.wait_for("event=kept"));
    let often = gate.text().matches("event=often").count();
    assert!(often < 1_500, "all of {often} lines of one kind were written");
}
