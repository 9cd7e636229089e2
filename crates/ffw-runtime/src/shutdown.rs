//! SIGTERM and SIGINT as an event that tasks can wait for.

use {
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    smol::channel::{self, Receiver},
    std::{io, thread},
};

/// Starts listening for the signals; the receiver yields once for each.
///
/// # Errors
/// The handlers could not be installed.
pub fn listen() -> io::Result<Receiver<i32>> {
    let (sender, receiver) = channel::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if sender.try_send(signal).is_err() {
                break;
            }
        }
    })?;
    Ok(receiver)
}
