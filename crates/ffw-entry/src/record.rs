//! Records the outcome of requests in the ledger, the metrics and the burn rate counters, and
//! serves the ledger records of a request to its workspace.

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

/// Records the events of one request; holds the fields that all its records have.
#[derive(Clone, Debug)]
pub struct Recorder {
    /// Daemon whose ledger and metrics are written.
    pub daemon: Arc<Daemon>,
    /// Id of the request.
    pub request_id: id::Request,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Service of the request.
    pub service: Service,
    /// Time of arrival of the request.
    pub arrived: Moment,
}

/// Size and times of the delivered part of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Delivered output tokens of a model call, or bytes of a plain call.
    pub delivered: u64,
    /// Time of the first token, or of the response of a plain call; `None` if there was none.
    pub first_token_at: Option<Moment>,
    /// Time of the last token so far; `None` before the first token, and for plain calls.
    pub last_token_at: Option<Moment>,
}

impl Recorder {
    /// Creates the recorder of a request.
    ///
    /// # Errors
    /// The filters have not determined workspace and service yet.
    pub fn new(daemon: &Arc<Daemon>, exchange: &Exchange) -> Result<Recorder> {
        Ok(Recorder {
            daemon: daemon.clone(),
            request_id: exchange.id.clone(),
            workspace: exchange.workspace()?.name.clone(),
            service: exchange.service()?.clone(),
            arrived: exchange.arrived,
        })
    }

    /// Records an event of an attempt in the ledger. Attempt 0 stands for the request as a whole.
    pub fn record_event(&self, attempt: u32, event: Event) {
        let attempt = Attempt { request: self.request_id.clone(), number: attempt };
        let subject = Subject {
            attempt,
            workspace: self.workspace.clone(),
            service: self.service.name.clone(),
        };
        self.daemon.ledger.append(&subject, event);
    }

    /// Records a complete response.
    pub fn record_answered(&self, attempt: u32, delivery: &Delivery) {
        let now = identity::now();
        let first_token = delivery.first_token_at.unwrap_or(now).since(self.arrived);
        self.record_event(
            attempt,
            Event::Answered {
                delivered: delivery.delivered,
                first_ms: identity::millis(first_token),
                total_ms: identity::millis(now.since(self.arrived)),
            },
        );
        self.record_metrics("ok", delivery, true);
    }

    /// Records the error with which the request ended.
    pub fn record_failed(&self, attempt: u32, delivery: &Delivery, error: &Error) {
        self.record_event(attempt, Event::Failed { kind: error.kind, run: error.run });
        // Only failures of this system count against the service-level targets: neither a caller
        // that disconnected nor an invalid request does.
        let counts_against_targets =
            error.kind.row().status >= 500 && error.kind != Kind::CallerGone;
        if counts_against_targets {
            self.record_metrics(error.kind.row().code, delivery, false);
        } else {
            let labels = [&*self.service.name, error.kind.row().code];
            self.daemon.metrics.requests.with_label_values(&labels).inc();
        }
    }

    /// Records the number of prompt tokens whose prefill result was discarded.
    pub fn record_wasted_prefill(&self, attempt: u32, tokens: u32) {
        self.record_event(attempt, Event::Wasted { tokens });
        let label = [&*self.service.name];
        self.daemon.metrics.wasted_prefill.with_label_values(&label).inc_by(u64::from(tokens));
    }

    fn record_metrics(&self, result: &str, delivery: &Delivery, is_complete: bool) {
        let metrics = &self.daemon.metrics;
        let name = &*self.service.name;
        metrics.requests.with_label_values(&[name, result]).inc();
        let first_token = delivery.first_token_at.map(|time| time.since(self.arrived));
        let between_tokens = mean_between_tokens(delivery);
        if let Some(span) = first_token {
            metrics.first_token.with_label_values(&[name]).observe(span.as_secs_f64());
        }
        if let Some(span) = between_tokens {
            metrics.between_tokens.with_label_values(&[name]).observe(span.as_secs_f64());
        }
        let sample = Sample { first_token, between_tokens, is_whole: is_complete };
        let target = Target {
            first_token: Duration::from_millis(self.service.first_token_ms),
            between_tokens: Duration::from_millis(self.service.between_tokens_ms),
        };
        let now = identity::now();
        self.daemon.burn().add(now, &self.service.name, &self.workspace, &sample, &target);
    }
}

fn mean_between_tokens(delivery: &Delivery) -> Option<Duration> {
    let (first, last) = (delivery.first_token_at?, delivery.last_token_at?);
    let gaps = u32::try_from(delivery.delivered.checked_sub(1)?).ok()?;
    (gaps > 0 && last > first).then(|| last.since(first) / gaps)
}

/// Records the error of a request whose errors the serving code does not record. Does nothing if
/// the request has no workspace or no service.
pub fn record_error(daemon: &Arc<Daemon>, exchange: &Exchange, error: &Error) {
    if let Ok(recorder) = Recorder::new(daemon, exchange) {
        recorder.record_failed(0, &Delivery::default(), error);
    }
}

/// Serves the ledger records of a request to the workspace that sent it.
///
/// # Errors
/// [`Kind::NotFound`] if there are no records, or only records of another workspace.
pub async fn serve(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
    request_id: &str,
) -> Result<Response> {
    let workspace = &exchange.workspace()?.name;
    let records = ledger::records_of_request(daemon, request_id).await;
    let visible: Vec<Record> =
        records.into_iter().filter(|record| record.workspace == *workspace).collect();
    if visible.is_empty() {
        let message = format!("no record of request `{request_id}` for workspace `{workspace}`");
        return Err(Error::new(Kind::NotFound, message));
    }
    Ok(server::json_response(200, &visible))
}
