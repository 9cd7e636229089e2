//! Charges to the memory budget, and the order in which connections are closed.

use {
    ffw_runtime::budget::{Budget, Holder, Kind, Side},
    std::sync::Arc,
};

const MB: usize = 1 << 20;

fn open(budget: &Arc<Budget>, body: usize) -> Holder {
    open_for(budget, Side::Caller, body)
}

fn open_for(budget: &Arc<Budget>, side: Side, body: usize) -> Holder {
    let mut holder = budget.open(side, 1_000).expect("memory for a connection");
    assert!(holder.set(Kind::Body, body), "memory for a body");
    holder
}

fn is_evicted(holder: &Holder) -> bool {
    holder.evicted().is_closed()
}

/// Guards against memory that stays charged after its connection has ended, which would use the
/// budget up over time.
#[test]
fn what_a_connection_holds_is_released_with_it() {
    let budget = Budget::new(MB);
    let mut holder = open(&budget, 5_000);
    assert!(holder.set(Kind::Head, 300));
    assert_eq!(Kind::ALL.map(|kind| budget.held(Side::Caller, kind)), [1_000, 0, 300, 5_000]);
    assert!(holder.begin_request());
    holder.end_request();
    assert_eq!(Kind::ALL.map(|kind| budget.held(Side::Caller, kind)), [1_000, 0, 0, 0]);
    drop(holder);
    assert_eq!(Kind::ALL.map(|kind| budget.held(Side::Caller, kind)), [0; 4]);
}

/// Guards against a refused charge that counts nevertheless, and against a budget that refuses new
/// connections after the old ones have ended.
#[test]
fn a_charge_beyond_the_budget_is_refused_and_changes_nothing() {
    let budget = Budget::new(MB);
    let mut holder = open(&budget, MB / 2);
    assert!(holder.begin_request());
    assert!(!holder.set(Kind::Body, MB));
    assert_eq!(
        (budget.held(Side::Caller, Kind::Body), budget.refused(Side::Caller, Kind::Body)),
        (MB / 2, 1)
    );
    assert!(budget.open(Side::Caller, MB).is_none());
    assert_eq!(budget.held(Side::Caller, Kind::Connection), 1_000);
    drop(holder);
    assert!(budget.open(Side::Caller, MB / 2).is_some());
}

/// Guards against small idle connections that are closed for the memory that large incomplete
/// requests hold, and against the end of a request that is being served and may have run.
#[test]
fn the_largest_connection_without_a_served_request_is_closed_first() {
    let budget = Budget::new(MB);
    let (small, large) = (open(&budget, 10_000), open(&budget, 300_000));
    let served = open(&budget, 400_000);
    assert!(served.begin_request());
    let last = open(&budget, 250_000);
    assert_eq!([&small, &large, &served, &last].map(is_evicted), [false, true, false, false]);
    assert!(!large.begin_request(), "a closed connection begins a request");
    assert_eq!(budget.evicted(Side::Caller), 1);
}

/// Guards against the closing of connections that were just used while others have been idle for
/// longer.
#[test]
fn of_equal_connections_the_one_idle_longest_is_closed_first() {
    let budget = Budget::new(MB);
    let (mut first, second) = (open(&budget, 300_000), open(&budget, 300_000));
    assert!(first.begin_request());
    first.end_request();
    assert!(first.set(Kind::Body, 300_000));
    let third = open(&budget, 300_000);
    assert_eq!([&first, &second, &third].map(is_evicted), [false, true, false]);
}

/// Guards against requests that are refused for the memory of responses that never end, and against
/// the end of small or complete responses, whose requests may have run.
#[test]
fn large_unfinished_responses_give_way_first() {
    let budget = Budget::new(MB);
    let caller = open(&budget, 300_000);
    let response = |body| open_for(&budget, Side::Server, body);
    let (small, complete, large) = (response(10_000), response(200_000), response(150_000));
    assert!(complete.begin_request());
    let request = open(&budget, 300_000);
    let holders = [&caller, &small, &complete, &large, &request];
    assert_eq!(holders.map(is_evicted), [false, false, false, true, false]);
    assert!(large.is_evicted() && !large.begin_request());
    assert_eq!([Side::Caller, Side::Server].map(|side| budget.evicted(side)), [0, 1]);
}

/// Guards against responses that take the room of requests, and against a large response that is
/// given up although there is room for it.
#[test]
fn responses_have_a_part_of_the_budget() {
    let budget = Budget::new(MB);
    let mut response = open_for(&budget, Side::Server, 450_000);
    assert!(!response.is_evicted(), "a response gives way to itself");
    assert!(!response.set(Kind::Body, 550_000));
    assert_eq!(budget.refused(Side::Server, Kind::Body), 1);
    assert!(budget.open(Side::Caller, 400_000).is_some());
}
