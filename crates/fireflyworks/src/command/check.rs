//! `fireflyworks check`: checks a declaration file without a daemon.

use {
    super::{Example, Subcommand},
    crate::client,
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_protocol::declaration::Deployment,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "check",
    about: "Check a declaration file",
    examples: &[Example {
        description: "Check a bundled declaration",
        line: "fireflyworks check examples/matariki.toml",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command.arg(Arg::new("file").required(true).help("Declaration, TOML"))
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let text = client::read_file(matches)?;
    match Deployment::parse_submitted(&text) {
        Ok(deployment) => {
            println!(
                "ok: deployment {} with {} services, {} pools, {} workspaces",
                deployment.deployment,
                deployment.services.len(),
                deployment.pools.len(),
                deployment.workspaces.len()
            );
            Ok(ExitCode::SUCCESS)
        }
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            Ok(ExitCode::FAILURE)
        }
    }
}
