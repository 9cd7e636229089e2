//! The commands, each in its file, named as typed.

pub mod apply;
pub mod burn;
pub mod check;
pub mod drain;
pub mod explain;
pub mod get;
pub mod history;
pub mod ledger;
pub mod plan;
pub mod route;
pub mod serve;
pub mod status;

use {
    clap::{ArgMatches, Command},
    eyre::Result,
    std::{ffi::OsString, process::ExitCode},
};

/// An example of a command's use. Tests run each.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// What it does.
    pub what: &'static str,
    /// The line as typed.
    pub line: &'static str,
}

/// One command.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name as typed.
    pub name: &'static str,
    /// One line of help.
    pub about: &'static str,
    /// Examples.
    pub examples: &'static [Example],
    /// Adds the command's arguments.
    pub arguments: fn(Command) -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> Result<ExitCode>,
}

/// All commands, in order of name.
pub const ALL: [Entry; 12] = [
    apply::ENTRY,
    burn::ENTRY,
    check::ENTRY,
    drain::ENTRY,
    explain::ENTRY,
    get::ENTRY,
    history::ENTRY,
    ledger::ENTRY,
    plan::ENTRY,
    route::ENTRY,
    serve::ENTRY,
    status::ENTRY,
];

/// The whole command line.
pub fn build() -> Command {
    let base = Command::new("fireflyworks")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Router for separate prefill and decode pools")
        .subcommand_required(true)
        .arg_required_else_help(true);
    ALL.iter().fold(base, |command, entry| command.subcommand(build_one(entry)))
}

fn build_one(entry: &Entry) -> Command {
    let lines = entry.examples.iter().map(|one| format!("  # {}\n  {}\n", one.what, one.line));
    let help = format!("Examples:\n{}", lines.collect::<String>());
    (entry.arguments)(Command::new(entry.name).about(entry.about).after_help(help))
}

/// Runs the command that the arguments name.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let matches = match build().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(err) => err.exit(),
    };
    let Some((name, matches)) = matches.subcommand() else { return ExitCode::from(2) };
    let Some(entry) = ALL.iter().find(|entry| entry.name == name) else {
        return ExitCode::from(2);
    };
    (entry.run)(matches).unwrap_or_else(|report| {
        eprintln!("error: {report:#}");
        ExitCode::FAILURE
    })
}
