//! `fireflyworks ledger verify`: checks the chains of the whole ledger.

use {
    super::{Entry, Example},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::VerifyLedgerRequest,
    std::process::ExitCode,
};

/// The command.
pub const ENTRY: Entry = Entry {
    name: "ledger",
    about: "Check the ledger",
    examples: &[Example {
        what: "Check every chain of records",
        line: "fireflyworks ledger verify --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    let verify = Command::new("verify").about("Check every chain").args(client::arguments());
    command.subcommand_required(true).subcommand(verify)
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((_, matches)) = matches.subcommand() else { return Ok(ExitCode::from(2)) };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(VerifyLedgerRequest {})?;
        let reply = client.rpc.verify_ledger(request).await;
        let reply = reply.map_err(|status| client::refused(&status))?.into_inner();
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
