//! `fireflyworks status`: prints the state of each daemon and its shards, as one daemon collects
//! it.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::StatusRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "status",
    about: "Show the state of each daemon",
    examples: &[Example {
        description: "Show all daemons, as one daemon collects their state",
        line: "fireflyworks status --key secret-operator-key",
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
        let request = client.request(StatusRequest {})?;
        let reply =
            client.rpc.status(request).await.map_err(|status| client::refusal_error(&status))?;
        for daemon in reply.into_inner().daemons {
            let shards = daemon.shards.iter();
            let shards = shards.map(|shard| {
                format!("{}:waiting={},held={}", shard.pool, shard.waiting, shard.held)
            });
            println!(
                "instance={} reachable={} config={} open={} unstored_records={} draining={} shards=\"{}\"",
                daemon.instance,
                daemon.reachable,
                daemon.config,
                daemon.open,
                daemon.unstored_records,
                daemon.draining,
                shards.collect::<Vec<_>>().join(" ")
            );
        }
        Ok(ExitCode::SUCCESS)
    })
}
