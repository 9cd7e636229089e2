//! Decides which plain requests leave their data centre: the share of each pool's requests that is
//! sent to other data centres, and to which.
//!
//! The load is callers that move between data centres, so that the servers of one are too few for a
//! time while those of another have room. The cost of a data centre is the answer time that is
//! observed there, which contains waiting, service and round trip, relative to the target of the
//! request, plus a price for the bytes that cross the boundary. The share grows while staying costs
//! more than leaving and endangers the target, and falls otherwise. Each daemon changes its share
//! slowly, so that many daemons which decide at the same moment see what they cause before they send
//! more.

use {
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Fraction of the target up to which the observed time is no reason to leave. The observed time is
/// an average, some requests take about twice as long, and the queue grows while the share does.
const COMFORT: f64 = 0.4;

/// Difference of costs, in targets, from which the share changes at its full speed. Smaller
/// differences change it more slowly, which keeps it from swinging: with 0.5 and a weight of 0.2 for
/// new samples, 4 in 100 more requests were late after a jump of the load.
const FULL_SPEED_GAP: f64 = 0.7;

/// Largest change of a share per second if staying endangers the target, or leaving costs more than
/// staying. Answers show the effect of
/// a change after some tenths of a second; at 2.0, the daemons overloaded the other data centres.
const FAST_PER_S: f64 = 1.0;

/// Largest fall of a share per second while staying does not endanger the target and leaving costs no
/// more.
const RETURN_PER_S: f64 = 0.25;

/// Longest time between two requests that counts for a change of the share: an interval without
/// requests shows nothing.
const STEP_MAX: Duration = Duration::from_millis(250);

/// Largest share while the data centre has servers; the rest shows when they have room again.
const SHARE_MAX: f64 = 0.97;

/// Share from which sending away is reported as begun. It is reported as ended at zero.
const REPORTED_SHARE: f64 = 0.02;

/// Weight of a new sample in the recent answer time.
const RECENT_WEIGHT: f64 = 0.35;

/// Weight of a new sample in the usual answer time, if it is shorter and if it is longer. The usual
/// time is that without waiting.
const USUAL_WEIGHTS: [f64; 2] = [0.2, 0.005];

/// Time without samples over which the recent answer time fades to the usual one.
const FADE: Duration = Duration::from_secs(2);

/// What a request that was refused or failed costs, in targets: more than one that is late, as it
/// also arrives at a second server.
const MISS_COST: f64 = 2.0;

/// Upper limit of the price of the bytes, in targets: no price outweighs a missed target.
const PRICE_MAX: f64 = 1.0;

/// Answer time of a data centre while none has answered, in seconds.
const INITIAL_TIME_S: f64 = 0.02;

const MS_PER_S: f64 = 1e3;
const BYTES_PER_GB: f64 = 1e9;

/// A request that needs a data centre.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Pool that serves it.
    pub pool: &'a Arc<str>,
    /// Latency that its caller wants.
    pub target: Duration,
    /// Data centres with servers that can be chosen, in order.
    pub data_centres: &'a [Arc<str>],
    /// Number that increases with each request, by which the share is spread evenly.
    pub turn: u64,
}

/// Why a request is sent to another data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Requests that stay would miss their target.
    Target,
    /// This data centre has no servers that can be chosen.
    NoServers,
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Why it leaves; `None` if it stays.
    pub cause: Option<Cause>,
    /// Whether sending away begins or ends with this request.
    pub change: Option<Change>,
}

/// A change that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A share of the pool's requests is sent away from now on.
    Begun,
    /// All requests stay again.
    Ended,
}

/// How a request at a data centre ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It was answered after this time, and this many bytes were moved.
    Answered(Duration, u64),
    /// It was refused, failed, or got no answer in time.
    Missed,
}

/// Answer times of a pool's servers in one data centre.
#[derive(Clone, Debug)]
struct Site {
    name: Arc<str>,
    recent_s: f64,
    usual_s: f64,
    /// Fraction of the recent requests that missed.
    missed: f64,
    sampled_at: Moment,
}

impl Site {
    fn record(&mut self, now: Moment, sample: Sample) {
        let fading = self.fading(now);
        self.recent_s = self.usual_s + (self.recent_s - self.usual_s) * fading;
        self.missed *= fading;
        self.sampled_at = now;
        match sample {
            Sample::Answered(time, _) => {
                let time_s = time.as_secs_f64();
                let usual_weight = USUAL_WEIGHTS[usize::from(time_s > self.usual_s)];
                self.recent_s += (time_s - self.recent_s) * RECENT_WEIGHT;
                self.usual_s += (time_s - self.usual_s) * usual_weight;
                self.missed -= self.missed * RECENT_WEIGHT;
            }
            Sample::Missed => self.missed += (1.0 - self.missed) * RECENT_WEIGHT,
        }
    }

    /// Expected cost of a request without the price of its bytes, in targets.
    fn cost(&self, now: Moment, target: Duration) -> f64 {
        let fading = self.fading(now);
        let time_s = self.usual_s + (self.recent_s - self.usual_s) * fading;
        let missed = self.missed * fading;
        let in_targets = time_s / target.as_secs_f64().max(0.001);
        in_targets * (1.0 - missed) + MISS_COST * missed
    }

    fn fading(&self, now: Moment) -> f64 {
        (1.0 - now.since(self.sampled_at).as_secs_f64() / FADE.as_secs_f64()).max(0.0)
    }
}

/// Share of one pool.
#[derive(Clone, Debug)]
struct Pool {
    name: Arc<str>,
    share: f64,
    changed_at: Moment,
    is_reported: bool,
    sites: Vec<Site>,
    /// Moving average of the bytes that a request moves.
    bytes: f64,
}

impl Pool {
    fn site(&mut self, name: &Arc<str>) -> &mut Site {
        let index = match self.sites.binary_search_by(|site| site.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let known = self.sites.iter().map(|site| site.usual_s).reduce(f64::min);
                let usual_s = known.unwrap_or(INITIAL_TIME_S);
                let (missed, sampled_at) = (0.0, Moment(0));
                let site =
                    Site { name: name.clone(), recent_s: usual_s, usual_s, missed, sampled_at };
                self.sites.insert(index, site);
                index
            }
        };
        &mut self.sites[index]
    }

    /// Moves the share by the difference between the costs of staying and of leaving.
    fn adapt(&mut self, now: Moment, here: f64, away: f64) {
        let elapsed_s = now.since(self.changed_at).min(STEP_MAX).as_secs_f64();
        self.changed_at = now;
        let gap = here - away.max(COMFORT);
        let is_fast = gap > 0.0 || away > here;
        let speed = if is_fast { FAST_PER_S } else { RETURN_PER_S };
        let step = elapsed_s * speed * (gap / FULL_SPEED_GAP).clamp(-1.0, 1.0);
        self.share = (self.share + step).clamp(0.0, SHARE_MAX);
    }

    fn take_change(&mut self) -> Option<Change> {
        let is_begun = !self.is_reported && self.share >= REPORTED_SHARE;
        let is_ended = self.is_reported && self.share <= 0.0;
        self.is_reported ^= is_begun || is_ended;
        match (is_begun, is_ended) {
            (true, _) => Some(Change::Begun),
            (_, true) => Some(Change::Ended),
            _ => None,
        }
    }
}

/// Shares of all pools of one daemon.
#[derive(Clone, Debug)]
pub struct Locality {
    home: Arc<str>,
    /// Price of a GB between data centres, in milliseconds.
    gb_ms: f64,
    pools: Vec<Pool>,
}

impl Locality {
    /// Nothing is sent away at first. A GB between data centres may cost `gb_ms` milliseconds.
    pub fn new(home: Arc<str>, gb_ms: f64) -> Locality {
        Locality { home, gb_ms, pools: Vec::new() }
    }

    /// Chooses the data centre of a request, and adapts the share of its pool. `None` if no data
    /// centre has servers.
    pub fn choose(&mut self, now: Moment, request: &Request<'_>) -> Option<Choice> {
        let (home, gb_ms) = (self.home.clone(), self.gb_ms);
        let is_home = |name: &Arc<str>| *name == home;
        let pool = self.pool(request.pool, now);
        let target_ms = request.target.as_secs_f64() * MS_PER_S;
        let price = (pool.bytes / BYTES_PER_GB * gb_ms / target_ms.max(1.0)).min(PRICE_MAX);
        let others = request.data_centres.iter().filter(|name| !is_home(name));
        let others: Vec<(&Arc<str>, f64)> =
            others.map(|name| (name, pool.site(name).cost(now, request.target) + price)).collect();
        if !request.data_centres.iter().any(is_home) {
            let weights = others.iter().map(|(name, cost)| (*name, (1.0 - cost).max(0.01)));
            let data_centre = pick(weights.collect(), request.turn)?;
            return Some(Choice { data_centre, cause: Some(Cause::NoServers), change: None });
        }
        let here = pool.site(&home).cost(now, request.target);
        let least = others.iter().map(|(_, cost)| *cost).fold(f64::INFINITY, f64::min);
        pool.adapt(now, here, least);
        let change = pool.take_change();
        let leaves = spread(request.turn, GOLDEN_RATIO) < pool.share;
        let weights = others.iter().map(|(name, cost)| (*name, (here - cost).max(0.0)));
        let chosen = leaves.then(|| pick(weights.collect(), request.turn)).flatten();
        let cause = chosen.is_some().then_some(Cause::Target);
        Some(Choice { data_centre: chosen.unwrap_or(home), cause, change })
    }

    /// Records how a request at a data centre ended.
    pub fn record(&mut self, now: Moment, pool: &Arc<str>, data_centre: &Arc<str>, sample: Sample) {
        let pool = self.pool(pool, now);
        pool.site(data_centre).record(now, sample);
        if let Sample::Answered(_, bytes) = sample {
            pool.bytes += (bytes as f64 - pool.bytes) * RECENT_WEIGHT;
        }
    }

    /// Each pool with the share of its requests that is sent away, in order.
    pub fn shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.pools.iter().map(|pool| (&pool.name, pool.share))
    }

    /// Drops pools that have no servers any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.pools.retain(|pool| is_listed(&pool.name));
    }

    fn pool(&mut self, name: &Arc<str>, now: Moment) -> &mut Pool {
        let index = match self.pools.binary_search_by(|pool| pool.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let pool = Pool {
                    name: name.clone(),
                    share: 0.0,
                    changed_at: now,
                    is_reported: false,
                    sites: Vec::new(),
                    bytes: 0.0,
                };
                self.pools.insert(index, pool);
                index
            }
        };
        &mut self.pools[index]
    }
}

/// Steps whose multiples are spread evenly over 0 to 1. Two that are independent, so that the choice
/// among the other data centres does not depend on which requests leave.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
const ROOT_OF_TWO: f64 = 0.414_213_562_373_095;

fn spread(turn: u64, step: f64) -> f64 {
    // The low bits suffice, and keep the product exact enough.
    ((turn & 0xF_FFFF) as f64 * step).fract()
}

/// Picks a name with a probability that is proportional to its weight; `None` if all are zero.
fn pick(weights: Vec<(&Arc<str>, f64)>, turn: u64) -> Option<Arc<str>> {
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut left = spread(turn, ROOT_OF_TWO) * total;
    for (name, weight) in weights.iter().filter(|(_, weight)| *weight > 0.0) {
        left -= weight;
        if left < 0.0 {
            return Some((*name).clone());
        }
    }
    let last = weights.iter().rev().find(|(_, weight)| *weight > 0.0);
    last.map(|(name, _)| (*name).clone())
}
