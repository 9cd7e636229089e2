//! The `fireflyworks` binary: the daemon and the operators' commands.

use {fireflyworks::command, std::process::ExitCode};

fn main() -> ExitCode {
    command::run(std::env::args_os().collect())
}
