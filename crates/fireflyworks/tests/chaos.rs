//! A randomised run under a load of completions and bookings: daemons are paused, killed and
//! restarted, engines, plain servers and the platform fail, and operators change the
//! configuration, in any combination and at any time. The daemons check their own invariants;
//! the test checks the answers, the runs of bookings, the configuration and the memory of the
//! engines.
//!
//! `FIREFLYWORKS_TEST_SEED` sets the only seed and `FIREFLYWORKS_TEST_STEPS` the number of
//! steps of a longer run.

use {
    ffw_runtime::{executor, timer},
    ffw_standin::{
        answer,
        caller::{Answer, Completion},
        engine, plain, platform,
    },
    ffw_support::{
        cluster::{Cluster, Plan, daemon::OPERATOR_KEY, operator},
        seed,
    },
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Longest time until engine memory is freed after the last fault. The requirement is "seconds"; a
/// restarted daemon and a lost cancel add seconds of their own.
const FREE_LIMIT: Duration = Duration::from_secs(15);

/// Longest time until a version is in force at all daemons after the last fault.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Calls that were sent, with the tasks that receive their answers. A booking is named by its body.
struct Sent {
    completions: Vec<(Completion, smol::Task<Answer>)>,
    bookings: Vec<(String, smol::Task<Answer>)>,
}

/// Sends the load of one step: three completions, of which some callers leave early, and a booking.
fn send(cluster: &Cluster, rng: &mut ChaCha8Rng, step: u64, sent: &mut Sent) {
    for n in 0..3 {
        let daemon = rng.gen_range(0..cluster.daemons.len());
        let number = step as usize * 10 + n;
        let mut call = cluster.completion(daemon, number, rng.gen_range(8..60));
        call.stream = rng.gen_bool(0.5);
        if rng.gen_range(0..5) == 0 {
            call.leave_after = Some(Duration::from_millis(rng.gen_range(10..900)));
        }
        let sending = call.clone();
        let task = executor::spawn(async move { sending.send().await });
        sent.completions.push((call, task));
    }
    // Each booking is sent twice, like that of a caller that retries after a lost answer.
    let body = format!("group-{step}");
    for _ in 0..2 {
        let call = cluster.booking(rng.gen_range(0..cluster.daemons.len()), &body, Some(&body));
        let task = executor::spawn(async move { call.send().await });
        sent.bookings.push((body.clone(), task));
    }
}

/// Resumes the paused daemon and injects one fault. Returns the index of the daemon that is paused
/// afterwards, if any.
async fn inject_fault(
    cluster: &mut Cluster,
    rng: &mut ChaCha8Rng,
    paused: Option<usize>,
) -> Option<usize> {
    if let Some(daemon) = paused {
        cluster.daemons[daemon].resume();
    }
    let daemon = rng.gen_range(0..cluster.daemons.len());
    match rng.gen_range(0..7) {
        0 => {
            cluster.daemons[daemon].pause();
            return Some(daemon);
        }
        1 => cluster.daemons[daemon].restart(),
        2 => {
            let decode = &cluster.decodes[rng.gen_range(0..cluster.decodes.len())];
            decode.service.set_faults(engine::Faults {
                doubled: rng.gen_bool(0.5),
                crossed: rng.gen_bool(0.5),
                cut_streams: rng.gen_range(0..3),
                cut_after: rng.gen_range(0..20),
                hung_streams: rng.gen_range(0..2),
                lost_cancels: rng.gen_range(0..2),
                stalled_transfers: rng.gen_range(0..2),
                ..engine::Faults::default()
            });
        }
        3 => {
            let prefill = &cluster.prefills[rng.gen_range(0..cluster.prefills.len())];
            let failed_prefills = rng.gen_range(0..3);
            prefill.service.set_faults(engine::Faults { failed_prefills, ..Default::default() });
        }
        4 => cluster.platform.service.set_faults(platform::Faults {
            outage: rng.gen_bool(0.5),
            slow_ms: rng.gen_range(0..200),
            lost_answers: rng.gen_range(0..3),
            instance_lag_ms: 0,
        }),
        5 => cluster.plains[0].service.set_faults(plain::Faults {
            work_ms: rng.gen_range(0..300),
            lost_answers: rng.gen_range(0..2),
            ..plain::Faults::default()
        }),
        _ => cluster.platform.service.set_faults(platform::Faults::default()),
    }
    None
}

/// A complete answer holds exactly the text that belongs to its prompt.
fn check_completion(call: &Completion, answer: &Answer) {
    let is_whole = answer.status == 200 && answer.is_whole;
    if is_whole {
        assert_eq!(
            answer.text,
            answer::text(&call.prompt, call.max_tokens),
            "text of another request"
        );
    }
}

/// A booking runs at most once, and a confirmed booking ran.
fn check_booking(cluster: &Cluster, body: &str, answer: &Answer) {
    let runs: u32 = cluster.plains.iter().map(|node| node.service.count(body)).sum();
    assert!(runs <= 1, "{body} ran {runs} times");
    if &*answer.run == "ran" && answer.status == 200 {
        assert_eq!(runs, 1, "{body} was confirmed but did not run");
    }
}

/// If both answers to the calls with one key report *not run*, the call did not run.
fn check_not_run(cluster: &Cluster, answers: &[(String, Answer)]) {
    for pair in answers.chunks(2) {
        let all_not_run = pair.iter().all(|(_, answer)| &*answer.run == "not run");
        let body = &pair[0].0;
        let runs: u32 = cluster.plains.iter().map(|node| node.service.count(body)).sum();
        assert!(!all_not_run || runs == 0, "{body} ran, but both answers report that it did not");
    }
}

/// The last accepted version comes into force at all daemons, and the chain of changes is unbroken.
async fn check_configuration(cluster: &Cluster, number: u64) {
    let began = Instant::now();
    loop {
        let status = operator::status(&cluster.daemons[0]).await;
        let daemons = status.daemons.iter();
        let in_force = daemons.filter(|daemon| daemon.reachable && daemon.config >= number).count();
        if in_force == cluster.daemons.len() {
            break;
        }
        assert!(began.elapsed() < IN_FORCE_LIMIT, "version {number} is not in force: {status:?}");
        timer::sleep(Duration::from_millis(100)).await;
    }
    let history = operator::history(&cluster.daemons[0]).await;
    assert_eq!(history.broken_at, 0, "the chain of changes is broken");
}

async fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
    let mut sent = Sent { completions: Vec::new(), bookings: Vec::new() };
    let mut paused = None;
    let mut accepted = 1;
    for step in 0..seed::steps(16) {
        send(&cluster, &mut rng, step, &mut sent);
        timer::sleep(Duration::from_millis(rng.gen_range(100..500))).await;
        paused = inject_fault(&mut cluster, &mut rng, paused).await;
        if step % 5 == 4 {
            let text = include_str!("../../../examples/matariki.toml");
            let text = text.replace("weight = 2", &format!("weight = {}", step + 3));
            let live = (0..3).find(|index| Some(*index) != paused).unwrap_or(0);
            let change = format!("step-{step}");
            let daemon = &cluster.daemons[live];
            let reply = operator::try_apply(daemon, &text, accepted, &change, OPERATOR_KEY).await;
            let version = reply.ok().and_then(|reply| reply.version);
            accepted = version.map_or(accepted, |version| version.number.max(accepted));
        }
    }
    end_faults(&mut cluster, paused).await;
    for (call, task) in sent.completions {
        check_completion(&call, &task.await);
    }
    let mut answers = Vec::new();
    for (body, task) in sent.bookings {
        let answer = task.await;
        check_booking(&cluster, &body, &answer);
        answers.push((body, answer));
    }
    check_not_run(&cluster, &answers);
    check_configuration(&cluster, accepted).await;
    cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    let last = cluster.completion(0, 99_999, 16).send().await;
    assert!(last.is_whole, "seed {seed}: a request after the faults was not served: {last:?}");
}

/// Ends all faults and waits until each daemon is ready.
async fn end_faults(cluster: &mut Cluster, paused: Option<usize>) {
    if let Some(daemon) = paused {
        cluster.daemons[daemon].resume();
    }
    cluster.platform.service.set_faults(platform::Faults::default());
    cluster.plains[0].service.set_faults(plain::Faults::default());
    for node in cluster.decodes.iter().chain(&cluster.prefills) {
        node.service.set_faults(engine::Faults::default());
    }
    for daemon in &cluster.daemons {
        daemon.wait_ready().await;
    }
}

/// Guards against failures that only a combination of faults brings about: a completion with
/// the text of another request, a booking that runs twice or that is falsely reported as not
/// run, a configuration that is not in force everywhere, engine memory that is never freed, or
/// a cluster that serves no request after the faults.
#[test]
fn invariants_hold_under_random_faults() {
    for seed in seed::seeds(&[21, 22]) {
        eprintln!("seed {seed}");
        smol::block_on(run(seed));
    }
}
