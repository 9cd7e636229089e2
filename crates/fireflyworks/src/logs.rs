//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Whoever logs never waits: lines go through a bounded queue to a thread of their own. What doesn't
//! fit is left out, counted, and said so; of each second's lines, warnings and errors are kept before
//! the others.

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

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 2_000;

/// Lines a second beyond which only warnings and errors are kept.
const LINES_A_SECOND: u32 = 400;

/// Starts logging; a second call changes nothing.
pub fn start(level: LevelFilter) {
    let mut builder = ConfigBuilder::new();
    builder
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("tarpc");
    // Only a second call fails, which then uses the logger of the first.
    WriteLogger::init(level, builder.build(), Queue::start(io::stdout())).ok();
}

/// The writing end of the queue.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
    line: Vec<u8>,
    second: Instant,
    in_second: u32,
}

impl Queue {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Queue {
        let (lines, waiting) = mpsc::sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();
        let work = move || write_lines(output, &waiting, &counter);
        if let Err(err) = thread::Builder::new().name("logs".into()).spawn(work) {
            eprintln!("event=logs_unavailable error=\"{err}\"");
        }
        let (line, second) = (Vec::new(), Instant::now());
        Queue { lines, left_out, line, second, in_second: 0 }
    }

    fn send_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.second.elapsed() >= Duration::from_secs(1) {
            (self.second, self.in_second) = (Instant::now(), 0);
        }
        self.in_second += 1;
        let may_go = self.in_second <= LINES_A_SECOND || is_important(&line);
        if !may_go || self.lines.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
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

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        let count = left_out.swap(0, Ordering::Relaxed);
        let summary = match count {
            0 => String::new(),
            count => format!("[WARN] event=log_lines_left_out count={count}\n"),
        };
        let written = output.write_all(summary.as_bytes()).and_then(|()| output.write_all(&line));
        // Nobody reads the logs any more; the daemon goes on without.
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
