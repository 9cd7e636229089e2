//! A daemon that can't reach the store learns the software versions of servers from a peer, with
//! the list of servers.
//!
//! Guards against a stream that goes on at a server whose version was guessed, and against a daemon
//! that calls a version the only one by a list that it has not itself confirmed.

#[path = "support/daemon.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use {
    ffw_control::{
        daemon::Daemon,
        relay,
        software::{self, Version},
    },
    ffw_peer::service::Roster,
    ffw_protocol::instance::{Instance, Role, State},
    ffw_runtime::executor,
    std::{net::SocketAddr, sync::Arc},
    support::serve,
};

fn daemon(name: &str) -> Arc<Daemon> {
    support::create(name, "platform", Vec::new())
}

fn instance(name: &str) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Decode,
        data_centre: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        pool: "llm".into(),
        state: State::Live,
        capacity: 0,
    }
}

#[test]
fn versions_come_from_the_peer_that_sent_the_list() {
    let tested = executor::run(async {
        let (holder, reader) = (daemon("holder"), daemon("reader"));
        let servers = ["s1@1", "s2@1", "s3@1"].map(instance).to_vec();
        holder.software.record_server(&servers[0], Version::Stated("v1".into()));
        holder.software.record_server(&servers[1], Version::Unstated);
        holder.view.offer_roster(Roster::new(4, servers.clone()));
        software::record_list(&holder);
        let address = serve(&holder).await;

        assert!(relay::pull(&reader, address).await, "no answer");
        assert_eq!(reader.software.of("s1@1"), Some(Version::Stated("v1".into())));
        assert_eq!(reader.software.of("s2@1"), Some(Version::Unstated));
        assert_eq!(reader.software.of("s3@1"), None, "the peer does not know it");
        assert_eq!(reader.software.of("s4@1"), None, "not listed");
        assert_eq!(reader.software.sole("llm"), None, "the list is not confirmed");

        // The list did not change, but the peer knows more now.
        holder.software.record_server(&servers[2], Version::Stated("v2".into()));
        assert!(relay::pull(&reader, address).await, "no answer");
        assert_eq!(reader.software.of("s3@1"), Some(Version::Stated("v2".into())));
    });
    tested.expect("the executor runs");
}

/// What the store said last counts, not what a peer says.
#[test]
fn a_version_that_is_known_is_not_replaced_by_a_peer() {
    let tested = executor::run(async {
        let (holder, reader) = (daemon("holder"), daemon("reader"));
        let servers = ["s1@1", "s2@1"].map(instance).to_vec();
        for server in &servers {
            holder.software.record_server(server, Version::Stated("old".into()));
        }
        reader.software.record_server(&servers[0], Version::Stated("new".into()));
        holder.view.offer_roster(Roster::new(4, servers));
        assert!(relay::pull(&reader, serve(&holder).await).await, "no answer");
        assert_eq!(reader.software.of("s1@1"), Some(Version::Stated("new".into())));
        assert_eq!(reader.software.of("s2@1"), Some(Version::Stated("old".into())));
    });
    tested.expect("the executor runs");
}
