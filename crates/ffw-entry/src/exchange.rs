//! One request on its way through the filters.

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

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A text completion.
    Completion,
    /// A chat completion.
    Chat,
    /// A call of a plain service.
    Plain {
        /// Path at the service, with query.
        path: Arc<str>,
    },
    /// The workspace's own ledger records of a request.
    Records {
        /// Id of that request.
        request: Arc<str>,
    },
}

/// A request and what the filters found out about it.
#[derive(Debug)]
pub struct Exchange {
    /// Identity.
    pub id: id::Request,
    /// When it arrived.
    pub arrived: Moment,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: Arc<str>,
    /// What it asks for.
    pub route: Route,
    /// The request as read; its body is taken by the parse filter.
    pub request: Request,
    /// Body, once read.
    pub body: Arc<[u8]>,
    /// Configuration that the whole request is served under.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Workspace, once authenticated.
    pub workspace: Option<Workspace>,
    /// Service, once classified.
    pub service: Option<Service>,
    /// Model call, once parsed.
    pub call: Option<Call>,
    /// Counts it among the workspace's open requests.
    pub permit: Option<Permit>,
    /// Whether the part that serves it records its end.
    pub is_accounted: bool,
}

impl Exchange {
    /// A request that has just arrived.
    pub fn new(daemon: &Daemon, request: Request) -> Exchange {
        let url = request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Exchange {
            id: daemon.identity.next_request(),
            arrived: identity::now(),
            method: request.method(),
            path: path.into(),
            route: Route::Completion,
            request,
            body: Arc::new([]),
            snapshot: None,
            workspace: None,
            service: None,
            call: None,
            permit: None,
            is_accounted: false,
        }
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.last().as_str())
    }

    /// The workspace.
    ///
    /// # Errors
    /// [`Kind::Unauthenticated`] before the authenticate filter.
    pub fn workspace(&self) -> Result<&Workspace> {
        self.workspace.as_ref().ok_or_else(|| Error::new(Kind::Unauthenticated, "no workspace"))
    }

    /// The service.
    ///
    /// # Errors
    /// [`Kind::UnknownService`] before the classify filter.
    pub fn service(&self) -> Result<&Service> {
        self.service.as_ref().ok_or_else(|| Error::new(Kind::UnknownService, "no service"))
    }

    /// The configuration.
    ///
    /// # Errors
    /// [`Kind::NotReady`] before the authenticate filter.
    pub fn snapshot(&self) -> Result<&Arc<Snapshot>> {
        self.snapshot.as_ref().ok_or_else(|| Error::new(Kind::NotReady, "no configuration"))
    }
}
