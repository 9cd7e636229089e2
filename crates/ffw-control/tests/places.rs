//! Places of an entry: one that is dropped on the way is given back.

use {
    ffw_control::{
        admission::{self, Decision},
        daemon::{Daemon, Mode, Setup},
    },
    ffw_decide::baseline::Policy,
    ffw_peer::{handshake::Secret, link::Pool, service::Roster},
    ffw_protocol::{
        admission::Attempt,
        instance::{Instance, Role, State},
    },
    ffw_support::build,
    std::{net::SocketAddr, sync::Arc},
};

const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A daemon that picks engines by itself, so that no peer is asked.
fn daemon() -> Arc<Daemon> {
    let daemon = Daemon::new(Setup {
        instance: "entry-1".into(),
        data_centre: "a".into(),
        deployment: "d".into(),
        platform: NOWHERE,
        peers: Pool::new(Secret::new("a-shared-key-for-tests")),
        seeds: Vec::new(),
        policy: Policy::RoundRobin,
        mode: Mode::Declared,
    });
    let daemon = daemon.expect("a daemon");
    let engine = |name: &str, role: Role| Instance {
        name: name.into(),
        role,
        data_centre: "a".into(),
        address: NOWHERE,
        pool: "notes".into(),
        state: State::Live,
    };
    let instances = vec![engine("decode-1", Role::Decode), engine("prefill-1", Role::Prefill)];
    daemon.view.offer_roster(Roster::new(1, instances));
    daemon
}

fn is_owned(daemon: &Daemon, attempt: &Attempt) -> bool {
    daemon.admission.disowned(vec![attempt.clone()]).is_empty()
}

#[test]
fn a_place_that_is_dropped_is_given_back() {
    smol::block_on(async {
        let daemon = daemon();
        let ask = build::ask(1, "a", 0, 100, 10);
        let attempt = ask.attempt.clone();
        let decision = admission::reserve(&daemon, &"notes".into(), ask).await.expect("a decision");
        assert!(matches!(decision, Decision::Reservation(_)));
        assert!(is_owned(&daemon, &attempt));
        drop(decision);
        assert!(!is_owned(&daemon, &attempt), "the entry still says that it owns the attempt");
    });
}
