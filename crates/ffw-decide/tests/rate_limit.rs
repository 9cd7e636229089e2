//! Many daemons that follow the rate limits of servers, with skewed and moving traffic, while the
//! account moves.
//!
//! Guards against more requests in some span than the users' rule allows, against limits that are
//! left unused, and against requests that wait although it is known that they can't be served.

use {
    ffw_decide::{
        permits::{Stock, patience},
        rate_limit::{Account, Granted, PERMIT_LIFETIME, isolated_share, share},
    },
    ffw_protocol::{rate::Stated, time::Moment},
    proptest::prelude::*,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

/// Span over which arrivals are counted, by the users' rule.
const WINDOW: Duration = Duration::from_secs(4);

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 5;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

fn name(daemon: usize) -> Arc<str> {
    format!("daemon-{daemon}").into()
}

fn stated(per_s: f64) -> Stated {
    Stated { per_s: Some(per_s), age: Duration::ZERO }
}

fn account(now: Moment, per_s: f64, share: f64) -> Account {
    let mut account = Account::new(now);
    account.set_share(now, share);
    account.record(now, stated(per_s));
    account
}

/// Largest number of sends in any window.
fn most_in_a_window(sends: &[Moment]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, send) in sends.iter().enumerate() {
        while send.since(sends[first]) >= WINDOW {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Share of the requests that each daemon gets.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Even,
    OneHasAll,
    NearlyAllAtOne,
    /// Another daemon has all every two seconds.
    Moving,
}

impl Traffic {
    /// The daemon of a request.
    fn daemon(self, millis: u64, number: usize, daemons: usize) -> usize {
        match self {
            Traffic::Even => number % daemons,
            Traffic::OneHasAll => 0,
            Traffic::NearlyAllAtOne if number.is_multiple_of(10) => number / 10 % daemons,
            Traffic::NearlyAllAtOne => 0,
            Traffic::Moving => (millis / 2_000) as usize % daemons,
        }
    }
}

/// Plays requests that may use permits that are at hand only, as beside a free server; permits
/// arrive 5 ms after they were asked for. Returns when requests were sent to the server, and how
/// often permits were asked for.
fn play(
    daemons: usize,
    per_s: f64,
    load: f64,
    traffic: Traffic,
    seconds: u64,
) -> (Vec<Moment>, usize) {
    let mut account = account(at(0), per_s, share(0));
    let mut stocks = vec![Stock::default(); daemons];
    let mut answers: Vec<(usize, Granted)> = Vec::new();
    let (mut sends, mut due, mut number, mut asks) = (Vec::new(), 0.0, 0, 0);
    for millis in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = at(millis);
        for (daemon, granted) in answers.drain(..) {
            stocks[daemon].record_answer(now, Some(granted));
        }
        due += load * STEP_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            let daemon = traffic.daemon(millis, number, daemons);
            let stock = &mut stocks[daemon];
            stock.record_demand(now);
            if stock.take(now) {
                sends.push(now);
            }
            if let Some(count) = stock.next_ask(now) {
                account.give_back(now, stock.take_unused());
                asks += 1;
                answers.push((daemon, account.grant(now, &name(daemon), count, Duration::ZERO)));
            }
        }
    }
    (sends, asks)
}

#[rstest]
#[case::small_fleet(8, 7.3, 60.0, Traffic::Even)]
#[case::small_fleet_one(8, 7.3, 60.0, Traffic::OneHasAll)]
#[case::small_fleet_nearly_all(8, 7.3, 60.0, Traffic::NearlyAllAtOne)]
#[case::small_fleet_moving(8, 7.3, 60.0, Traffic::Moving)]
#[case::large_fleet(400, 60.0, 2_000.0, Traffic::Even)]
#[case::large_fleet_one(400, 60.0, 2_000.0, Traffic::OneHasAll)]
#[case::large_fleet_moving(400, 60.0, 2_000.0, Traffic::Moving)]
#[case::large_fleet_low_limit(400, 7.0, 2_000.0, Traffic::Even)]
#[case::large_fleet_low_limit_moving(400, 7.0, 2_000.0, Traffic::Moving)]
#[case::high_limit(8, 500.0, 2_000.0, Traffic::NearlyAllAtOne)]
#[case::low_limit(8, 0.5, 60.0, Traffic::Even)]
fn servers_get_nearly_what_they_state_and_no_more(
    #[case] daemons: usize,
    #[case] per_s: f64,
    #[case] load: f64,
    #[case] traffic: Traffic,
) {
    let seconds = 40;
    let (sends, asks) = play(daemons, per_s, load, traffic, seconds);
    let most = most_in_a_window(&sends);
    assert!(most <= allowed(per_s), "{most} in 4 s, {} allowed", allowed(per_s));
    let stated = per_s * seconds as f64;
    assert!(sends.len() as f64 >= 0.9 * stated, "{} of {stated}", sends.len());
    // A few calls for each permit, and one a second for each daemon.
    let most_asks = (8.0 * per_s + daemons as f64) * seconds as f64;
    assert!(asks as f64 <= most_asks, "{asks} calls, {most_asks} at most");
}

/// A server that takes nothing still gets a request now and then, whose response can tell that the
/// limit has ended.
#[test]
fn a_limit_of_zero_is_tried_rarely() {
    let (sends, _) = play(8, 0.0, 60.0, Traffic::Even, 60);
    assert!(most_in_a_window(&sends) <= allowed(0.0));
    assert!(sends.len() >= 6, "{} tries in a minute", sends.len());
}

#[test]
fn the_latest_statement_counts() {
    let mut account = account(at(0), 10.0, 1.0);
    let older = Stated { per_s: None, age: Duration::from_millis(100) };
    assert!(!account.record(at(50), older));
    assert_eq!(account.stated(at(60)).and_then(|stated| stated.per_s), Some(10.0));
    assert!(account.record(at(200), Stated { per_s: None, age: Duration::from_millis(10) }));
    assert_eq!(account.grant(at(200), &name(0), 50, Duration::ZERO).count, 50);
}

/// All servers are limited: each request is told at once when its permit is due, or when to come
/// back, and one that comes back then gets a permit.
#[test]
fn a_request_is_told_when_its_permit_is_due() {
    let mut account = account(at(0), 10.0, 1.0);
    let patience = Duration::from_millis(500);
    let mut due = Vec::new();
    let refused = loop {
        let granted = account.grant(at(1_000), &name(0), 1, patience);
        if granted.count == 0 {
            break granted;
        }
        due.push(granted.start_in);
    };
    assert!(due.is_sorted() && due.last().is_some_and(|last| *last <= patience), "{due:?}");
    assert!(refused.retry_after > Duration::ZERO && refused.retry_after <= patience);
    let later = at(1_000) + refused.retry_after;
    assert_eq!(account.grant(later, &name(0), 1, patience).count, 1);
}

/// More urgent requests find permits although less urgent ones come first and in greater number.
#[test]
fn urgent_requests_are_refused_less() {
    let mut account = account(at(0), 10.0, 1.0);
    let left = Duration::from_secs(1);
    let (mut urgent, mut other) = (0, 0);
    for millis in (0..20_000).step_by(20) {
        other += account.grant(at(millis), &name(0), 1, patience(left, 1)).count;
        if millis % 100 == 0 {
            urgent += account.grant(at(millis), &name(0), 1, patience(left, 0)).count;
        }
    }
    assert!(urgent >= 190, "{urgent} of 200 urgent requests, beside {other} others");
}

/// What a limit leaves is not lost when it changes, and what was reserved ahead isn't kept for
/// long.
#[test]
fn a_limit_that_changes_is_followed_at_once() {
    let mut account = account(at(0), 0.0, 1.0);
    assert_eq!(account.grant(at(100), &name(0), 1, Duration::ZERO).count, 0);
    account.record(at(200), stated(100.0));
    assert_eq!(account.grant(at(300), &name(0), 1, Duration::ZERO).count, 1);
    account.record(at(400), stated(1.0));
    assert!(account.grant(at(400), &name(0), 100, Duration::ZERO).count <= 2);
}

/// A daemon that uses an account for a span, from a start in milliseconds.
#[derive(Clone, Debug)]
struct Keeper {
    preceding: usize,
    from_ms: u64,
    for_ms: u64,
}

fn keeper() -> impl Strategy<Value = Keeper> {
    (0_usize..4, 0_u64..8_000, 100_u64..8_000).prop_map(|(preceding, from_ms, for_ms)| Keeper {
        preceding,
        from_ms,
        for_ms,
    })
}

proptest! {
    /// The account moves: at each position of the order of ownership at most one daemon grants, for
    /// as long as it likes, and three of sixteen daemons reach none. Permits are used as late as
    /// may be, so that as many as possible fall into one window.
    #[test]
    fn the_bound_holds_while_the_account_moves(
        per_s in prop_oneof![Just(0.0), 0.01_f64..3.0, 3.0_f64..200.0],
        keepers in prop::collection::vec(keeper(), 1..4),
        held_back_ms in 0_u64..12_000,
        count in 1_u32..20,
    ) {
        let mut by_position: Vec<Keeper> = keepers;
        by_position.sort_by_key(|keeper| keeper.preceding);
        by_position.dedup_by_key(|keeper| keeper.preceding);
        let keeping = by_position.iter().map(|keeper| {
            (keeper.from_ms, keeper.from_ms + keeper.for_ms, share(keeper.preceding))
        });
        let isolated = (0..3).map(|_| (0, 12_000, isolated_share(16)));
        let mut accounts: Vec<(u64, u64, Account)> = keeping
            .chain(isolated)
            .map(|(from, until, share)| (from, until, account(at(from), per_s, share)))
            .collect();
        let mut sends = Vec::new();
        for millis in (0..12_000).step_by(STEP_MS as usize) {
            for (from, until, account) in &mut accounts {
                if (*from..*until).contains(&millis) {
                    let granted = account.grant(at(millis), &name(0), count, Duration::ZERO).count;
                    // Up to a moment, permits are held back for their whole lifetime.
                    let is_late = millis < held_back_ms;
                    let delay = if is_late { PERMIT_LIFETIME } else { Duration::ZERO };
                    sends.extend((0..granted).map(|_| at(millis) + delay));
                }
            }
        }
        sends.sort();
        let most = most_in_a_window(&sends);
        prop_assert!(most <= allowed(per_s), "{most} in 4 s, {} allowed", allowed(per_s));
    }
}
