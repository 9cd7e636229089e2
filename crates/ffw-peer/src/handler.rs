//! Handlers for the calls of peers: one closure per call, provided by the parts of the daemon.

use {
    crate::service::{Burn, Peer, RenewalReply, Status, Updates, Versions},
    ffw_protocol::{
        admission::{Ask, Attempt, Renewal, Verdict},
        belief::Confirmation,
        config::Version,
        ledger::{Record, Segment},
        origin,
        quarantine::{Beginning, Beginnings, Evidence, Exchange, Hold},
        quota, rate, software,
    },
    std::{future::Future, pin::Pin, sync::Arc},
    tarpc::context::Context,
};

/// The future answer to a call.
pub type Reply<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Handler of a call with one argument; several arguments are combined into one value.
pub type Handler<A, T> = Box<dyn Fn(A) -> Reply<T> + Send + Sync>;

/// An admission request with its pool.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Names of the daemons that precede the receiver in the order of ownership and that the entry
    /// can't reach.
    pub suspects: Vec<Arc<str>>,
    /// The admission request.
    pub ask: Ask,
}

/// Ledger records to hold for another daemon.
#[derive(Clone, Debug)]
pub struct HeldRecords {
    /// Records that are not stored in the object API yet.
    pub segment: Segment,
    /// Number of the last record that is stored there.
    pub stored: u64,
}

/// Handlers of all calls.
pub struct Handlers {
    /// Handles [`Peer::admit`].
    pub admit: Handler<Admission, Verdict>,
    /// Handles [`Peer::renew`].
    pub renew: Handler<Renewal, RenewalReply>,
    /// Handles [`Peer::disowned`].
    pub disowned: Handler<Vec<Attempt>, Vec<Attempt>>,
    /// Handles [`Peer::news`].
    pub news: Handler<Versions, Updates>,
    /// Handles [`Peer::offer_config`].
    pub offer_config: Handler<Version, u64>,
    /// Handles [`Peer::hold_records`].
    pub hold_records: Handler<HeldRecords, bool>,
    /// Handles [`Peer::records_of`].
    pub records_of: Handler<Arc<str>, Vec<Record>>,
    /// Handles [`Peer::grants_of`].
    pub grants_of: Handler<u64, Vec<Record>>,
    /// Handles [`Peer::burn`].
    pub burn: Handler<(), Vec<Burn>>,
    /// Handles [`Peer::status`].
    pub status: Handler<(), Status>,
    /// Handles [`Peer::exchange_evidence`].
    pub exchange_evidence: Handler<Exchange, Option<Evidence>>,
    /// Handles [`Peer::quarantined`].
    pub quarantined: Handler<(), Vec<Hold>>,
    /// Handles [`Peer::lift_quarantine`].
    pub lift_quarantine: Handler<u64, bool>,
    /// Handles [`Peer::take_permits`].
    pub take_permits: Handler<rate::Ask, rate::Grant>,
    /// Handles [`Peer::confirmations`].
    pub confirmations: Handler<(), Vec<Confirmation>>,
    /// Handles [`Peer::take_quota`].
    pub take_quota: Handler<quota::Ask, quota::Grant>,
    /// Handles [`Peer::record_origins`].
    pub record_origins: Handler<Vec<origin::Record>, bool>,
    /// Handles [`Peer::find_origin`].
    pub find_origin: Handler<origin::Key, Option<software::Version>>,
    /// Handles [`Peer::software_of`].
    pub software_of: Handler<Vec<Arc<str>>, Vec<Option<software::Version>>>,
    /// Handles [`Peer::exchange_beginnings`].
    pub exchange_beginnings: Handler<Beginnings, Vec<Beginning>>,
}

#[derive(Clone)]
pub(crate) struct PeerService {
    handlers: Arc<Handlers>,
}

impl PeerService {
    pub(crate) fn new(handlers: Handlers) -> PeerService {
        PeerService { handlers: Arc::new(handlers) }
    }
}

impl Peer for PeerService {
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

    async fn exchange_evidence(self, _: Context, exchange: Exchange) -> Option<Evidence> {
        (self.handlers.exchange_evidence)(exchange).await
    }

    async fn quarantined(self, _: Context) -> Vec<Hold> {
        (self.handlers.quarantined)(()).await
    }

    async fn lift_quarantine(self, _: Context, part: u64) -> bool {
        (self.handlers.lift_quarantine)(part).await
    }

    async fn take_permits(self, _: Context, ask: rate::Ask) -> rate::Grant {
        (self.handlers.take_permits)(ask).await
    }

    async fn confirmations(self, _: Context) -> Vec<Confirmation> {
        (self.handlers.confirmations)(()).await
    }

    async fn take_quota(self, _: Context, ask: quota::Ask) -> quota::Grant {
        (self.handlers.take_quota)(ask).await
    }

    async fn record_origins(self, _: Context, records: Vec<origin::Record>) -> bool {
        (self.handlers.record_origins)(records).await
    }

    async fn find_origin(self, _: Context, key: origin::Key) -> Option<software::Version> {
        (self.handlers.find_origin)(key).await
    }

    async fn software_of(
        self,
        _: Context,
        servers: Vec<Arc<str>>,
    ) -> Vec<Option<software::Version>> {
        (self.handlers.software_of)(servers).await
    }

    async fn exchange_beginnings(self, _: Context, beginnings: Beginnings) -> Vec<Beginning> {
        (self.handlers.exchange_beginnings)(beginnings).await
    }
}
