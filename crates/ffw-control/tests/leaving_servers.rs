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

#[test]
fn a_list_that_holds_removals_back_is_no_news_for_others() {
    let (here, there) = (Register::default(), Register::default());
    there.offer_roster(Roster::new(35, Vec::new()));
    here.offer_roster(Roster::new(20, vec![server("removed", State::Live)]));
    here.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(here.takes_work("removed"));
    assert!(!here.roster().has_news_for(&there.known()), "the removal would be undone");
    assert!(there.roster().has_news_for(&here.known()), "the peer knows better");
    here.offer_roster(Roster::clone(&there.roster()));
    assert!(!here.takes_work("removed"));
}

#[test]
fn a_removal_that_is_believed_at_the_same_version_is_in_force() {
    let register = Register::default();
    register.offer_roster(Roster::new(30, vec![server("removed", State::Live)]));
    register.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(register.takes_work("removed"));
    register.replace_servers(40, &[], Vec::new());
    assert!(!register.takes_work("removed"));
    assert_eq!(register.known().servers, 40);
}

#[test]
fn what_a_peer_has_said_to_be_gone_is_not_held_back() {
    let register = Register::default();
    register.offer_roster(Roster::new(20, vec![server("removed", State::Live)]));
    register.offer_roster(Roster::new(35, Vec::new()));
    register.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(!register.takes_work("removed"));
}

#[test]
fn a_daemon_counts_itself_before_the_list_names_it() {
    let register = Register::default();
    register.offer_roster(Roster::new(5, vec![server("live", State::Live)]));
    register.list_own(Instance { role: Role::Entry, ..server("own", State::Live) });
    assert_eq!(register.ranked("p").len(), 1);
    register.offer_roster(Roster::new(6, vec![server("live", State::Live)]));
    assert_eq!(register.ranked("p").len(), 1, "a list that lags has dropped it");
}
