//! Plain requests that leave their data centre, compared with the constant factor on the score of
//! the servers of other data centres.

#[path = "support/plain_pool.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod plain_pool;

use {
    ffw_protocol::time::Moment,
    plain_pool::{Scene, Server, Tally, replay},
    std::time::Duration,
};

const SEEDS: u64 = 2;

/// Three data centres with four servers each, which together answer 24 requests at once in 40 ms:
/// 600 requests per second. Nine milliseconds between two data centres.
fn scene(rate: fn(usize, Moment) -> f64) -> Scene {
    let server = |index| Server::new(index, index / 4, Duration::from_millis(40));
    Scene {
        servers: (0..12).map(server).collect(),
        daemons: vec![12, 12, 12],
        rate,
        trip: Duration::from_micros(4_500),
        duration: Duration::from_secs(40),
        gb_ms: Some(0.0),
    }
}

/// Replays the scene by the observed costs and by the constant factor.
fn compare(name: &str, scene: &mut Scene) -> Vec<(Tally, Tally)> {
    let replays = (0..SEEDS).map(|seed| {
        let priced = replay(scene, seed);
        let gb_ms = scene.gb_ms.take();
        let factor = replay(scene, seed);
        scene.gb_ms = gb_ms;
        for (policy, tally) in [("costs", &priced), ("factor", &factor)] {
            println!(
                "{name}, seed {seed}, {policy}: goodput {:.4}, refused {:.4}, away {:.4}, \
                arrivals {:.4}",
                tally.goodput(),
                tally.refused as f64 / tally.requests as f64,
                tally.away as f64 / tally.requests as f64,
                tally.arrivals as f64 / tally.requests as f64,
            );
        }
        (priced, factor)
    });
    replays.collect()
}

/// Guards against a loss of goodput against the constant factor.
fn assert_goodput(replays: &[(Tally, Tally)], tolerance: f64) {
    for (priced, factor) in replays {
        let (priced, factor) = (priced.goodput(), factor.goodput());
        assert!(priced >= factor - tolerance, "{priced:.4}, {factor:.4} with the factor");
    }
}

/// The load: each data centre has 900 requests per second for ten seconds in turn, 300 otherwise.
#[test]
fn a_wave_that_goes_round() {
    let rate = |data_centre: usize, now: Moment| {
        if now.0 / 10_000_000 % 3 == data_centre as u64 { 900.0 } else { 300.0 }
    };
    assert_goodput(&compare("wave", &mut scene(rate)), 0.005);
}

/// The load: 85 in 100 of 1,300 callers' requests per second come to one data centre.
#[test]
fn most_callers_at_one_data_centre() {
    let rate = |data_centre: usize, _| if data_centre == 0 { 1_105.0 } else { 97.5 };
    assert_goodput(&compare("85 in 100", &mut scene(rate)), 0.005);
}

/// The load: half of what the servers can answer, everywhere. Guards against traffic between data
/// centres without need.
#[test]
fn requests_stay_where_there_is_room() {
    let replays = compare("room", &mut scene(|_, _| 300.0));
    assert_goodput(&replays, 0.005);
    for (priced, factor) in &replays {
        assert_eq!(priced.away, 0);
        assert!(factor.away > 0, "the factor sends some away");
    }
}

/// The load: the servers of one data centre take six times as long from its 10th to its 25th second.
#[test]
fn slow_servers_here() {
    let mut scene = scene(|_, _| 300.0);
    for server in &mut scene.servers[..4] {
        server.slow = |now, _| if (10_000_000..25_000_000).contains(&now.0) { 6.0 } else { 1.0 };
    }
    assert_goodput(&compare("slow here", &mut scene), 0.005);
}

/// The load: all servers of one data centre fail each call from its 10th second on.
#[test]
fn a_dead_data_centre() {
    let mut scene = scene(|_, _| 300.0);
    let servers = scene.servers[..4].iter_mut();
    servers.for_each(|server| server.dead_from = Some(Moment::from_millis(10_000)));
    assert_goodput(&compare("dead", &mut scene), 0.005);
}

/// The load: 900 requests per second at two data centres each, 100 at the third: a little more than
/// all servers together can answer.
#[test]
fn two_data_centres_full() {
    let rate = |data_centre: usize, _| if data_centre == 2 { 100.0 } else { 900.0 };
    assert_goodput(&compare("two full", &mut scene(rate)), 0.005);
}

/// The load: a data centre without servers, whose callers send 300 requests per second.
#[test]
fn no_servers_here() {
    let mut scene = scene(|_, _| 300.0);
    scene.servers.drain(..4);
    assert_goodput(&compare("none here", &mut scene), 0.005);
}

/// The load: 36 daemons decide at the same moment, as the requests of one data centre jump from 300
/// to 1,000 per second at its 10th second. Guards against a flood: no daemon's share changes by more
/// than 1.0 per second, and no request is refused.
#[test]
fn shares_change_slowly_after_a_jump() {
    let rate = |data_centre: usize, now: Moment| match data_centre {
        0 if now.0 >= 10_000_000 => 1_000.0,
        _ => 300.0,
    };
    let mut jump = scene(rate);
    jump.daemons = vec![36, 12, 12];
    let replays = compare("jump", &mut jump);
    assert_goodput(&replays, 0.02);
    for (priced, _) in &replays {
        assert_eq!(priced.refused, 0);
        let mut last = vec![(Moment(0), 0.0); 60];
        for (now, daemon, share) in &priced.shares {
            let (before, earlier) = last[*daemon];
            let bound = now.since(before).as_secs_f64() + 1e-9;
            assert!((share - earlier).abs() <= bound, "{earlier} to {share} at {now:?}");
            last[*daemon] = (*now, *share);
        }
        assert!(last[..36].iter().all(|(_, share)| *share > 0.0), "{last:?}");
    }
}

/// The load: the wave ends after its first ten seconds. Guards against a share that does not return
/// to zero.
#[test]
fn all_requests_stay_again_after_a_wave() {
    let rate = |data_centre: usize, now: Moment| match data_centre {
        0 if now.0 < 10_000_000 => 900.0,
        _ => 200.0,
    };
    for seed in 0..SEEDS {
        let shares = replay(&scene(rate), seed).shares;
        let of_first = |from: u64, to: u64| {
            let within = shares.iter().filter(move |(now, daemon, _)| {
                *daemon < 12 && (from..to).contains(&(now.0 / 1_000_000))
            });
            within.map(|(_, _, share)| *share).fold(0.0, f64::max)
        };
        assert!(of_first(5, 10) > 0.1, "{}", of_first(5, 10));
        assert_eq!(of_first(20, 40), 0.0);
    }
}

/// The load: 700 requests per second at one data centre, 300 at the others. Guards the price: the more a
/// GB may cost, the less is sent away, and no price loses requests.
#[test]
fn a_higher_price_sends_less_away() {
    let mut last = f64::INFINITY;
    // A request moves 4 kB: nothing, 40 ms, and 4 s.
    for gb_ms in [0.0, 1e7, 1e9] {
        let mut scene = scene(|data_centre, _| if data_centre == 0 { 700.0 } else { 300.0 });
        scene.gb_ms = Some(gb_ms);
        let tally = replay(&scene, 1);
        let away = tally.away as f64 / tally.requests as f64;
        println!("{gb_ms} ms a GB: away {away:.4}, goodput {:.4}", tally.goodput());
        assert!(away < last, "{away} at {gb_ms}, {last} before");
        assert_eq!(tally.refused, 0);
        last = away;
    }
}

fn slow_by_turns(now: Moment, index: usize) -> f64 {
    let period = now.0 / 600_000;
    let mut hash = (period << 8 | index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    if (hash >> 33) % 100 < 15 { 2.5 } else { 1.0 }
}

/// The load: the wave, with 15 in 100 of the servers 2.5 times as slow for 0.6 s at a time, as they
/// report. Guards against short slowness that is taken for a lack of servers.
#[test]
fn servers_that_are_slow_for_a_moment() {
    let rate = |data_centre: usize, now: Moment| {
        if now.0 / 10_000_000 % 3 == data_centre as u64 { 700.0 } else { 250.0 }
    };
    let mut scene = scene(rate);
    for server in &mut scene.servers {
        server.slow = slow_by_turns;
        server.report = |slowdown, _| Some(slowdown);
    }
    let replays = compare("slow for a moment", &mut scene);
    assert_goodput(&replays, 0.02);
    for (priced, factor) in replays {
        assert!(priced.away * 2 < factor.away, "{} and {}", priced.away, factor.away);
    }
}

/// The load: the wave, with one server of the second data centre that always reports to be slow,
/// or fast. Guards against a share that a server's false figure moves.
#[test]
fn a_false_figure_of_a_server_elsewhere() {
    for report in [|_, _| Some(8.0), |_, _| Some(0.1)] as [plain_pool::Report; 2] {
        let rate = |data_centre: usize, now: Moment| {
            if now.0 / 10_000_000 % 3 == data_centre as u64 { 900.0 } else { 300.0 }
        };
        let mut scene = scene(rate);
        scene.servers[5].report = report;
        assert_goodput(&compare("false figure", &mut scene), 0.01);
    }
}
