//! What the slopes come to at the size of letter 1.

use super::{Series, sample::Cost};

const DAEMONS: f64 = 400.0;
const WORKERS: f64 = 600.0;
const POOLS: f64 = 5.0;
const REQUESTS: f64 = 6_700.0;
const WORKSPACES: f64 = 8_300.0;
const CHANGES_A_SECOND: f64 = 1_200.0 / 86_400.0;
const DATA_CENTRES: f64 = 8.0;

/// Daemons of the loaded samples.
const LOADED_DAEMONS: f64 = 3.0;

/// Prints the table.
pub(crate) fn print(all: &[Series]) {
    let [daemons, workers, requests, workspaces] = all else { return };
    let shard_workers = WORKERS / POOLS / DATA_CENTRES;
    let rate = REQUESTS / DAEMONS * LOADED_DAEMONS;
    println!(
        "\nat {DAEMONS} daemons, {WORKERS} workers, {REQUESTS} requests/s, {WORKSPACES} workspaces"
    );
    println!("(a shard of {shard_workers} workers; {:.1} requests/s a daemon)", REQUESTS / DAEMONS);
    for cost in Cost::ALL {
        let idle = daemons.line(cost).at(DAEMONS);
        let by_workers = workers.line(cost).slope * shard_workers;
        let control = idle + by_workers.max(0.0);
        let by_requests = requests.line(cost).slope * rate;
        let changing = workspaces.line(cost);
        let by_change = (changing.at(WORKSPACES) - daemons.line(cost).at(3.0)) * CHANGES_A_SECOND;
        println!(
            "{:<34} control {:>12.3}  requests {:>12.3}  changes {:>12.3}",
            cost.name(),
            control,
            by_requests,
            by_change
        );
    }
}
