//! `fireflyworks history`: lists all configuration versions with author, time and reason, and
//! checks their hash chain. The exit code is a failure if the chain is broken.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::HistoryRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "history",
    about: "List all versions with author, time and reason, and check their hash chain",
    examples: &[Example {
        description: "List the changes",
        line: "fireflyworks history --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command.args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(HistoryRequest {})?;
        let reply =
            client.rpc.history(request).await.map_err(|status| client::refusal_error(&status))?;
        let reply = reply.into_inner();
        for version in &reply.versions {
            println!(
                "version={} at_ms={} author={} change={} hash={} drained={} reason=\"{}\"",
                version.number,
                version.at_ms,
                version.author,
                version.change,
                version.hash,
                version.drained.len(),
                version.reason
            );
        }
        if reply.broken_at > 0 {
            println!("chain: broken at version {}", reply.broken_at);
            return Ok(ExitCode::FAILURE);
        }
        println!("chain: holds");
        Ok(ExitCode::SUCCESS)
    })
}
