//! Sends records to their replicas, those of a few milliseconds in one call. A replica that does
//! not answer is replaced once, by the next daemon in the order of the record.

use {
    super::lock,
    crate::{daemon::Daemon, suspect},
    ffw_decide::origin::placement::REPLICAS,
    ffw_peer::service::PeerClient,
    ffw_protocol::{instance::Instance, origin::Record},
    ffw_runtime::{executor, timer},
    log::debug,
    std::{
        collections::VecDeque,
        mem,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Time for which records to the same daemon are collected.
const BATCH_WINDOW: Duration = Duration::from_millis(3);

/// Timeout of a call, which may have to connect first.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Most records that wait for one daemon: what 1,000 streams a second leave for a daemon in three
/// timeouts.
const QUEUE_MAX: usize = 1_024;

/// Records that are on their way, in order of the address of their target.
#[derive(Debug, Default)]
pub(super) struct Outboxes(Mutex<Vec<Outbox>>);

/// Records for one daemon. Exists while a task sends them.
#[derive(Debug)]
struct Outbox {
    address: SocketAddr,
    deliveries: Vec<Delivery>,
}

/// A record on its way to one of its replicas.
#[derive(Clone, Debug)]
struct Delivery {
    sending: Arc<Sending>,
    is_retry: bool,
}

/// A record with the daemons that stand in for its replicas.
#[derive(Debug)]
struct Sending {
    record: Record,
    spares: Mutex<VecDeque<Instance>>,
}

/// Sends a record to its replicas, in the background.
pub(super) fn send(
    daemon: &Arc<Daemon>,
    record: Record,
    replicas: Vec<Instance>,
    spares: VecDeque<Instance>,
) {
    debug_assert!(replicas.len() <= REPLICAS);
    let sending = Arc::new(Sending { record, spares: Mutex::new(spares) });
    for replica in replicas {
        enqueue(daemon, replica, Delivery { sending: sending.clone(), is_retry: false });
    }
}

fn enqueue(daemon: &Arc<Daemon>, target: Instance, delivery: Delivery) {
    let mut outboxes = lock(&daemon.origins.outboxes.0);
    match outboxes.binary_search_by_key(&target.address, |outbox| outbox.address) {
        Ok(index) if outboxes[index].deliveries.len() < QUEUE_MAX => {
            outboxes[index].deliveries.push(delivery);
        }
        Ok(_) => daemon.metrics.routed.record_origin_copies("lost", 1),
        Err(index) => {
            outboxes.insert(index, Outbox { address: target.address, deliveries: vec![delivery] });
            executor::detach(run(daemon.clone(), target));
        }
    }
}

/// Sends the records for one daemon until none is left.
async fn run(daemon: Arc<Daemon>, target: Instance) {
    loop {
        timer::sleep(BATCH_WINDOW).await;
        let Some(deliveries) = take(&daemon, target.address) else { return };
        if call(&daemon, &target, &deliveries).await {
            daemon.metrics.routed.record_origin_copies("sent", deliveries.len());
            continue;
        }
        // What has come meanwhile would wait for another timeout.
        let failed = deliveries.into_iter().chain(take_all(&daemon, target.address));
        failed.for_each(|delivery| retry(&daemon, delivery));
    }
}

/// Takes the records for a daemon; closes its outbox and returns `None` if there are none.
fn take(daemon: &Daemon, address: SocketAddr) -> Option<Vec<Delivery>> {
    let mut outboxes = lock(&daemon.origins.outboxes.0);
    let index = outboxes.binary_search_by_key(&address, |outbox| outbox.address).ok()?;
    let deliveries = mem::take(&mut outboxes[index].deliveries);
    if deliveries.is_empty() {
        outboxes.remove(index);
        return None;
    }
    Some(deliveries)
}

/// Takes the records for a daemon, and leaves its outbox open.
fn take_all(daemon: &Daemon, address: SocketAddr) -> Vec<Delivery> {
    let mut outboxes = lock(&daemon.origins.outboxes.0);
    let found = outboxes.binary_search_by_key(&address, |outbox| outbox.address);
    found.map(|index| mem::take(&mut outboxes[index].deliveries)).unwrap_or_default()
}

/// The next daemon that stands in for a replica; it is not used again for the same record.
fn next_spare(daemon: &Daemon, sending: &Sending) -> Option<Instance> {
    let passed_over = super::passed_over(daemon);
    let mut spares = lock(&sending.spares);
    while let Some(spare) = spares.pop_front() {
        if !passed_over.contains(&spare.name) {
            return Some(spare);
        }
    }
    None
}

/// Sends a record to the next daemon that stands in, unless this was done already.
fn retry(daemon: &Arc<Daemon>, delivery: Delivery) {
    let spare = if delivery.is_retry { None } else { next_spare(daemon, &delivery.sending) };
    let metrics = &daemon.metrics.routed;
    match spare {
        Some(spare) => {
            metrics.record_origin_copies("resent", 1);
            enqueue(daemon, spare, Delivery { sending: delivery.sending, is_retry: true });
        }
        None => metrics.record_origin_copies("lost", 1),
    }
}

/// Sends records in one call; returns whether they have arrived.
async fn call(daemon: &Arc<Daemon>, target: &Instance, deliveries: &[Delivery]) -> bool {
    let origins = &daemon.origins;
    let records: Vec<Record> =
        deliveries.iter().map(|delivery| delivery.sending.record.clone()).collect();
    let is_known = origins.answering.has_answered(target.address);
    let calling =
        async move |peer: PeerClient, context| peer.record_origins(context, records).await;
    let called = origins.answering.call(&daemon.peers, target.address, SEND_TIMEOUT, calling).await;
    match called {
        Ok(is_accepted) => {
            origins.record_answer(target);
            is_accepted
        }
        Err(error) => {
            debug!("event=origins_not_sent peer={} error=\"{error}\"", target.name);
            if is_known {
                suspect::suspect(daemon, &target.name, target.address);
            } else {
                origins.record_silence(target);
            }
            false
        }
    }
}
