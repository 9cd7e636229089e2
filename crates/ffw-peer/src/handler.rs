//! What a daemon does when a peer calls: one closure a call, given by the daemon's parts.

use {
    crate::service::{Burn, Peer, RenewalReply, Status, Updates, Versions},
    ffw_protocol::{
        admission::{Ask, Attempt, Renewal, Verdict},
        config::Version,
        ledger::{Record, Segment},
    },
    std::{future::Future, pin::Pin, sync::Arc},
    tarpc::context::Context,
};

/// An answer that is worked out in the background.
pub type Reply<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Answers a call that carries one value.
pub type Handler<A, T> = Box<dyn Fn(A) -> Reply<T> + Send + Sync>;

/// An ask with the pool it is for.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Pool.
    pub pool: Arc<str>,
    /// Daemons before the receiver in the order of ownership that the caller can't reach.
    pub suspects: Vec<Arc<str>>,
    /// The ask.
    pub ask: Ask,
}

/// Ledger records to hold for another daemon.
#[derive(Clone, Debug)]
pub struct HeldRecords {
    /// Records that are not stored yet.
    pub segment: Segment,
    /// Number of the last record that is stored.
    pub stored: u64,
}

/// Answers to all calls.
pub struct Handlers {
    /// Answers [`Peer::admit`].
    pub admit: Handler<Admission, Verdict>,
    /// Answers [`Peer::renew`].
    pub renew: Handler<Renewal, RenewalReply>,
    /// Answers [`Peer::disowned`].
    pub disowned: Handler<Vec<Attempt>, Vec<Attempt>>,
    /// Answers [`Peer::news`].
    pub news: Handler<Versions, Updates>,
    /// Answers [`Peer::offer_config`].
    pub offer_config: Handler<Version, u64>,
    /// Answers [`Peer::hold_records`].
    pub hold_records: Handler<HeldRecords, bool>,
    /// Answers [`Peer::records_of`].
    pub records_of: Handler<Arc<str>, Vec<Record>>,
    /// Answers [`Peer::grants_of`].
    pub grants_of: Handler<u64, Vec<Record>>,
    /// Answers [`Peer::burn`].
    pub burn: Handler<(), Vec<Burn>>,
    /// Answers [`Peer::status`].
    pub status: Handler<(), Status>,
}

#[derive(Clone)]
pub(crate) struct Service {
    handlers: Arc<Handlers>,
}

impl Service {
    pub(crate) fn new(handlers: Handlers) -> Service {
        Service { handlers: Arc::new(handlers) }
    }
}

impl Peer for Service {
    async fn admit(self, _: Context, pool: Arc<str>, suspects: Vec<Arc<str>>, ask: Ask) -> Verdict {
        (self.handlers.admit)(Admission { pool, suspects, ask }).await
    }

    async fn renew(self, _: Context, renewal: Renewal) -> RenewalReply {
        (self.handlers.renew)(renewal).await
    }

    async fn disowned(self, _: Context, attempts: Vec<Attempt>) -> Vec<Attempt> {
        (self.handlers.disowned)(attempts).await
    }

    async fn news(self, _: Context, known: Versions) -> Updates {
        (self.handlers.news)(known).await
    }

    async fn offer_config(self, _: Context, version: Version) -> u64 {
        (self.handlers.offer_config)(version).await
    }

    async fn hold_records(self, _: Context, segment: Segment, stored: u64) -> bool {
        (self.handlers.hold_records)(HeldRecords { segment, stored }).await
    }

    async fn records_of(self, _: Context, request: Arc<str>) -> Vec<Record> {
        (self.handlers.records_of)(request).await
    }

    async fn grants_of(self, _: Context, epoch: u64) -> Vec<Record> {
        (self.handlers.grants_of)(epoch).await
    }

    async fn burn(self, _: Context) -> Vec<Burn> {
        (self.handlers.burn)(()).await
    }

    async fn status(self, _: Context) -> Status {
        (self.handlers.status)(()).await
    }
}
