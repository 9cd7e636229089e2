//! Which daemons keep the record of a stream's origin, and which are asked for it.
//!
//! Both follow one order of all daemons, so that a daemon that knows only the key finds the record.
//! The first daemons of the order are in different data centres: the loss of one must not lose all
//! copies. Daemons that join or leave meanwhile shift the order by a place each, and a writer
//! passes over daemons that it can't reach; therefore more are asked than are written to.

use {
    ffw_protocol::instance::Instance,
    std::{collections::VecDeque, sync::Arc},
};

/// Daemons that keep a record, beside the one that made it: streams are taken up because that one
/// ended, and two more may be lost with it.
pub const REPLICAS: usize = 3;

/// Daemons that are asked for a record.
pub const ASKED: usize = REPLICAS + 2;

/// Where a record goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Daemons to which it is sent.
    pub replicas: Vec<Instance>,
    /// Daemons that stand in, in order, for a replica that does not answer.
    pub spares: VecDeque<Instance>,
}

/// The targets of a record that the daemon `own` has made. `ranked` are the live daemons in
/// rendezvous order, `suspects` names those that are passed over.
pub fn targets(ranked: &[Instance], own: &str, suspects: &[Arc<str>]) -> Targets {
    let is_passed_over =
        |daemon: &Instance| *daemon.name == *own || suspects.contains(&daemon.name);
    let reachable = ranked.iter().filter(|daemon| !is_passed_over(daemon)).collect();
    let mut ordered = order(reachable).cloned();
    let replicas = ordered.by_ref().take(REPLICAS).collect();
    Targets { replicas, spares: ordered.take(REPLICAS).collect() }
}

/// The daemons that the daemon `own` asks for a record, at most [`ASKED`]. Suspects come last.
pub fn readers(ranked: &[Instance], own: &str, suspects: &[Arc<str>]) -> Vec<Instance> {
    let others = ranked.iter().filter(|daemon| *daemon.name != *own);
    let (suspected, reachable): (Vec<&Instance>, Vec<&Instance>) =
        others.partition(|daemon| suspects.contains(&daemon.name));
    order(reachable).chain(suspected).take(ASKED).cloned().collect()
}

/// The order: the first daemons of the first [`REPLICAS`] data centres, then all others as ranked.
/// A daemon that is displaced as the first of its data centre so falls back by few places, also if
/// there are many data centres.
///
/// Daemons that don't count are left out before, not after: each that goes then moves the others up
/// only, and the data centres differ all the same.
fn order(ranked: Vec<&Instance>) -> impl Iterator<Item = &Instance> {
    let mut first: Vec<&Instance> = Vec::with_capacity(REPLICAS);
    let mut others = Vec::with_capacity(ranked.len());
    for daemon in ranked {
        let is_new = first.iter().all(|known| known.data_centre != daemon.data_centre);
        let list = if is_new && first.len() < REPLICAS { &mut first } else { &mut others };
        list.push(daemon);
    }
    first.into_iter().chain(others)
}
