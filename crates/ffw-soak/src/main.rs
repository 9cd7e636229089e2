//! `ffw-soak`: plays runs with seeds and tells which promises broke.

use {
    clap::{Arg, ArgMatches, Command},
    eyre::Result,
    ffw_runtime::executor,
    ffw_soak::run::{self, Options},
    std::{path::PathBuf, process::ExitCode},
};

fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("ffw-soak")
        .about("Soak real daemons under faults")
        .arg(option("seed", "1", "First seed"))
        .arg(option("runs", "1", "Runs, each with the next seed"))
        .arg(option("steps", "24", "Steps of a run"))
        .arg(option("processes", "4", "Daemons"))
        .arg(option("program", "target/release/fireflyworks", "Program of the daemons"))
        .arg(option("folder", "target/soak", "Folder for settings, plans and logs"))
}

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let (seed, runs) = (number(&matches, "seed")?, number(&matches, "runs")?);
    let mut failed = 0;
    for seed in seed..seed + runs {
        let folder = run::folder(&PathBuf::from(text(&matches, "folder")), seed);
        let options = Options {
            seed,
            steps: number(&matches, "steps")? as usize,
            daemons: number(&matches, "processes")? as usize,
            program: text(&matches, "program").into(),
            folder: folder.clone(),
        };
        let verdict = executor::run(run::play(options))??;
        let (served, requests) = (verdict.served, verdict.requests);
        println!("seed {seed}: {served} of {requests} served, {} broken", verdict.broken.len());
        if !verdict.broken.is_empty() {
            failed += 1;
            verdict.broken.iter().take(10).for_each(|line| println!("  {line}"));
            println!("  plan and logs: {}", folder.display());
        }
    }
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn number(matches: &ArgMatches, name: &str) -> Result<u64> {
    Ok(text(matches, name).parse()?)
}
