//! Identity of this daemon's process, ids of new requests, and its clocks.

use {
    ffw_protocol::{id, time::Moment},
    ffw_runtime::clock,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Identity of this process. A restart keeps the instance's name and changes the incarnation.
#[derive(Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Start of the process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Number of request ids given out so far.
    sequence: AtomicU64,
}

impl Identity {
    /// The identity of a process that starts now.
    pub fn new(instance: Arc<str>, data_centre: Arc<str>) -> Identity {
        let incarnation = clock::unix().as_micros() as u64;
        Identity { instance, incarnation, data_centre, sequence: AtomicU64::new(0) }
    }

    /// The id of a new request.
    pub fn next_request(&self) -> id::Request {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        id::Request { instance: self.instance.clone(), incarnation: self.incarnation, sequence }
    }

    /// Whether a request came to this process, and not to a former process of the instance.
    pub fn is_own(&self, request: &id::Request) -> bool {
        request.instance == self.instance && request.incarnation == self.incarnation
    }
}

/// The current time on this process's monotonic clock.
pub fn now() -> Moment {
    Moment(clock::elapsed().as_micros() as u64)
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    clock::unix().as_millis() as u64
}

/// Length of a span in whole milliseconds.
pub fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
