//! `fireflyworks check`: checks a declaration file without a daemon.

use {
    super::{Entry, Example},
    crate::client,
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_protocol::declaration::Deployment,
    std::process::ExitCode,
};

/// The command.
pub const ENTRY: Entry = Entry {
    name: "check",
    about: "Check a declaration file",
    examples: &[Example {
        what: "Check a bundled declaration",
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
    match Deployment::parse(&text) {
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
