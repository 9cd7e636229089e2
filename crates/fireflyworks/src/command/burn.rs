//! `fireflyworks burn`: prints for each service and workspace how fast it uses its error budget.

use {
    super::{Example, Subcommand},
    crate::client::{self, Client},
    clap::{ArgMatches, Command},
    eyre::Result,
    ffw_operator::generated::{BurnReply, BurnRequest, BurnRow},
    serde_json::json,
    std::process::ExitCode,
};

/// Name, help and code of the command.
pub const SUBCOMMAND: Subcommand = Subcommand {
    name: "burn",
    about: "Report how fast each service and workspace uses its error budget",
    examples: &[
        Example {
            description: "Print the report as a table",
            line: "fireflyworks burn --key secret-operator-key",
        },
        Example {
            description: "Print it as JSON for a program",
            line: "fireflyworks burn --format json --key secret-operator-key",
        },
    ],
    arguments,
    run,
};

fn arguments(command: Command) -> Command {
    command.arg(client::format_argument()).args(client::arguments())
}

fn run(matches: &ArgMatches) -> Result<ExitCode> {
    smol::block_on(async {
        let mut client = Client::connect(matches).await?;
        let request = client.request(BurnRequest {})?;
        let reply =
            client.rpc.burn(request).await.map_err(|status| client::refusal_error(&status))?;
        let reply = reply.into_inner();
        if client::is_json(matches) {
            print_json(&reply)
        } else {
            print_text(&reply)
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn print_text(reply: &BurnReply) {
    println!(
        "{:<16} {:<16} {:>7} {:>8} {:>7} {:>6} {:>8} {:>6} {:>9} {:>12}",
        "service",
        "workspace",
        "window",
        "total",
        "missed",
        "first",
        "between",
        "unav",
        "burn",
        "budget left"
    );
    for row in &reply.rows {
        println!(
            "{:<16} {:<16} {:>6}m {:>8} {:>7} {:>6} {:>8} {:>6} {:>8.2}x {:>11.0}%",
            row.service,
            row.workspace,
            row.window_s / 60,
            row.total,
            row.missed,
            row.first_token,
            row.between_tokens,
            row.unavailable,
            row.burn_rate,
            row.budget_left * 100.0
        );
    }
    println!("answered: {}", reply.answered.join(" "));
    if !reply.silent.is_empty() {
        println!("did not answer, not counted: {}", reply.silent.join(" "));
    }
}

fn print_json(reply: &BurnReply) {
    let to_json = |row: &BurnRow| {
        json!({
            "service": row.service, "workspace": row.workspace, "window_s": row.window_s,
            "total": row.total, "missed": row.missed, "first_token": row.first_token,
            "between_tokens": row.between_tokens, "unavailable": row.unavailable,
            "objective": row.objective, "burn_rate": row.burn_rate,
            "budget_left": row.budget_left,
        })
    };
    let rows: Vec<_> = reply.rows.iter().map(to_json).collect();
    let report = json!({ "rows": rows, "answered": reply.answered, "silent": reply.silent });
    println!("{report}");
}
