//! The `experiment` command: goodput and wasted prefill at several loads.
//!
//! Runs the same arrivals under each admission policy, and through a reference queue that has
//! complete knowledge of its engines. Goodput is the number of requests that were answered
//! completely and within the targets of their service.

mod mix;
mod plot;
mod reference;
mod run;

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    eyre::Result,
    run::Row,
    std::path::PathBuf,
};

/// The `experiment` command.
pub(crate) fn command() -> Command {
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        text(name, default, help).value_parser(value_parser!(u64))
    };
    Command::new("experiment")
        .about("Measure goodput and wasted prefill")
        .arg(text("binary", "target/release/fireflyworks", "The daemon's binary"))
        .arg(text("mix", "matariki", "matariki or port-louis"))
        .arg(
            text("policies", "owner,fixed-split,least-load,round-robin", "How places are given")
                .value_delimiter(','),
        )
        .arg(
            text("loads", "0.7,0.9,1.0,1.2", "Offered load over capacity")
                .value_delimiter(',')
                .value_parser(value_parser!(f64)),
        )
        .arg(text("fault", "none", "none, engine or daemon; comes at half time"))
        .arg(number("seconds", "20", "Length of the arrivals of one run"))
        .arg(number("daemons", "4", "Daemons"))
        .arg(number("prefills", "4", "Prefill engines"))
        .arg(number("decodes", "6", "Decode engines"))
        .arg(number("seed", "1", "Seed of the arrivals"))
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help("Write OUT.json and OUT.svg"),
        )
}

/// Settings of an experiment: cluster sizes, mix of requests, fault, seed and length in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    binary: &'static str,
    mix: mix::Mix,
    fault: String,
    seconds: u64,
    daemons: usize,
    prefills: usize,
    decodes: usize,
    seed: u64,
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let plan = Plan {
        binary: text("binary").leak(),
        mix: mix::Mix::named(&text("mix"))?,
        fault: text("fault"),
        seconds: number("seconds"),
        daemons: number("daemons") as usize,
        prefills: number("prefills") as usize,
        decodes: number("decodes") as usize,
        seed: number("seed"),
    };
    let policies = matches.get_many::<String>("policies").into_iter().flatten();
    let policies: Vec<String> = policies.cloned().collect();
    let loads: Vec<f64> = matches.get_many::<f64>("loads").into_iter().flatten().copied().collect();
    let mut rows = Vec::new();
    println!("{}", Row::heading());
    for load in loads {
        let arrivals = plan.mix.arrivals(&plan, load);
        let row = reference::run(&plan, load, &arrivals);
        println!("{row}");
        rows.push(row);
        for policy in &policies {
            let row = smol::block_on(run::run(&plan, policy, load, &arrivals));
            println!("{row}");
            rows.push(row);
        }
    }
    if let Some(out) = matches.get_one::<PathBuf>("out") {
        std::fs::write(out.with_extension("json"), serde_json::to_vec_pretty(&rows)?)?;
        plot::write(&out.with_extension("svg"), &rows)?;
    }
    Ok(())
}
