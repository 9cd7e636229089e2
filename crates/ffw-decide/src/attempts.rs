//! What the attempts of one request show of whether the request has run.
//!
//! An attempt counts from before its first byte is sent, so that the request may have run however
//! the attempt ends: by an answer, a time limit, a caller that leaves, or a panic. Only the
//! server's own statement that it did not run the attempt takes that back.

use {
    ffw_protocol::error::{Error, Run},
    std::sync::atomic::{AtomicU32, Ordering},
};

/// Account of the attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Attempts that may have run, or may still run.
    unresolved: AtomicU32,
}

impl Attempts {
    /// Records that an attempt is about to be sent.
    pub fn begin(&self) {
        self.unresolved.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that the server of the attempt that was begun last has not run it and will not.
    pub fn prove_not_run(&self) {
        let previous = self.unresolved.fetch_sub(1, Ordering::SeqCst);
        debug_assert!(previous > 0, "a statement about an attempt that was not begun");
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.unresolved.load(Ordering::SeqCst) > 0
    }

    /// The error as the caller may be told it: *not run* only if no attempt may have run.
    pub fn qualify(&self, error: Error) -> Error {
        match (error.run, self.may_have_run()) {
            (Run::Ran, _) => error,
            (_, true) => error.run(Run::Unknown),
            (_, false) => error.run(Run::Not),
        }
    }
}
