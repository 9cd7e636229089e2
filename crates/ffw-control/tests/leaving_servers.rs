//! Which backend servers take new work, as one daemon's list has it.

use {
    ffw_control::snapshot::View,
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
    let view = View::default();
    let instances = vec![server("leaving", State::Leaving), server("live", State::Live)];
    view.offer_roster(Roster::new(5, instances));
    assert!(view.takes_work("live"));
    assert!(!view.takes_work("leaving"));
    assert!(!view.takes_work("gone"));
}

#[test]
fn a_newer_list_of_daemons_keeps_the_servers() {
    let view = View::default();
    view.offer_roster(Roster::new(5, vec![server("live", State::Live)]));
    let daemon = Instance { role: Role::Entry, ..server("entry", State::Live) };
    view.offer_roster(Roster { servers: 0, daemons: 9, instances: vec![daemon] });
    assert!(view.takes_work("live"));
    assert_eq!(view.versions().daemons, 9);
}

#[test]
fn an_older_list_changes_nothing() {
    let view = View::default();
    view.offer_roster(Roster::new(5, vec![server("live", State::Leaving)]));
    assert!(!view.offer_roster(Roster::new(4, vec![server("live", State::Live)])));
    assert!(!view.takes_work("live"));
}

#[test]
fn a_list_that_holds_removals_back_is_no_news_for_others() {
    let (here, there) = (View::default(), View::default());
    there.offer_roster(Roster::new(35, Vec::new()));
    here.offer_roster(Roster::new(20, vec![server("removed", State::Live)]));
    here.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(here.takes_work("removed"));
    assert!(!here.roster().is_newer_than(&there.versions()), "the removal would be undone");
    assert!(there.roster().is_newer_than(&here.versions()), "the peer knows better");
    here.offer_roster(Roster::clone(&there.roster()));
    assert!(!here.takes_work("removed"));
}

#[test]
fn a_removal_that_is_believed_at_the_same_version_is_in_force() {
    let view = View::default();
    view.offer_roster(Roster::new(30, vec![server("removed", State::Live)]));
    view.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(view.takes_work("removed"));
    view.replace_servers(40, &[], Vec::new());
    assert!(!view.takes_work("removed"));
    assert_eq!(view.versions().servers, 40);
}

#[test]
fn what_a_peer_has_said_to_be_gone_is_not_held_back() {
    let view = View::default();
    view.offer_roster(Roster::new(20, vec![server("removed", State::Live)]));
    view.offer_roster(Roster::new(35, Vec::new()));
    view.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(!view.takes_work("removed"));
}

#[test]
fn a_daemon_counts_itself_before_the_list_names_it() {
    let view = View::default();
    view.offer_roster(Roster::new(5, vec![server("live", State::Live)]));
    view.list_own(Instance { role: Role::Entry, ..server("own", State::Live) });
    assert_eq!(view.ranked("p").len(), 1);
    view.offer_roster(Roster::new(6, vec![server("live", State::Live)]));
    assert_eq!(view.ranked("p").len(), 1, "a list that lags has dropped it");
}
