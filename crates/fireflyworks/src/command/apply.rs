//! `fireflyworks apply`: makes a declaration the configuration version in force.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::ApplyRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "apply",
    about: "Put a declaration in force",
    examples: &[Example {
        description: "Make the first version, and wait until every daemon has it",
        line: "fireflyworks apply examples/matariki.toml --expected 0 --reason opening --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command
        .arg(Arg::new("file").required(true).help("Declaration, TOML"))
        .args(client::change_arguments())
        .args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let message = ApplyRequest {
        declaration: client::read_file(matches)?,
        reason: client::text(matches, "reason"),
        expected: client::number(matches, "expected"),
        change: client::change_id(matches),
        wait_ms: client::number(matches, "wait-ms"),
    };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(message)?;
        let reply =
            client.rpc.apply(request).await.map_err(|status| client::refusal_error(&status))?;
        Ok(client::print_change(&reply.into_inner()))
    })
}
