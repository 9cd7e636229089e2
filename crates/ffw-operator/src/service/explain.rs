//! Who was served before a request, and why.

use {
    super::convert::to_record,
    crate::generated::{ExplainReply, ExplainRequest},
    ffw_control::{daemon::Daemon, ledger},
    ffw_protocol::{
        error::{Error, Kind, Result},
        ledger::Event,
    },
};

/// Most grants before a request that are shown.
const BEFORE_MAX: u32 = 200;

/// All records of a request, and the grants of the same owner before its own.
///
/// # Errors
/// [`Kind::NotFound`] if there is no record of the request.
pub async fn run(daemon: &Daemon, asked: &ExplainRequest) -> Result<ExplainReply> {
    let records = ledger::gather(daemon, &asked.request).await;
    if records.is_empty() {
        let message = format!("no record of request `{}`", asked.request);
        return Err(Error::new(Kind::NotFound, message));
    }
    let grant = records.iter().find_map(|record| match &record.event {
        Event::Granted(grant) => Some(grant.clone()),
        _ => None,
    });
    let before = match grant {
        Some(grant) => {
            let count = asked.before.min(BEFORE_MAX) as usize;
            ledger::grants_up_to(daemon, &grant, count + 1).await
        }
        None => Vec::new(),
    };
    let is_other = |record: &&ffw_protocol::ledger::Record| *record.request != *asked.request;
    Ok(ExplainReply {
        before: before.iter().filter(is_other).map(to_record).collect(),
        records: records.iter().map(to_record).collect(),
    })
}
