//! Development tool that starts daemon processes among stand-ins for the platform and the
//! engines. `experiment` compares admission policies by goodput; `slopes` measures the costs of
//! a daemon that `docs/CAPACITY.md` builds on.

mod experiment;
mod slopes;

use {clap::Command, eyre::Result, std::process::ExitCode};

fn main() -> Result<ExitCode> {
    let command = Command::new("ffw-bench")
        .about("Experiments and measured slopes; for development only")
        .subcommand_required(true)
        .subcommand(experiment::command())
        .subcommand(slopes::command());
    let matches = command.get_matches();
    match matches.subcommand() {
        Some(("experiment", matches)) => experiment::run(matches)?,
        Some(("slopes", matches)) => slopes::run(matches)?,
        _ => return Ok(ExitCode::from(2)),
    }
    Ok(ExitCode::SUCCESS)
}
