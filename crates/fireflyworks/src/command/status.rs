//! `fireflyworks status`: the state of each daemon.

use {
    super::{Entry, Example},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::StatusRequest,
    std::process::ExitCode,
};

/// The command.
pub const ENTRY: Entry = Entry {
    name: "status",
    about: "Show the state of each daemon",
    examples: &[Example {
        what: "Ask one daemon for the state of all",
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
        let reply = client.rpc.status(request).await.map_err(|status| client::refused(&status))?;
        for one in reply.into_inner().daemons {
            let shards = one.shards.iter();
            let shards =
                shards.map(|s| format!("{}:waiting={},held={}", s.pool, s.waiting, s.held));
            println!(
                "instance={} reachable={} config={} open={} unstored_records={} draining={} shards=\"{}\"",
                one.instance,
                one.reachable,
                one.config,
                one.open,
                one.unstored_records,
                one.draining,
                shards.collect::<Vec<_>>().join(" ")
            );
        }
        Ok(ExitCode::SUCCESS)
    })
}
