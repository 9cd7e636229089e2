//! The commands. Each module is named after its command and has its arguments, examples and code.

pub mod apply;
pub mod burn;
pub mod check;
pub mod drain;
pub mod explain;
pub mod get;
pub mod history;
pub mod ledger;
pub mod plan;
pub mod quarantine;
pub mod route;
pub mod serve;
pub mod status;

use {
    clap::{ArgMatches, Command},
    eyre::Result,
    std::{ffi::OsString, process::ExitCode},
};

/// An example of a command. A test parses each.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// What the example does.
    pub description: &'static str,
    /// The command line.
    pub line: &'static str,
}

/// A subcommand of `fireflyworks`.
#[derive(Clone, Copy, Debug)]
pub struct Subcommand {
    /// Name on the command line.
    pub name: &'static str,
    /// One line of help.
    pub about: &'static str,
    /// Examples for the help text, at least one.
    pub examples: &'static [Example],
    /// Adds the command's arguments.
    pub arguments: fn(Command) -> Command,
    /// Runs the command.
    pub run: fn(&ArgMatches) -> Result<ExitCode>,
}

/// All commands, in alphabetical order.
pub const ALL: [Subcommand; 13] = [
    apply::SUBCOMMAND,
    burn::SUBCOMMAND,
    check::SUBCOMMAND,
    drain::SUBCOMMAND,
    explain::SUBCOMMAND,
    get::SUBCOMMAND,
    history::SUBCOMMAND,
    ledger::SUBCOMMAND,
    plan::SUBCOMMAND,
    quarantine::SUBCOMMAND,
    route::SUBCOMMAND,
    serve::SUBCOMMAND,
    status::SUBCOMMAND,
];

/// The parser of the whole command line.
pub fn build() -> Command {
    let base = Command::new("fireflyworks")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Router for separate prefill and decode pools")
        .subcommand_required(true)
        .arg_required_else_help(true);
    ALL.iter().fold(base, |base, command| base.subcommand(build_subcommand(command)))
}

fn build_subcommand(command: &Subcommand) -> Command {
    let lines = command
        .examples
        .iter()
        .map(|example| format!("  # {}\n  {}\n", example.description, example.line));
    let help = format!("Examples:\n{}", lines.collect::<String>());
    (command.arguments)(Command::new(command.name).about(command.about).after_help(help))
}

/// Parses the arguments, which start with the program name, and runs their command. Ends the
/// process if they are not valid.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let matches = match build().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(err) => err.exit(),
    };
    let Some((name, matches)) = matches.subcommand() else { return ExitCode::from(2) };
    let Some(command) = ALL.iter().find(|command| command.name == name) else {
        return ExitCode::from(2);
    };
    (command.run)(matches).unwrap_or_else(|report| {
        eprintln!("error: {report:#}");
        ExitCode::FAILURE
    })
}
