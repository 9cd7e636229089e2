//! SIGTERM, SIGINT and SIGHUP as events that tasks can wait for.

use {
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    smol::channel::{self, Receiver},
    std::{io, thread},
};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The process is to end.
    Stop,
    /// The settings have changed.
    Reload,
}

/// Starts listening for the signals; the receiver yields once for each.
///
/// # Errors
/// The handlers could not be installed.
pub fn listen() -> io::Result<Receiver<Signal>> {
    let (sender, receiver) = channel::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            let signal = if signal == SIGHUP { Signal::Reload } else { Signal::Stop };
            if sender.try_send(signal).is_err() {
                break;
            }
        }
    })?;
    Ok(receiver)
}
