//! `fireflyworks explain`: who was served before a request, and why.

use {
    super::{Entry, Example},
    crate::client::{self, Client},
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::{ExplainRequest, Record},
    std::process::ExitCode,
};

/// The command.
pub const ENTRY: Entry = Entry {
    name: "explain",
    about: "Show who was served before a request, and why",
    examples: &[Example {
        what: "Explain a request by the id of its answer's `fireflyworks-request` header",
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
                .help("How many grants before it are shown"),
        )
        .args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let asked = ExplainRequest {
        request: client::text(matches, "request"),
        before: client::number(matches, "before") as u32,
    };
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(asked)?;
        let reply = client.rpc.explain(request).await.map_err(|status| client::refused(&status))?;
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
