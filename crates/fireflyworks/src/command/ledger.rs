//! `fireflyworks ledger verify`: checks each hash chain of the ledger. The exit code is a failure
//! if a chain is broken.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::VerifyLedgerRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "ledger",
    about: "Check the ledger",
    examples: &[Example {
        description: "Check each hash chain of the records",
        line: "fireflyworks ledger verify --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    let verify = Command::new("verify").about("Check each hash chain").args(client::arguments());
    command.subcommand_required(true).subcommand(verify)
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((_, matches)) = matches.subcommand() else { return Ok(ExitCode::from(2)) };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(VerifyLedgerRequest {})?;
        let reply = client.rpc.verify_ledger(request).await;
        let reply = reply.map_err(|status| client::refusal_error(&status))?.into_inner();
        for chain in &reply.chains {
            let state = if chain.broken.is_empty() { "holds" } else { &*chain.broken };
            println!(
                "instance={} incarnation={:x} records={} chain=\"{state}\"",
                chain.instance, chain.incarnation, chain.records
            );
        }
        let all_hold = reply.chains.iter().all(|chain| chain.broken.is_empty());
        Ok(if all_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    })
}
