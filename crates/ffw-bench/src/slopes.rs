//! Costs of a daemon at several sizes, the slopes through them, and what they come to at the size
//! of letter 1.

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

/// A straight line through measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    base: f64,
    slope: f64,
}

impl Line {
    /// Least squares.
    fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let product: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = if spread > 0.0 { product / spread } else { 0.0 };
        Line { base: mean_y - slope * mean_x, slope }
    }

    fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Costs at several values of one size.
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
    let span = Duration::from_secs(seconds);
    let base = cluster::Plan {
        plains: 0,
        arguments: vec!["--log-level", "error"],
        ..cluster::Plan::new(binary)
    };
    let wanted = |name: &str| only.as_ref().is_none_or(|only| only == name);
    let mut all = Vec::new();
    if wanted("daemons") {
        all.push(by_daemons(&base, span));
    }
    if wanted("workers") {
        all.push(by_workers(&base, span));
    }
    if wanted("requests") {
        all.push(by_requests(&base, span));
    }
    if wanted("workspaces") {
        all.push(by_workspaces(&base, span));
    }
    all.iter().for_each(Series::print);
    if only.is_none() {
        project::print(&all);
    }
    Ok(())
}

fn by_daemons(base: &cluster::Plan, span: Duration) -> Series {
    let measure = |daemons: usize| {
        let plan = cluster::Plan { daemons, ..base.clone() };
        (daemons as f64, smol::block_on(sample::idle(plan, span)))
    };
    Series { name: "idle, by daemons", samples: [3, 8, 24].map(measure).to_vec() }
}

fn by_workers(base: &cluster::Plan, span: Duration) -> Series {
    let measure = |workers: usize| {
        let (prefills, decodes) = (workers / 2, workers - workers / 2);
        let plan = cluster::Plan { daemons: 3, prefills, decodes, ..base.clone() };
        (workers as f64, smol::block_on(sample::idle(plan, span)))
    };
    Series { name: "idle, by workers of one shard", samples: [4, 16, 64].map(measure).to_vec() }
}

fn by_requests(base: &cluster::Plan, span: Duration) -> Series {
    let measure = |rate: u64| {
        let plan = cluster::Plan { daemons: 3, prefills: 4, decodes: 6, ..base.clone() };
        (rate as f64, smol::block_on(sample::loaded(plan, span, rate)))
    };
    let name = "loaded, by requests a second over three daemons";
    Series { name, samples: [1, 6, 18].map(measure).to_vec() }
}

fn by_workspaces(base: &cluster::Plan, span: Duration) -> Series {
    let measure = |workspaces: usize| {
        let declaration = with_workspaces(&base.declaration, workspaces).into();
        let plan = cluster::Plan { declaration, daemons: 3, ..base.clone() };
        (workspaces as f64, smol::block_on(sample::changing(plan, span)))
    };
    let name = "a change each second, by workspaces";
    Series { name, samples: [10, 1_000, 3_000].map(measure).to_vec() }
}

/// The declaration with so many workspaces more.
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
