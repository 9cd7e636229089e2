//! What is kept of a request: ledger records, metrics and service-level counts.

use {
    crate::exchange::Exchange,
    ffw_control::{
        daemon::Daemon,
        identity,
        ledger::{self, Subject},
    },
    ffw_decide::burn::{Sample, Target},
    ffw_http::server,
    ffw_protocol::{
        admission::Attempt,
        declaration::Service,
        error::{Error, Kind, Result},
        id,
        ledger::{Event, Record},
        time::Moment,
    },
    http_types::Response,
    std::{sync::Arc, time::Duration},
};

/// What the records of one request share.
#[derive(Clone, Debug)]
pub struct Account {
    /// The daemon.
    pub daemon: Arc<Daemon>,
    /// The request.
    pub request: id::Request,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Service.
    pub service: Service,
    /// When the request arrived.
    pub arrived: Moment,
}

/// How the answer of a request went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Output tokens or bytes delivered.
    pub delivered: u64,
    /// When the first token went out.
    pub first: Option<Moment>,
    /// When the last token went out.
    pub last: Option<Moment>,
}

impl Account {
    /// The account of a request whose service is known.
    ///
    /// # Errors
    /// The filters have not found workspace and service.
    pub fn new(daemon: &Arc<Daemon>, exchange: &Exchange) -> Result<Account> {
        Ok(Account {
            daemon: daemon.clone(),
            request: exchange.id.clone(),
            workspace: exchange.workspace()?.name.clone(),
            service: exchange.service()?.clone(),
            arrived: exchange.arrived,
        })
    }

    /// Notes an event of an attempt.
    pub fn note(&self, attempt: u32, event: Event) {
        let attempt = Attempt { request: self.request.clone(), number: attempt };
        let subject = Subject {
            attempt,
            workspace: self.workspace.clone(),
            service: self.service.name.clone(),
        };
        self.daemon.ledger.note(&subject, event);
    }

    /// Notes a whole answer.
    pub fn answered(&self, attempt: u32, delivery: &Delivery) {
        let now = identity::now();
        let first = delivery.first.unwrap_or(now).since(self.arrived);
        self.note(
            attempt,
            Event::Answered {
                delivered: delivery.delivered,
                first_ms: identity::millis(first),
                total_ms: identity::millis(now.since(self.arrived)),
            },
        );
        self.count("ok", delivery, true);
    }

    /// Notes an error as the request's end.
    pub fn failed(&self, attempt: u32, delivery: &Delivery, error: &Error) {
        self.note(attempt, Event::Failed { kind: error.kind, run: error.run });
        // A caller that left, or asked wrongly, has missed no target of ours.
        let is_ours = error.kind.row().status >= 500 && error.kind != Kind::CallerGone;
        if is_ours {
            self.count(error.kind.row().code, delivery, false);
        } else {
            let labels = [&*self.service.name, error.kind.row().code];
            self.daemon.metrics.requests.with_label_values(&labels).inc();
        }
    }

    /// Notes prompt tokens whose prefill was thrown away.
    pub fn wasted(&self, attempt: u32, tokens: u32) {
        self.note(attempt, Event::Wasted { tokens });
        let label = [&*self.service.name];
        self.daemon.metrics.wasted_prefill.with_label_values(&label).inc_by(u64::from(tokens));
    }

    fn count(&self, result: &str, delivery: &Delivery, is_whole: bool) {
        let metrics = &self.daemon.metrics;
        let name = &*self.service.name;
        metrics.requests.with_label_values(&[name, result]).inc();
        let first = delivery.first.map(|first| first.since(self.arrived));
        let between = between_tokens(delivery);
        if let Some(span) = first {
            metrics.first_token.with_label_values(&[name]).observe(span.as_secs_f64());
        }
        if let Some(span) = between {
            metrics.between_tokens.with_label_values(&[name]).observe(span.as_secs_f64());
        }
        let sample = Sample { first_token: first, between_tokens: between, is_whole };
        let target = Target {
            first_token: Duration::from_millis(self.service.first_token_ms),
            between_tokens: Duration::from_millis(self.service.between_tokens_ms),
        };
        let now = identity::now();
        self.daemon.burn().add(now, &self.service.name, &self.workspace, &sample, &target);
    }
}

fn between_tokens(delivery: &Delivery) -> Option<Duration> {
    let (first, last) = (delivery.first?, delivery.last?);
    let gaps = u32::try_from(delivery.delivered.checked_sub(1)?).ok()?;
    (gaps > 0 && last > first).then(|| last.since(first) / gaps)
}

/// Notes a request that a filter or admission refused.
pub fn refused(daemon: &Arc<Daemon>, exchange: &Exchange, error: &Error) {
    if let Ok(account) = Account::new(daemon, exchange) {
        account.failed(0, &Delivery::default(), error);
    }
}

/// Answers a workspace's question for its own records of a request.
///
/// # Errors
/// [`Kind::NotFound`], also for a request of another workspace.
pub async fn serve(daemon: &Arc<Daemon>, exchange: &Exchange, request: &str) -> Result<Response> {
    let workspace = &exchange.workspace()?.name;
    let records = ledger::gather(daemon, request).await;
    let own: Vec<Record> = records.into_iter().filter(|one| one.workspace == *workspace).collect();
    if own.is_empty() {
        let message = format!("no record of request `{request}` for workspace `{workspace}`");
        return Err(Error::new(Kind::NotFound, message));
    }
    Ok(server::json_response(200, &own))
}
