//! Which backend servers take new work, as one daemon's list has it.

use {
    ffw_control::snapshot::Register,
    ffw_peer::service::Roster,
    ffw_protocol::instance::{Instance, Role, State},
    std::net::SocketAddr,
};

fn server(name: &str, state: State) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Decode,
        data_centre: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        pool: "p".into(),
        state,
    }
}

#[test]
fn only_a_listed_live_server_takes_new_work() {
    let register = Register::default();
    let instances = vec![server("leaving", State::Leaving), server("live", State::Live)];
    register.offer_roster(Roster::new(5, instances));
    assert!(register.takes_work("live"));
    assert!(!register.takes_work("leaving"));
    assert!(!register.takes_work("gone"));
}

#[test]
fn a_newer_list_of_daemons_keeps_the_servers() {
    let register = Register::default();
    register.offer_roster(Roster::new(5, vec![server("live", State::Live)]));
    let daemon = Instance { role: Role::Entry, ..server("entry", State::Live) };
    register.offer_roster(Roster { servers: 0, daemons: 9, instances: vec![daemon] });
    assert!(register.takes_work("live"));
    assert_eq!(register.known().daemons, 9);
}

#[test]
fn an_older_list_changes_nothing() {
    let register = Register::default();
    register.offer_roster(Roster::new(5, vec![server("live", State::Leaving)]));
    assert!(!register.offer_roster(Roster::new(4, vec![server("live", State::Live)])));
    assert!(!register.takes_work("live"));
}
