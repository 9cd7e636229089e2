//! `fireflyworks plan`: shows what `apply` would change, without changing it.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::PlanRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "plan",
    about: "Show what `apply` would change",
    examples: &[Example {
        description: "Compare a declaration with the version in force",
        line: "fireflyworks plan examples/matariki.toml --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command.arg(Arg::new("file").required(true).help("Declaration, TOML")).args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let declaration = client::read_file(matches)?;
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(PlanRequest { declaration })?;
        let reply =
            client.rpc.plan(request).await.map_err(|status| client::refusal_error(&status))?;
        let reply = reply.into_inner();
        if !reply.problems.is_empty() {
            reply.problems.iter().for_each(|problem| eprintln!("{problem}"));
            return Ok(ExitCode::FAILURE);
        }
        println!("version in force: {}", reply.in_force);
        match reply.difference.as_str() {
            "" => println!("nothing would change"),
            difference => print!("{difference}"),
        }
        println!("apply with --expected {}", reply.in_force);
        Ok(ExitCode::SUCCESS)
    })
}
