//! Reservations of an entry.

use {
    ffw_control::{
        admission::{self, Decision},
        daemon::{Daemon, Mode, Setup},
    },
    ffw_decide::baseline::Policy,
    ffw_peer::{handshake::Secret, link::PeerConnections, service::Roster},
    ffw_protocol::{
        admission::Attempt,
        instance::{Instance, Role, State},
    },
    ffw_support::build,
    std::{net::SocketAddr, sync::Arc},
};

/// An address at which nothing listens.
const UNUSED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A daemon with a baseline policy, which chooses servers itself and asks no owner.
fn daemon() -> Arc<Daemon> {
    let daemon = Daemon::new(Setup {
        instance: "entry-1".into(),
        data_centre: "a".into(),
        deployment: "d".into(),
        platform: UNUSED_ADDRESS,
        peers: PeerConnections::new(Secret::new("a-shared-key-for-tests")),
        seeds: Vec::new(),
        policy: Policy::RoundRobin,
        mode: Mode::Declared,
    });
    let daemon = daemon.expect("a daemon");
    let engine = |name: &str, role: Role| Instance {
        name: name.into(),
        role,
        data_centre: "a".into(),
        address: UNUSED_ADDRESS,
        pool: "notes".into(),
        state: State::Live,
        capacity: 0,
    };
    let instances = vec![engine("decode-1", Role::Decode), engine("prefill-1", Role::Prefill)];
    daemon.view.offer_roster(Roster::new(1, instances));
    daemon
}

fn has_reservation(daemon: &Daemon, attempt: &Attempt) -> bool {
    daemon.admission.disowned(vec![attempt.clone()]).is_empty()
}

/// Guards against engine memory that is never freed: an entry that drops a reservation without
/// releasing it, and still lists one for the attempt when the owner's sweep asks.
#[test]
fn a_dropped_reservation_is_released() {
    smol::block_on(async {
        let daemon = daemon();
        let ask = build::ask(1, "a", 0, 100, 10);
        let attempt = ask.attempt.clone();
        let decision = admission::reserve(&daemon, &"notes".into(), ask).await.expect("a decision");
        assert!(matches!(decision, Decision::Reservation(_)));
        assert!(has_reservation(&daemon, &attempt));
        drop(decision);
        assert!(
            !has_reservation(&daemon, &attempt),
            "the entry still has a reservation for the attempt"
        );
    });
}
