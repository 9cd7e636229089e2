//! `fireflyworks get`: prints a configuration version.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::GetRequest,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "get",
    about: "Print a configuration version",
    examples: &[Example {
        description: "Print the declaration in force",
        line: "fireflyworks get --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("version")
                .long("number")
                .default_value("0")
                .value_parser(clap::value_parser!(u64))
                .help("Number of the version; 0 for the one in force"),
        )
        .args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let number = client::number(matches, "version");
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(GetRequest { number })?;
        let reply =
            client.rpc.get(request).await.map_err(|status| client::refusal_error(&status))?;
        let version = reply.into_inner();
        println!("# version {} by {}: {}", version.number, version.author, version.reason);
        println!("# change {} hash {}", version.change, version.hash);
        if !version.drained.is_empty() {
            println!("# drained: {}", version.drained.join(" "));
        }
        print!("{}", version.declaration);
        Ok(ExitCode::SUCCESS)
    })
}
