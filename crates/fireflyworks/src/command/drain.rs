//! `fireflyworks drain`: marks a backend server as leaving, so that it gets no new work, or undoes
//! this.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{Arg, ArgAction, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::DrainRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "drain",
    about: "Mark a backend server as leaving, or undo this",
    examples: &[
        Example {
            description: "Stop sending new work to a decode engine",
            line: "fireflyworks drain notes-decode-2 --expected 1 --reason firmware --key secret-operator-key",
        },
        Example {
            description: "Undo this",
            line: "fireflyworks drain notes-decode-2 --undo --expected 2 --reason done --key secret-operator-key",
        },
    ],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("server-name")
                .required(true)
                .help("Name of the backend server in the platform's list"),
        )
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Undo an earlier drain of the server"),
        )
        .args(client::change_arguments())
        .args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let message = DrainRequest {
        server: client::text(matches, "server-name"),
        undo: matches.get_flag("undo"),
        reason: client::text(matches, "reason"),
        expected: client::number(matches, "expected"),
        change: client::change_id(matches),
        wait_ms: client::number(matches, "wait-ms"),
    };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(message)?;
        let reply =
            client.rpc.drain(request).await.map_err(|status| client::refusal_error(&status))?;
        Ok(client::print_change(&reply.into_inner()))
    })
}
