//! Delivers SIGTERM, SIGINT and SIGHUP as events that tasks can wait for.

use {
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    smol::channel::{self, Receiver},
    std::{io, thread},
};

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut the process down: SIGTERM or SIGINT.
    Stop,
    /// Reload the settings: SIGHUP.
    Reload,
}

/// Starts listening for the signals; the receiver yields one value per signal.
///
/// # Errors
/// The signal handlers could not be installed, or the thread could not be started.
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
