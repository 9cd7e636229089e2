//! `fireflyworks quarantine`: lists the parts of prompts that are held because backend servers
//! crash under them, and lifts the quarantine of a part at all daemons.

use {
    super::{Example, Subcommand},
    clap::{Arg, ArgMatches, Command},
    eyre::{Result, WrapErr as _, eyre},
    ffw_peer::{handshake::Secret, link::PeerConnections},
    ffw_protocol::quarantine::{Hold, names},
    ffw_runtime::executor,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// Time limit of the call to the daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "quarantine",
    about: "List the prompt parts that are held, or lift the quarantine of one",
    examples: &[
        Example {
            description: "List the parts that a daemon holds or has on trial",
            line: "fireflyworks quarantine --peer 127.0.0.1:8082 --peer-secret 0123456789abcdef",
        },
        Example {
            description: "Lift the quarantine of a part at all daemons",
            line: "fireflyworks quarantine --peer 127.0.0.1:8082 --peer-secret 0123456789abcdef --lift 5c1e07a2",
        },
    ],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    let peer = Arg::new("peer")
        .long("peer")
        .env("FIREFLYWORKS_PEER")
        .default_value("127.0.0.1:8082")
        .help("Address for other daemons of any daemon, IP:port");
    let secret = Arg::new("peer-secret")
        .long("peer-secret")
        .env("FIREFLYWORKS_PEER_SECRET")
        .hide_env_values(true)
        .required(true)
        .help("Key that all daemons of the deployment share; prefer the environment variable");
    let lift = Arg::new("lift")
        .long("lift")
        .help("Part whose quarantine is lifted, in hexadecimal, as the list and the logs name it");
    command.arg(peer).arg(secret).arg(lift)
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let address: SocketAddr = text("peer").parse().wrap_err("--peer")?;
    let peers = PeerConnections::new(Secret::new(&text("peer-secret")));
    match matches.get_one::<String>("lift") {
        None => list(peers, address),
        Some(part) => lift(peers, address, part),
    }
}

fn list(peers: PeerConnections, address: SocketAddr) -> Result<ExitCode> {
    let holds = executor::run(async move {
        let calling = peers.call_apart(address, CALL_TIMEOUT, async |peer, context| {
            peer.quarantined(context).await
        });
        calling.await
    })??;
    if holds.is_empty() {
        println!("no part is held");
    }
    holds.iter().for_each(print);
    Ok(ExitCode::SUCCESS)
}

fn print(hold: &Hold) {
    let state = if hold.is_on_trial { "on trial" } else { "held" };
    println!(
        "pool={} parts={} state=\"{state}\" crashes={} prompts={} left_s={}",
        hold.pool,
        names(&hold.parts),
        hold.crashes,
        hold.prompts,
        hold.left.as_secs()
    );
}

fn lift(peers: PeerConnections, address: SocketAddr, part: &str) -> Result<ExitCode> {
    let number = u64::from_str_radix(part, 16);
    let number = number.map_err(|err| eyre!("--lift {part}: {err}; give hexadecimal digits"))?;
    let was_held = executor::run(async move {
        let calling = peers.call_apart(address, CALL_TIMEOUT, async move |peer, context| {
            peer.lift_quarantine(context, number).await
        });
        calling.await
    })??;
    if was_held {
        println!("lifted");
        return Ok(ExitCode::SUCCESS);
    }
    println!("part {part} is neither held nor on trial");
    Ok(ExitCode::FAILURE)
}
