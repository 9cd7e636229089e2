//! `fireflyworks history`: lists all versions with the account of their changes.

use {
    super::{Entry, Example},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::HistoryRequest,
    std::process::ExitCode,
};

/// The command.
pub const ENTRY: Entry = Entry {
    name: "history",
    about: "List all versions: who, when, why, and whether the chain holds",
    examples: &[Example {
        what: "List the changes",
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
        let reply = client.rpc.history(request).await.map_err(|status| client::refused(&status))?;
        let reply = reply.into_inner();
        for one in &reply.versions {
            println!(
                "version={} at_ms={} author={} change={} hash={} drained={} reason=\"{}\"",
                one.number,
                one.at_ms,
                one.author,
                one.change,
                one.hash,
                one.drained.len(),
                one.reason
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
