//! Tells subscribers that something has happened, without saying how often.

use {
    smol::channel::{self, Receiver, Sender},
    std::sync::{Mutex, PoisonError},
};

/// Something that happens now and then.
#[derive(Debug, Default)]
pub struct Signal {
    subscribers: Mutex<Vec<Sender<()>>>,
}

impl Signal {
    /// A channel that receives a message each time, unless it holds one already.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        let mut subscribers = self.subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|subscriber| !subscriber.is_closed());
        subscribers.push(sender);
        receiver
    }

    /// Sends the message.
    pub fn notify(&self) {
        let mut subscribers = self.subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|subscriber| !subscriber.is_closed());
        // A full channel holds a message that its subscriber has not read yet.
        for subscriber in subscribers.iter() {
            subscriber.try_send(()).ok();
        }
    }
}
