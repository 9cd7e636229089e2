//! Builders of shard settings, servers and admission requests with values that suit small tests.

use {
    ffw_decide::{
        order::Floor,
        shard::{Member, Members, Settings},
    },
    ffw_protocol::{
        admission::{Ask, Attempt, Server},
        id,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Settings of a small pool, with one priority class that has a floor.
pub fn settings() -> Settings {
    Settings {
        slots: 4,
        pieces: 40,
        piece_tokens: 1_024,
        memory_grows: false,
        decode_reads: false,
        prefill_rate: 20_000,
        link_rate: 200_000,
        token_time: Duration::from_millis(25),
        result_lifetime: Duration::from_millis(800),
        floors: vec![Floor { rank: 1, share: 0.3 }],
    }
}

/// A server of the given name, with an address that is not used.
pub fn server(name: &str) -> Server {
    Server { name: name.into(), address: SocketAddr::from(([127, 0, 0, 1], 9)) }
}

/// A pool with the given numbers of live prefill and decode servers.
pub fn members(prefills: usize, decodes: usize) -> Members {
    let live = |kind: &str, count: usize| {
        let member = |n| Member { server: server(&format!("{kind}-{n}")), leaving: false };
        (0..count).map(member).collect()
    };
    Members { prefills: live("prefill", prefills), decodes: live("decode", decodes) }
}

/// The first attempt of a request of an entry.
pub fn attempt(entry: &str, sequence: u64) -> Attempt {
    let request = id::Request { instance: entry.into(), incarnation: 1, sequence };
    Attempt { request, number: 1 }
}

/// An admission request of a workspace.
pub fn ask(sequence: u64, workspace: &str, rank: u8, tokens_in: u32, tokens_out: u32) -> Ask {
    Ask {
        attempt: attempt("entry-1", sequence),
        workspace: workspace.into(),
        weight: 1,
        service: Arc::from("service"),
        rank,
        tokens_in,
        tokens_out,
        is_read: false,
        output_hint: None,
        waited: Duration::ZERO,
        target: Duration::from_secs(30),
        patience: Duration::from_secs(30),
        prefix: Vec::new(),
        avoid: Vec::new(),
    }
}
