//! Choice of a plain server when servers are slow for a time, or report false figures.

#[path = "support/plain_pool.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod plain_pool;

use {
    ffw_decide::balance::{Balancer, Candidate, Outcome, Preference},
    ffw_protocol::time::Moment,
    plain_pool::{Report, Scene, Server, replay},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

fn candidates(count: usize) -> Vec<Candidate> {
    let of = |index| Candidate {
        name: format!("s{index}").into(),
        data_centre: if index % 2 == 0 { "a".into() } else { "b".into() },
        is_local: index % 2 == 0,
    };
    (0..count).map(of).collect()
}

/// A server as the policy without slowdowns scores it.
#[derive(Clone, Copy)]
struct Plain {
    open: f64,
    answer_s: f64,
    success: f64,
    reported: f64,
    reported_at: Moment,
}

impl Plain {
    fn score(&self, now: Moment, is_local: bool) -> f64 {
        let is_fresh = now.since(self.reported_at) < Duration::from_millis(500);
        let load = 1.0 + self.open + if is_fresh { self.reported } else { 0.0 };
        load * self.answer_s * if is_local { 1.0 } else { 1.15 }
            / (self.success * self.success).max(0.01)
    }
}

/// The load: random requests, answers, rejections and reports at five servers that report no
/// slowdown, or one of at most 1. Guards against a change of the choice for deployments without
/// the figure. The expected choices are computed from the formula, in the same order of operations.
#[test]
fn without_a_slowdown_the_choice_is_that_of_the_plain_formula() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut balancer, candidates) = (Balancer::default(), candidates(5));
        let start = Plain {
            open: 0.0,
            answer_s: 0.02,
            success: 1.0,
            reported: 0.0,
            reported_at: Moment(0),
        };
        let mut expected = [start; 5];
        let mut open: Vec<usize> = Vec::new();
        for turn in 0..2_000_u64 {
            let now = Moment::from_millis(1_000 + turn * 7);
            if open.len() < 12 {
                let order = (0..5).map(|offset| (turn as usize + offset) % 5);
                let score = |index: usize| expected[index].score(now, candidates[index].is_local);
                let best = order.reduce(|a, b| if score(b) < score(a) { b } else { a });
                let best = best.expect("a candidate");
                let chosen = balancer.choose(now, &candidates, &[], turn, Preference::Near);
                assert_eq!(chosen.as_ref(), Some(&candidates[best].name), "seed {seed}");
                expected[best].open += 1.0;
                open.push(best);
            }
            if !open.is_empty() && random.gen_bool(0.9) {
                let index = open.swap_remove(random.gen_range(0..open.len()));
                let (name, server) = (&candidates[index].name, &mut expected[index]);
                server.open -= 1.0;
                if random.gen_bool(0.5) {
                    server.reported = random.gen_range(0.0..4.0);
                    server.reported_at = now;
                    balancer.record_load(now, name, server.reported);
                }
                if seed % 2 == 0 {
                    balancer.record_slowdown(now, name, random.gen_range(-1.0..1.0));
                }
                if random.gen_bool(0.2) {
                    server.success += (0.5 - server.success) * 0.2;
                    balancer.record_end(now, name, Outcome::Rejected);
                } else {
                    let duration = Duration::from_micros(random.gen_range(1_000..90_000));
                    server.answer_s += (duration.as_secs_f64() - server.answer_s) * 0.2;
                    server.success += (1.0 - server.success) * 0.2;
                    balancer.record_end(now, name, Outcome::Answered(duration));
                }
            }
        }
    }
}

/// Sixteen servers of one data centre; 15 in 100 of them are 2.5 times as slow for 0.6 s.
fn uneven(report: Report) -> Scene {
    let slow = |now: Moment, index: usize| {
        let period = now.0 / 600_000;
        let mut hash = (period << 8 | index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        hash ^= hash >> 29;
        hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
        if (hash >> 33) % 100 < 15 { 2.5 } else { 1.0 }
    };
    let server =
        |index| Server { slow, report, ..Server::new(index, 0, Duration::from_millis(90)) };
    Scene {
        servers: (0..16).map(server).collect(),
        daemons: vec![8],
        rate: |_, _| 500.0,
        trip: Duration::ZERO,
        duration: Duration::from_secs(30),
        gb_ms: None,
    }
}

/// The load: 500 requests per second at sixteen servers of which 15 in 100 are 2.5 times as slow
/// for 0.6 s at a time. Guards against requests that go to servers which have said that they are
/// slow.
#[test]
fn reported_slowdowns_let_more_requests_meet_their_target() {
    let mut gains = Vec::new();
    for seed in 0..4 {
        let silent = replay(&uneven(|_, _| None), seed);
        let reporting = replay(&uneven(|slowdown, _| Some(slowdown)), seed);
        println!("seed {seed}: {:.4} without, {:.4} with", silent.goodput(), reporting.goodput());
        gains.push(reporting.goodput() - silent.goodput());
    }
    assert!(gains.iter().all(|gain| *gain > 0.01), "{gains:?}");
}

/// The load: the same servers at their usual speed, one of which reports a figure that is false
/// at all times, or every other half second. Guards against a server that draws requests to itself by
/// its reports.
#[test]
fn a_false_figure_draws_no_requests() {
    let reports: [(&str, Report); 4] = [
        ("fast", |_, _| Some(0.1)),
        ("slow", |_, _| Some(5.0)),
        ("by turns", |_, now| Some(if now.0 / 500_000 % 2 == 0 { 5.0 } else { 1.0 })),
        ("from call to call", |_, now| Some(if now.0 % 2 == 0 { 5.0 } else { 0.2 })),
    ];
    let mut honest = uneven(|_, _| Some(1.0));
    honest.servers.iter_mut().for_each(|server| server.slow = |_, _| 1.0);
    let share = |scene: &Scene, seed| {
        let answers = replay(scene, seed).answers;
        answers[3] as f64 * 16.0 / answers.iter().sum::<usize>() as f64
    };
    for (name, report) in reports {
        honest.servers[3].report = report;
        for seed in 0..3 {
            let share = share(&honest, seed);
            println!("{name}, seed {seed}: {share:.3} of an equal share");
            assert!(share < 1.05, "{name}, seed {seed}: {share:.3} of an equal share");
        }
    }
}

/// The load: one server that is always 2.5 times as slow and says so, beside one of the usual
/// speed. Guards against a slowness that is counted in the learned time and once more as reported:
/// the first must still be chosen when the other has twice as many requests open.
#[test]
fn a_reported_slowness_is_counted_once() {
    let (mut balancer, candidates) = (Balancer::default(), candidates(1));
    let slow: Arc<str> = candidates[0].name.clone();
    let usual: Arc<str> = "usual".into();
    let both = [candidates[0].clone(), Candidate { name: usual.clone(), ..candidates[0].clone() }];
    let mut now = Moment::from_millis(1_000);
    for _ in 0..100 {
        now = now + Duration::from_millis(100);
        for (name, slowdown, ms) in [(&slow, 2.5, 50), (&usual, 1.0, 20)] {
            balancer.record_begin(name);
            balancer.record_slowdown(now, name, slowdown);
            balancer.record_end(now, name, Outcome::Answered(Duration::from_millis(ms)));
        }
    }
    let chosen: Vec<_> =
        (0..4).filter_map(|_| balancer.choose(now, &both, &[], 1, Preference::Near)).collect();
    assert_eq!(chosen.iter().filter(|name| **name == slow).count(), 1, "{chosen:?}");
}

/// Lets requests fail at these servers, and chooses for a request that was tried at the first one.
fn second_choice(failed: &[usize], outcome: Outcome) -> Option<usize> {
    let (mut balancer, candidates) = (Balancer::default(), candidates(12));
    let now = Moment::from_millis(1_000);
    for index in failed {
        balancer.record_begin(&candidates[*index].name);
        balancer.record_end(now, &candidates[*index].name, outcome);
    }
    let tried = [candidates[failed[0]].name.clone()];
    let chosen = balancer.choose(now, &candidates, &tried, 0, Preference::Near)?;
    candidates.iter().position(|candidate| candidate.name == chosen)
}

/// The load: one request whose first attempt fails, at six servers of data centre a (even numbers)
/// and six of b. Guards against a second attempt in a data centre that fails as a whole, and
/// against needless ones in another data centre.
#[rstest]
#[case::one_failing_server(&[0], Outcome::Failed, true)]
#[case::failing_data_centre(&[0, 2], Outcome::Failed, false)]
#[case::failures_everywhere(&[0, 2, 1, 3], Outcome::Failed, true)]
#[case::refusals(&[0, 2], Outcome::Rejected, true)]
fn a_second_attempt_avoids_a_failing_data_centre(
    #[case] failed: &[usize],
    #[case] outcome: Outcome,
    #[case] is_local: bool,
) {
    let chosen = second_choice(failed, outcome).expect("a server");
    assert_eq!(chosen.is_multiple_of(2), is_local, "server {chosen}");
    assert!(!failed.contains(&chosen), "server {chosen}");
}

/// The load: the only data centre fails. Guards against a refusal while a server is left.
#[test]
fn a_failing_data_centre_is_tried_if_there_is_no_other() {
    let (mut balancer, all) = (Balancer::default(), candidates(12));
    let now = Moment::from_millis(1_000);
    let here: Vec<Candidate> = all.into_iter().filter(|candidate| candidate.is_local).collect();
    for candidate in &here[..5] {
        balancer.record_begin(&candidate.name);
        balancer.record_end(now, &candidate.name, Outcome::Failed);
    }
    let tried = [here[0].name.clone()];
    let chosen = balancer.choose(now, &here, &tried, 0, Preference::Near);
    assert_eq!(chosen.as_ref(), Some(&here[5].name));
}
