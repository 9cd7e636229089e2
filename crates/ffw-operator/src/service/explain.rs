//! Explains when a request was served: its own records, and the requests that its owner served
//! before it, each with the values that decided.

use {
    super::convert::to_record,
    crate::generated::{ExplainReply, ExplainRequest},
    ffw_control::{daemon::Daemon, ledger},
    ffw_protocol::{
        error::{Error, Kind, Result},
        ledger::Event,
    },
};

/// Maximum number of grants before a request that are returned.
const MAX_GRANTS_BEFORE: u32 = 200;

/// Returns all records of a request, and the grants that the same owner made in the same epoch
/// before the first grant of the request: as many as asked for, at most 200.
///
/// # Errors
/// [`Kind::NotFound`] if there is no record of the request.
pub async fn run(daemon: &Daemon, request: &ExplainRequest) -> Result<ExplainReply> {
    let records = ledger::records_of_request(daemon, &request.request).await;
    if records.is_empty() {
        let message = format!("no record of request `{}`", request.request);
        return Err(Error::new(Kind::NotFound, message));
    }
    let grant = records.iter().find_map(|record| match &record.event {
        Event::Granted(grant) => Some(grant.clone()),
        _ => None,
    });
    let before = match grant {
        Some(grant) => {
            let count = request.before.min(MAX_GRANTS_BEFORE) as usize;
            ledger::grants_up_to(daemon, &grant, count + 1).await
        }
        None => Vec::new(),
    };
    let is_other = |record: &&ffw_protocol::ledger::Record| *record.request != *request.request;
    Ok(ExplainReply {
        before: before.iter().filter(is_other).map(to_record).collect(),
        records: records.iter().map(to_record).collect(),
    })
}
