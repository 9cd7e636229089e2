//! Logs: a line of key=value pairs for each event, on standard output.
//!
//! Logging never blocks: lines go through a bounded queue to a separate writer thread, so that
//! a reader that has stopped can't stall the daemon. Lines that do not fit are dropped and counted,
//! and the count is logged before the next line. Beyond a number of lines a second, only warnings
//! and errors are kept.

use {
    log::LevelFilter,
    simplelog::{ConfigBuilder, WriteLogger},
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{self, Receiver, SyncSender},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Largest number of lines in the queue.
const QUEUE_LINES_MAX: usize = 2_000;

/// Lines per second beyond which only warnings and errors are kept.
const LINES_PER_SECOND_MAX: u32 = 400;

/// Starts logging to standard output; a second call has no effect.
pub fn start(level: LevelFilter) {
    let mut builder = ConfigBuilder::new();
    builder
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("tarpc");
    // Fails only in a second call; the logger of the first stays in use.
    WriteLogger::init(level, builder.build(), Queue::start(io::stdout())).ok();
}

/// Sending end of the queue of log lines; splits what is written to it into lines.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
    second_start: Instant,
    lines_in_second: u32,
}

impl Queue {
    /// Starts the writer thread, which writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Queue {
        let (lines, receiver) = mpsc::sync_channel(QUEUE_LINES_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let work = move || write_lines(output, &receiver, &counter);
        if let Err(err) = thread::Builder::new().name("logs".into()).spawn(work) {
            eprintln!("event=logs_unavailable error=\"{err}\"");
        }
        let (line, second_start) = (Vec::new(), Instant::now());
        Queue { lines, dropped, line, second_start, lines_in_second: 0 }
    }

    fn send_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.second_start.elapsed() >= Duration::from_secs(1) {
            (self.second_start, self.lines_in_second) = (Instant::now(), 0);
        }
        self.lines_in_second += 1;
        let is_kept = self.lines_in_second <= LINES_PER_SECOND_MAX || is_important(&line);
        if !is_kept || self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for byte in bytes {
            self.line.push(*byte);
            if *byte == b'\n' {
                self.send_line();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn is_important(line: &[u8]) -> bool {
    let has = |level: &[u8]| line.windows(level.len()).any(|part| part == level);
    has(b"[WARN]") || has(b"[ERROR]")
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        let summary = match count {
            0 => String::new(),
            count => format!("[WARN] event=log_lines_left_out count={count}\n"),
        };
        let written = output.write_all(summary.as_bytes()).and_then(|()| output.write_all(&line));
        // The reader has closed the output; the daemon continues without logs.
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
