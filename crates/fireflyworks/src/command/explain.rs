//! `fireflyworks explain`: prints the grants that the same owner made before a request, and the
//! request's own ledger records.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::{ExplainRequest, Record},
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "explain",
    about: "Show which requests were served before a request, and why",
    examples: &[Example {
        description: "Explain a request by the id in the `fireflyworks-request` header of its response",
        line: "fireflyworks explain entry-1.64f.1 --before 5 --key secret-operator-key",
    }],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command
        .arg(Arg::new("request").required(true).help("Request id"))
        .arg(
            Arg::new("before")
                .long("before")
                .default_value("10")
                .value_parser(clap::value_parser!(u64))
                .help("Number of grants before the request that are shown"),
        )
        .args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let message = ExplainRequest {
        request: client::text(matches, "request"),
        before: client::number(matches, "before") as u32,
    };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(message)?;
        let reply =
            client.rpc.explain(request).await.map_err(|status| client::refusal_error(&status))?;
        let reply = reply.into_inner();
        println!("granted before it by the same owner:");
        reply.before.iter().for_each(print);
        println!("its own records:");
        reply.records.iter().for_each(print);
        Ok(ExitCode::SUCCESS)
    })
}

fn print(record: &Record) {
    println!(
        "  at_ms={} request={} attempt={} workspace={} service={} {}",
        record.at_ms,
        record.request,
        record.attempt,
        record.workspace,
        record.service,
        record.event
    );
}
