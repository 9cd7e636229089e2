//! The `slopes` command: measures the costs of a daemon at several sizes of the deployment,
//! fits a straight line through each cost, and extrapolates the lines to the required size (see
//! [`project`]).

mod project;
mod sample;

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    eyre::Result,
    ffw_support::cluster,
    sample::{Cost, Sample},
    std::time::Duration,
};

/// The `slopes` command.
pub(crate) fn command() -> Command {
    Command::new("slopes")
        .about("Measure what control costs, and work out the size of letter 1")
        .arg(Arg::new("binary").long("binary").default_value("target/release/fireflyworks"))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("10")
                .value_parser(value_parser!(u64))
                .help("Length of each sample"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_parser(["daemons", "workers", "requests", "workspaces"])
                .help("Measure one slope only"),
        )
}

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    base: f64,
    slope: f64,
}

impl Line {
    /// Fits the line by least squares. The slope is 0 if all points have the same `x`.
    fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        Line { base: mean_y - slope * mean_x, slope }
    }

    fn value_at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Samples at several values of one size, such as the number of daemons.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    name: &'static str,
    samples: Vec<(f64, Sample)>,
}

impl Series {
    fn line(&self, cost: Cost) -> Line {
        let points: Vec<(f64, f64)> =
            self.samples.iter().map(|(size, sample)| (*size, sample.get(cost))).collect();
        Line::through(&points)
    }

    fn print(&self) {
        println!("\n{}", self.name);
        print!("{:<34}", "cost");
        self.samples.iter().for_each(|(size, _)| print!("{size:>12}"));
        println!("{:>14}{:>14}", "base", "slope");
        for cost in Cost::ALL {
            print!("{:<34}", cost.name());
            self.samples.iter().for_each(|(_, sample)| print!("{:>12.3}", sample.get(cost)));
            let line = self.line(cost);
            println!("{:>14.4}{:>14.6}", line.base, line.slope);
        }
    }
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let binary = matches.get_one::<String>("binary").cloned().unwrap_or_default().leak();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
    let only = matches.get_one::<String>("only").cloned();
    let sample_time = Duration::from_secs(seconds);
    let base = cluster::Plan {
        plains: 0,
        arguments: vec!["--log-level", "error"],
        ..cluster::Plan::new(binary)
    };
    let is_selected = |name: &str| only.as_ref().is_none_or(|only| only == name);
    let mut series = Vec::new();
    if is_selected("daemons") {
        series.push(by_daemons(&base, sample_time));
    }
    if is_selected("workers") {
        series.push(by_workers(&base, sample_time));
    }
    if is_selected("requests") {
        series.push(by_requests(&base, sample_time));
    }
    if is_selected("workspaces") {
        series.push(by_workspaces(&base, sample_time));
    }
    series.iter().for_each(Series::print);
    if only.is_none() {
        project::print(&series);
    }
    Ok(())
}

fn by_daemons(base: &cluster::Plan, sample_time: Duration) -> Series {
    let measure = |daemons: usize| {
        let plan = cluster::Plan { daemons, ..base.clone() };
        (daemons as f64, smol::block_on(sample::idle(plan, sample_time)))
    };
    Series { name: "idle, by daemons", samples: [3, 8, 24].map(measure).to_vec() }
}

fn by_workers(base: &cluster::Plan, sample_time: Duration) -> Series {
    let measure = |workers: usize| {
        let (prefills, decodes) = (workers / 2, workers - workers / 2);
        let plan = cluster::Plan { daemons: 3, prefills, decodes, ..base.clone() };
        (workers as f64, smol::block_on(sample::idle(plan, sample_time)))
    };
    Series { name: "idle, by workers of one shard", samples: [4, 16, 64].map(measure).to_vec() }
}

fn by_requests(base: &cluster::Plan, sample_time: Duration) -> Series {
    let measure = |rate: u64| {
        let plan = cluster::Plan { daemons: 3, prefills: 4, decodes: 6, ..base.clone() };
        (rate as f64, smol::block_on(sample::loaded(plan, sample_time, rate)))
    };
    let name = "loaded, by requests a second over three daemons";
    Series { name, samples: [1, 6, 18].map(measure).to_vec() }
}

fn by_workspaces(base: &cluster::Plan, sample_time: Duration) -> Series {
    let measure = |workspaces: usize| {
        let declaration = with_workspaces(&base.declaration, workspaces).into();
        let plan = cluster::Plan { declaration, daemons: 3, ..base.clone() };
        (workspaces as f64, smol::block_on(sample::changing(plan, sample_time)))
    };
    let name = "a change each second, by workspaces";
    Series { name, samples: [10, 1_000, 3_000].map(measure).to_vec() }
}

/// The declaration with `count` additional workspaces.
fn with_workspaces(declaration: &str, count: usize) -> String {
    let mut text = declaration.to_owned();
    for number in 0..count {
        let digest = ffw_protocol::digest::hex(format!("key {number}").as_bytes());
        text += &format!(
            "\n[[workspace]]\nname = \"workspace-{number}\"\nkey_sha256 = \"{digest}\"\nservices = [\"captions\"]\n"
        );
    }
    text
}
