//! A request while it is processed, with the results of the filters that have run.

use {
    crate::{filter::limit::Permit, openai::Call},
    ffw_control::{daemon::Daemon, identity, snapshot::Snapshot},
    ffw_protocol::{
        declaration::{Service, Workspace},
        error::{Error, Kind, Result},
        id,
        time::Moment,
    },
    http_types::{Method, Request},
    std::sync::Arc,
};

/// Kind of request, as determined from its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A text completion.
    Completion,
    /// A chat completion.
    Chat,
    /// A call to a plain service: an HTTP service that is not a model engine.
    Plain {
        /// Path and query to request from the service.
        target: Arc<str>,
    },
    /// The ledger records of an earlier request of the same workspace.
    Records {
        /// Id of that request.
        request_id: Arc<str>,
    },
}

/// A request and the results of the filters.
#[derive(Debug)]
pub struct Exchange {
    /// Id, unique across daemons.
    pub id: id::Request,
    /// Time of arrival.
    pub arrived: Moment,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// Kind of request; [`Route::Completion`] until it is classified.
    pub route: Route,
    /// The HTTP request. The parse filter consumes its body.
    pub request: Request,
    /// Body; empty until the parse filter has read it.
    pub body: Arc<[u8]>,
    /// Configuration used for the whole request, even if a newer one is accepted meanwhile; `None`
    /// before authentication.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Workspace; `None` before authentication.
    pub workspace: Option<Arc<Workspace>>,
    /// Service; `None` before classification, and for [`Route::Records`].
    pub service: Option<Service>,
    /// Parsed model call; `None` before the parse filter, and for other kinds of request.
    pub call: Option<Call>,
    /// Counts this request among the open requests of its workspace until dropped; `None` before
    /// the limit filter, and once moved to the task that serves the request.
    pub permit: Option<Permit>,
    /// Whether the code that serves the request records its errors too; otherwise the listener
    /// records them.
    pub records_errors: bool,
}

impl Exchange {
    /// Creates the exchange of a request that arrives now.
    pub fn new(daemon: &Daemon, request: Request) -> Exchange {
        let url = request.url();
        let target = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Exchange {
            id: daemon.identity.next_request(),
            arrived: identity::now(),
            method: request.method(),
            target: target.into(),
            route: Route::Completion,
            request,
            body: Arc::new([]),
            snapshot: None,
            workspace: None,
            service: None,
            call: None,
            permit: None,
            records_errors: false,
        }
    }

    /// The last value of a header; `None` if the request does not have it.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.last().as_str())
    }

    /// The authenticated workspace.
    ///
    /// # Errors
    /// [`Kind::Unauthenticated`] before the authentication filter has run.
    pub fn workspace(&self) -> Result<&Workspace> {
        self.workspace
            .as_deref()
            .ok_or_else(|| Error::new(Kind::Unauthenticated, "the request is not authenticated"))
    }

    /// The service of the request.
    ///
    /// # Errors
    /// [`Kind::UnknownService`] if the request has no service: before the classification filters
    /// have determined it, and for [`Route::Records`].
    pub fn service(&self) -> Result<&Service> {
        self.service.as_ref().ok_or_else(|| {
            Error::new(Kind::UnknownService, "the service of the request is not determined")
        })
    }

    /// The configuration used for this request.
    ///
    /// # Errors
    /// [`Kind::NotReady`] before the authentication filter has run.
    pub fn snapshot(&self) -> Result<&Arc<Snapshot>> {
        self.snapshot.as_ref().ok_or_else(|| {
            Error::new(Kind::NotReady, "no configuration is assigned to the request")
        })
    }
}
