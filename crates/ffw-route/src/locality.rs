//! Applies the decision which plain requests leave the data centre, and reports it to operators.

use {
    crate::{caller::RoutedRequest, router::Router},
    ffw_control::identity,
    ffw_decide::{
        balance::{Candidate, Outcome, Preference},
        locality::{self, Cause, Change, Sample},
    },
    log::info,
    std::sync::Arc,
};

/// Where an attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The first attempt, as the share of its pool says.
    First(locality::Choice),
    /// A further attempt goes to any data centre, so that it is not refused while one has room.
    Further,
}

impl Choice {
    /// The servers that are preferred.
    pub(crate) fn preference(&self) -> Preference<'_> {
        match self {
            Choice::First(choice) => Preference::DataCentre(&choice.data_centre),
            Choice::Further => Preference::Any,
        }
    }

    fn cause(&self) -> &'static str {
        match self {
            Choice::Further => "repeat",
            Choice::First(choice) => match choice.cause {
                Some(Cause::Target) => "target",
                Some(Cause::NoServers) => "no_servers",
                None => "failing",
            },
        }
    }
}

/// Chooses the data centre of an attempt; `None` if no price is set.
pub(crate) fn choose(
    router: &Router,
    request: &RoutedRequest,
    candidates: &[Candidate],
    tried: &[Arc<str>],
    turn: u64,
) -> Option<Choice> {
    let mut locality = router.locality();
    let locality = locality.as_mut()?;
    if !tried.is_empty() {
        return Some(Choice::Further);
    }
    let names = candidates.iter().map(|candidate| candidate.data_centre.clone());
    let mut data_centres: Vec<Arc<str>> = names.collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    let asking = locality::Request {
        pool: &request.pool,
        target: request.route.target(),
        data_centres: &data_centres,
        turn,
    };
    locality.choose(identity::now(), &asking).map(Choice::First)
}

/// Counts an attempt that leaves the data centre, and logs when sending away begins and ends.
pub(crate) fn record_choice(
    router: &Router,
    request: &RoutedRequest,
    choice: &Choice,
    data_centre: &str,
) {
    let (pool, home) = (&request.pool, &router.daemon.identity.data_centre);
    if data_centre != &**home {
        router.daemon.metrics.routed.record_away(pool, data_centre, choice.cause());
    }
    let Choice::First(first) = choice else { return };
    match first.change {
        Some(Change::Begun) => info!("event=away_begun pool={pool} from={home} cause=target"),
        Some(Change::Ended) => info!("event=away_ended pool={pool} from={home}"),
        None => {}
    }
}

/// Records how an attempt ended, if a price is set.
pub(crate) fn record(
    router: &Router,
    request: &RoutedRequest,
    server: &str,
    outcome: Outcome,
    response_bytes: usize,
) {
    let mut locality = router.locality();
    let Some(locality) = locality.as_mut() else { return };
    let roster = router.daemon.view.roster();
    let Some(instance) = roster.find(server) else { return };
    let bytes = (request.body.len() + response_bytes) as u64;
    let sample = match outcome {
        Outcome::Answered(time) => Sample::Answered(time, bytes),
        Outcome::Rejected | Outcome::Failed => Sample::Missed,
        Outcome::Abandoned => return,
    };
    locality.record(identity::now(), &request.pool, &instance.data_centre, sample);
}
