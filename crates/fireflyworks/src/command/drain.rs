//! `fireflyworks drain`: tells a backend server to leave.

use {
    super::{Entry, Example},
    crate::client::{self, Client},
    clap::{Arg, ArgAction, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::DrainRequest,
    std::process::ExitCode,
};

/// The command.
pub const ENTRY: Entry = Entry {
    name: "drain",
    about: "Tell a backend server to leave, or take that back",
    examples: &[
        Example {
            what: "Give a decode engine no new work",
            line: "fireflyworks drain notes-decode-2 --expected 1 --reason firmware --key secret-operator-key",
        },
        Example {
            what: "Take it back",
            line: "fireflyworks drain notes-decode-2 --undo --expected 2 --reason done --key secret-operator-key",
        },
    ],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("server-name").required(true).help("Backend server, as the platform lists it"),
        )
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Take the server back instead"),
        )
        .args(client::change_arguments())
        .args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let asked = DrainRequest {
        server: client::text(matches, "server-name"),
        undo: matches.get_flag("undo"),
        reason: client::text(matches, "reason"),
        expected: client::number(matches, "expected"),
        change: client::change_id(matches),
        wait_ms: client::number(matches, "wait-ms"),
    };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(asked)?;
        let reply = client.rpc.drain(request).await.map_err(|status| client::refused(&status))?;
        Ok(client::print_change(&reply.into_inner()))
    })
}
