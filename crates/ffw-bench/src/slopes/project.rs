//! Extrapolates the measured lines to the required size of a deployment and prints the costs
//! there.

use super::{Series, sample::Cost};

// The required size, over all data centres.
const DAEMONS: f64 = 400.0;
const WORKERS: f64 = 600.0;
const POOLS: f64 = 5.0;
const REQUESTS_PER_S: f64 = 6_700.0;
const WORKSPACES: f64 = 8_300.0;
/// Changes of the configuration; 1,200 a day.
const CHANGES_PER_S: f64 = 1_200.0 / 86_400.0;
const DATA_CENTRES: f64 = 8.0;

/// Number of daemons in the samples under load.
const LOADED_DAEMONS: f64 = 3.0;

/// Prints the costs of one daemon, or of all where the cost is a sum, at the required size: without
/// requests and changes, and what the requests and the changes add. Prints nothing unless all four
/// series are given, in the order in which the command measures them.
pub(crate) fn print(series: &[Series]) {
    let [daemons, workers, requests, workspaces] = series else { return };
    let shard_workers = WORKERS / POOLS / DATA_CENTRES;
    let rate = REQUESTS_PER_S / DAEMONS * LOADED_DAEMONS;
    println!(
        "\nat {DAEMONS} daemons, {WORKERS} workers, {REQUESTS_PER_S} requests/s, {WORKSPACES} workspaces"
    );
    println!(
        "(a shard of {shard_workers} workers; {:.1} requests/s a daemon)",
        REQUESTS_PER_S / DAEMONS
    );
    for cost in Cost::ALL {
        let idle = daemons.line(cost).value_at(DAEMONS);
        let by_workers = workers.line(cost).slope * shard_workers;
        let control = idle + by_workers.max(0.0);
        let by_requests = requests.line(cost).slope * rate;
        let changing = workspaces.line(cost);
        // The samples with changes have three daemons.
        let by_change =
            (changing.value_at(WORKSPACES) - daemons.line(cost).value_at(3.0)) * CHANGES_PER_S;
        println!(
            "{:<34} control {:>12.3}  requests {:>12.3}  changes {:>12.3}",
            cost.name(),
            control,
            by_requests,
            by_change
        );
    }
}
