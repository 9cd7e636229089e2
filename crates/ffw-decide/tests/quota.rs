//! A workspace that sends more than its quota, through many daemons at once, while the daemon that
//! keeps its account changes or can't be reached by some.
//!
//! Guards against a workspace that gets more than its quota and what is tolerated beyond it, in any
//! window, and against one that gets much less than its quota although it asks for it.

use {
    ffw_decide::quota::{Account, Local, Tolerance, patience},
    ffw_protocol::{quota::Limit, time::Moment},
    proptest::prelude::*,
    rstest::rstest,
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(8);

const TOLERANCE: Tolerance = Tolerance { window: WINDOW, overshoot: 0.1, slack: 120_000.0 };

/// Limit of a large workspace, in tokens.
const LARGE: Limit = Limit { per_s: 180_000.0, burst: 180_000.0 };

/// Daemons of the random histories.
const DAEMONS: usize = 79;

/// Tokens of a stream and of a plain request.
const STREAM: f64 = 7_000.0;
const PLAIN: f64 = 200.0;

/// The daemons of a deployment and the accounts of one workspace that some of them keep.
struct Fleet {
    limit: Limit,
    tolerance: Tolerance,
    locals: Vec<Local>,
    /// Accounts by the daemon that keeps them; a daemon that ends loses its account.
    accounts: Vec<Option<Account>>,
    isolated: Vec<Option<Account>>,
    /// Daemons in the order of keepers.
    order: Vec<usize>,
    /// When units were granted to a request, and how many.
    granted: Vec<(Moment, f64)>,
}

impl Fleet {
    fn new(daemons: usize, limit: Limit, tolerance: Tolerance) -> Fleet {
        let allowance = tolerance.allowance(limit, daemons);
        Fleet {
            limit,
            tolerance,
            locals: vec![Local::new(Moment(0), allowance); daemons],
            accounts: vec![None; daemons],
            isolated: vec![None; daemons],
            order: (0..daemons).collect(),
            granted: Vec::new(),
        }
    }

    /// A request at a daemon that reaches only the daemons for which `reaches` is true. Returns
    /// whether it got its units.
    fn request(
        &mut self,
        now: Moment,
        daemon: usize,
        units: f64,
        reaches: impl Fn(usize) -> bool,
    ) -> bool {
        let daemons = self.locals.len();
        let allowance = self.tolerance.allowance(self.limit, daemons);
        let is_granted = self.locals[daemon].take(now, allowance, units)
            || self.take_from_keeper(now, daemon, units, reaches);
        if is_granted {
            self.granted.push((now, units));
        }
        is_granted
    }

    fn take_from_keeper(
        &mut self,
        now: Moment,
        daemon: usize,
        units: f64,
        reaches: impl Fn(usize) -> bool,
    ) -> bool {
        let patience = patience(Duration::from_secs(14));
        let reached = self.order.iter().position(|keeper| reaches(*keeper));
        let (account, limit) = match reached {
            Some(preceding) if preceding < 2 => {
                let limit = self.tolerance.kept(self.limit, preceding);
                (&mut self.accounts[self.order[preceding]], limit)
            }
            _ => {
                let limit = self.tolerance.isolated(self.limit, self.locals.len());
                (&mut self.isolated[daemon], limit)
            }
        };
        let account = account.get_or_insert_with(|| Account::new(now, limit));
        account.set_limit(now, limit);
        match reached {
            Some(0) => account.take(now, units, patience).is_ok(),
            _ => account.take_available(now, units),
        }
    }

    /// The list of daemons changes; each daemon that keeps an account drops what it has.
    fn change_order(&mut self, now: Moment, first: usize) {
        self.order.retain(|other| *other != first);
        self.order.insert(0, first);
        self.accounts.iter_mut().flatten().for_each(|account| account.empty(now));
    }

    /// Largest number of units that were granted in any window.
    fn largest_window(&self) -> f64 {
        let sums = self.granted.iter().enumerate().map(|(first, (begin, _))| {
            let of_window =
                self.granted[first..].iter().take_while(|(at, _)| at.since(*begin) < WINDOW);
            of_window.map(|(_, units)| units).sum::<f64>()
        });
        sums.fold(0.0, f64::max)
    }

    fn bound(&self) -> f64 {
        let Limit { per_s, burst } = self.limit;
        (per_s * WINDOW.as_secs_f64() + burst) * (1.0 + self.tolerance.overshoot)
            + self.tolerance.slack
    }
}

fn at(millis: u64) -> Moment {
    Moment(0) + Duration::from_millis(millis)
}

#[rstest]
#[case::eight_daemons(8, 7_000.0, |number: u64| number as usize % 8)]
#[case::all_at_one_daemon(79, 7_000.0, |_: u64| 5)]
#[case::skewed(79, 7_000.0, |number: u64| (number * number) as usize % 79)]
#[case::plain_requests(79, 200.0, |number: u64| number as usize % 79)]
#[case::the_design_size(400, 7_000.0, |number: u64| number as usize % 400)]
fn a_workspace_that_asks_for_more_gets_its_quota_and_no_more(
    #[case] daemons: usize,
    #[case] units: f64,
    #[case] daemon_of: fn(u64) -> usize,
) {
    let mut fleet = Fleet::new(daemons, LARGE, TOLERANCE);
    // Six times as much as the quota allows, for 24 s.
    let per_ms = LARGE.per_s * 6.0 / units / 1_000.0;
    for number in 0..(24_000.0 * per_ms) as u64 {
        let now = at((number as f64 / per_ms) as u64);
        fleet.request(now, daemon_of(number), units, |_| true);
    }
    let total: f64 = fleet.granted.iter().map(|(_, units)| units).sum();
    assert!(fleet.largest_window() <= fleet.bound(), "{}", fleet.largest_window());
    assert!(total >= 0.95 * LARGE.per_s * 24.0, "{total}");
}

/// One request in some seconds: the quota is small, and each request is most of it.
#[test]
fn a_workspace_with_a_small_quota_gets_it() {
    let limit = Limit { per_s: 0.25, burst: 0.0 };
    let mut fleet = Fleet::new(79, limit, Tolerance { slack: 0.0, ..TOLERANCE });
    for number in 0..400_u64 {
        fleet.request(at(number * 500), number as usize % 79, 1.0, |_| true);
    }
    let total: f64 = fleet.granted.iter().map(|(_, units)| units).sum();
    assert!((0.95 * 50.0..=56.0).contains(&total), "{total} requests in 200 s");
}

/// At its usual load, no request of a workspace is refused, however the daemons share it.
#[test]
fn a_workspace_within_its_quota_is_never_refused() {
    let mut fleet = Fleet::new(62, LARGE, TOLERANCE);
    // Half of the quota in streams, from an account that has just been opened.
    for number in 0..200_u64 {
        let now = at(number * 78);
        assert!(fleet.request(now, (number * 31) as usize % 62, STREAM, |_| true), "{number}");
        assert!(fleet.request(now, (number * 17) as usize % 62, PLAIN, |_| true), "{number}");
    }
}

/// A request that reached no server is not lost for its workspace, but only soon after it was
/// granted: the window that counted it must not be over.
#[test]
fn units_that_were_not_used_are_given_back_for_a_short_time() {
    let none = Limit::default();
    let mut local = Local::new(at(0), none);
    local.refund(at(400), at(0), STREAM);
    assert!(local.take(at(500), none, STREAM), "given back in time");
    assert!(!local.take(at(510), none, STREAM), "given back once");
    local.refund(at(2_000), at(1_400), STREAM);
    assert!(!local.take(at(2_010), none, STREAM), "given back too late");
    local.refund(at(3_000), at(2_900), STREAM);
    assert!(!local.take(at(3_600), none, STREAM), "kept for too long");
}

#[test]
fn a_lower_limit_binds_at_once() {
    let mut account = Account::new(at(0), LARGE);
    assert_eq!(account.units(at(5_000)), LARGE.burst);
    let lower = Limit { per_s: 1_000.0, burst: 2_000.0 };
    account.set_limit(at(5_000), lower);
    assert_eq!(account.take(at(5_000), 2_000.0, Duration::ZERO), Ok(Duration::ZERO));
    let refused = account.take(at(5_000), 1_000.0, Duration::ZERO);
    assert_eq!(refused, Err(Duration::from_secs(1)));
}

/// Requests that are refused at the same moment must not all come back at the same moment.
#[test]
fn refused_requests_are_told_different_times_to_come_back() {
    let mut account = Account::new(at(0), Limit { per_s: 1_000.0, burst: 0.0 });
    let patience = Duration::from_millis(100);
    assert_eq!(account.take(at(0), 2_000.0, patience), Ok(Duration::ZERO));
    let millis = |span: Result<Duration, Duration>| span.expect_err("a refusal").as_millis();
    assert_eq!(millis(account.take(at(0), 500.0, patience)), 1_900);
    assert_eq!(millis(account.take(at(0), 500.0, patience)), 2_400);
    // The first of them comes back, and the second one.
    assert_eq!(account.take(at(1_900), 500.0, patience), Ok(patience));
    assert_eq!(account.take(at(2_400), 500.0, patience), Ok(patience));
}

/// Guards against a keeper that comes back with a full account after another one has granted a burst.
#[test]
fn a_keeper_that_comes_back_has_no_burst() {
    let mut fleet = Fleet::new(8, LARGE, TOLERANCE);
    fleet.request(at(0), 0, STREAM, |_| true);
    fleet.change_order(at(100), 1);
    fleet.request(at(200), 0, STREAM, |_| true);
    for millis in 10_000..18_200_u64 {
        if millis == 10_200 {
            fleet.change_order(at(millis), 0);
        }
        fleet.request(at(millis), millis as usize % 8, STREAM, |_| true);
    }
    assert!(fleet.largest_window() <= fleet.bound(), "{}", fleet.largest_window());
}

/// Guards against a request that each daemon grants itself while it reaches no other one, however
/// large the request is and however many daemons there are.
#[test]
fn daemons_that_reach_nobody_keep_to_the_bound_together() {
    let mut fleet = Fleet::new(400, LARGE, TOLERANCE);
    for number in 0..40_000_u64 {
        fleet.request(at(number / 10), number as usize % 400, STREAM, |_| false);
        fleet.request(at(number / 10), number as usize % 400, PLAIN, |_| false);
    }
    assert!(fleet.largest_window() <= fleet.bound() - LARGE.per_s, "{}", fleet.largest_window());
}

/// What happens to a fleet between two requests.
#[derive(Clone, Debug)]
enum Event {
    Requests {
        daemon: usize,
        count: usize,
        units: f64,
    },
    /// The keeper ends and comes back without its account.
    KeeperEnds,
    /// Another daemon becomes the keeper, as daemons come and go.
    OrderChanges(usize),
    /// For a time, these daemons reach nobody, or all but the first keeper.
    Cut {
        daemons: usize,
        is_whole: bool,
    },
    Healed,
}

fn event(daemons: usize) -> impl Strategy<Value = Event> {
    let requests = (0..daemons, 1..40_usize, prop_oneof![Just(STREAM), Just(PLAIN), 1.0..20_000.0]);
    prop_oneof![
        20 => requests.prop_map(|(daemon, count, units)| Event::Requests { daemon, count, units }),
        1 => Just(Event::KeeperEnds),
        1 => (0..daemons).prop_map(Event::OrderChanges),
        1 => (0..daemons, any::<bool>())
            .prop_map(|(daemons, is_whole)| Event::Cut { daemons, is_whole }),
        2 => Just(Event::Healed),
    ]
}

proptest! {
    /// Whatever happens to keepers and links, no window exceeds the bound.
    #[test]
    fn the_bound_holds_while_keepers_end_and_links_are_cut(
        events in prop::collection::vec((0..150_u64, event(DAEMONS)), 100..400),
    ) {
        let mut fleet = Fleet::new(DAEMONS, LARGE, TOLERANCE);
        let (mut now, mut cut, mut is_whole) = (0, 0, false);
        for (pause, event) in events {
            now += pause;
            match event {
                Event::Requests { daemon, count, units } => {
                    let keeper = fleet.order[0];
                    let is_cut = daemon < cut;
                    for _ in 0..count {
                        fleet.request(at(now), daemon, units, |other| {
                            !is_cut || !is_whole && other != keeper
                        });
                    }
                }
                Event::KeeperEnds => fleet.accounts[fleet.order[0]] = None,
                Event::OrderChanges(daemon) => fleet.change_order(at(now), daemon),
                Event::Cut { daemons, is_whole: whole } => (cut, is_whole) = (daemons, whole),
                Event::Healed => cut = 0,
            }
        }
        prop_assert!(fleet.largest_window() <= fleet.bound(), "{}", fleet.largest_window());
    }
}
