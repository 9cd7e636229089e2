//! Which backend servers take new work by the view of one daemon, and which instance list replaces
//! another.

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
        capacity: 0,
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

/// Guards against a list of daemons that removes the backend servers: both parts of the instance
/// list have versions of their own.
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

/// Guards against a daemon that undoes a removal at its peers: it still lists a removed server
/// while the removal is pending, and would offer that list under a version that is newer than the
/// peers'.
#[test]
fn a_list_that_holds_removals_back_is_no_news_for_others() {
    let (local, peer) = (View::default(), View::default());
    peer.offer_roster(Roster::new(35, Vec::new()));
    local.offer_roster(Roster::new(20, vec![server("removed", State::Live)]));
    local.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(local.takes_work("removed"));
    assert!(
        !local.roster().is_newer_than(&peer.versions()),
        "the peer would list the removed server again"
    );
    assert!(
        peer.roster().is_newer_than(&local.versions()),
        "the peer's list without the server is not newer"
    );
    local.offer_roster(Roster::clone(&peer.roster()));
    assert!(!local.takes_work("removed"));
}

/// Guards against a removal that is ignored because the list was read at this version before, while
/// the removal was pending.
#[test]
fn a_confirmed_removal_takes_effect_at_the_same_version() {
    let view = View::default();
    view.offer_roster(Roster::new(30, vec![server("removed", State::Live)]));
    view.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(view.takes_work("removed"));
    view.replace_servers(40, &[], Vec::new());
    assert!(!view.takes_work("removed"));
    assert_eq!(view.versions().servers, 40);
}

/// Guards against a removed server that comes back: a peer's list has removed it, and this daemon's
/// own list still names it because the removal is pending there.
#[test]
fn a_removal_received_from_a_peer_is_not_pending() {
    let view = View::default();
    view.offer_roster(Roster::new(20, vec![server("removed", State::Live)]));
    view.offer_roster(Roster::new(35, Vec::new()));
    view.replace_servers(40, &["removed".into()], vec![server("removed", State::Live)]);
    assert!(!view.takes_work("removed"));
}

/// Guards against a daemon that leaves itself out of the rendezvous order because it read a list
/// from before its registration, while others already count it.
#[test]
fn a_daemon_lists_itself_before_the_platform_does() {
    let view = View::default();
    view.offer_roster(Roster::new(5, vec![server("live", State::Live)]));
    view.add_self(Instance { role: Role::Entry, ..server("own", State::Live) });
    assert_eq!(view.ranked("p").len(), 1);
    view.offer_roster(Roster::new(6, vec![server("live", State::Live)]));
    assert_eq!(view.ranked("p").len(), 1, "a list without this daemon has removed it");
}

/// One daemon learns from a response that a server leaves, and tells the others before the instance
/// list does.
#[test]
fn a_server_that_a_peer_has_noticed_to_leave_takes_no_work() {
    let view = View::default();
    view.offer_roster(Roster::new(5, vec![server("s", State::Live)]));
    view.accept_leaving(&["s".into()]);
    assert!(!view.takes_work("s"));
    view.offer_roster(Roster::new(6, vec![server("s", State::Live)]));
    assert!(!view.takes_work("s"), "a newer list puts the server back into use");
}

/// Daemons drop the notices of servers that are gone at different times. Guards against a notice
/// that two daemons report to each other for ever.
#[test]
fn a_peer_does_not_bring_back_the_notice_of_an_unlisted_server() {
    let view = View::default();
    view.offer_roster(Roster::new(5, vec![server("s", State::Live)]));
    view.accept_leaving(&["gone".into()]);
    assert!(view.notices().leaving().is_empty());
}
