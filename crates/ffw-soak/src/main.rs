//! `ffw-soak`: executes soak runs with consecutive seeds and prints the violations of guarantees to
//! callers. Exits with failure if a run has any.

use {
    clap::{Arg, ArgAction, ArgMatches, Command},
    eyre::Result,
    ffw_runtime::executor,
    ffw_soak::run::{self, Options},
    std::{path::PathBuf, process::ExitCode, time::Duration},
};

fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("ffw-soak")
        .about("Run daemons under injected faults and check the guarantees to callers")
        .arg(option("seed", "1", "First seed"))
        .arg(option("runs", "1", "Number of runs; each uses the next seed"))
        .arg(option("steps", "24", "Number of steps in the plan of each run"))
        .arg(option("processes", "4", "Daemons"))
        .arg(flag("restores", "Also restore the store from copies of itself"))
        .arg(flag(
            "crashing-part",
            "Also send streams with a prompt part under which decode servers crash",
        ))
        .arg(flag(
            "crash-after-event",
            "Crash after the first event of such a stream, not before it",
        ))
        .arg(option(
            "crashing-period-ms",
            "0",
            "Time between two such streams; 0 for one of a few streams of each caller",
        ))
        .arg(flag("oddities", "Also draw odd answers, odd objects and silences of the store"))
        .arg(flag("losses", "Also lose what is sent on connections to the store"))
        .arg(flag("cut-answers", "Also lose the rest of responses of the store"))
        .arg(flag("only-restarts", "Restart the daemons one after the other, without any fault"))
        .arg(flag("rate-limits", "Also let plain servers state rate limits"))
        .arg(flag("releases", "Also release new versions of the servers' software"))
        .arg(flag(
            "release-kills",
            "Also kill all daemons, or all but one that was stopped, during releases",
        ))
        .arg(option("store-delay-ms", "0", "Time by which each response of the store is late"))
        .arg(option("program", "target/release/fireflyworks", "Path of the daemons' program"))
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
            restores: matches.get_flag("restores"),
            crashing_part: matches.get_flag("crashing-part"),
            crash_after_event: matches.get_flag("crash-after-event"),
            crashing_period: Duration::from_millis(number(&matches, "crashing-period-ms")?),
            oddities: matches.get_flag("oddities"),
            losses: matches.get_flag("losses"),
            cut_answers: matches.get_flag("cut-answers"),
            only_restarts: matches.get_flag("only-restarts"),
            rate_limits: matches.get_flag("rate-limits"),
            releases: matches.get_flag("releases") || matches.get_flag("release-kills"),
            release_kills: matches.get_flag("release-kills"),
            store_delay: Duration::from_millis(number(&matches, "store-delay-ms")?),
            daemons: number(&matches, "processes")? as usize,
            program: text(&matches, "program").into(),
            folder: folder.clone(),
        };
        let verdict = executor::run(run::execute(options))??;
        let (served, requests) = (verdict.served, verdict.requests);
        println!(
            "seed {seed}: {served} of {requests} served, {} violations",
            verdict.violations.len()
        );
        if !verdict.violations.is_empty() {
            failed += 1;
            verdict.violations.iter().take(10).for_each(|line| println!("  {line}"));
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
