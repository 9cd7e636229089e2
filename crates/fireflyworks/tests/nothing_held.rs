//! No engine memory stays held for a request whose caller or purpose is gone, and no healthy stream
//! is ended on the way.

use {
    ffw_runtime::{executor, timer},
    ffw_standin::{answer, engine::Faults},
    ffw_support::cluster::{Cluster, Plan, daemon::Daemon, send_all},
    rstest::rstest,
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// The brief's "seconds", for requests that nobody waits for any more.
const BOUND: Duration = Duration::from_secs(5);

/// A small pool: four slots and slow engines, so that callers leave in each step.
fn small() -> Plan {
    let mut plan = Plan { prefills: 1, decodes: 1, ..Plan::new(BINARY) };
    plan.engine.prefill_rate = 200;
    plan.engine.slots = 4;
    plan.declaration = plan
        .declaration
        .replace("slots = 20", "slots = 4")
        .replace("prefill_rate = 20000", "prefill_rate = 200")
        .into();
    plan
}

#[rstest]
#[case::in_prefill(100)]
#[case::after_prefill(320)]
#[case::in_decode(600)]
fn a_caller_that_leaves_frees_its_engines(#[case] leave_ms: u64) {
    smol::block_on(async {
        let cluster = Cluster::start(small()).await;
        let mut calls: Vec<_> = (0..3).map(|n| cluster.completion(n % 2, n, 200)).collect();
        for (n, call) in calls.iter_mut().enumerate() {
            call.stream = n != 1;
            call.leave_after = Some(Duration::from_millis(leave_ms));
        }
        send_all(calls).await;
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
        // Its entry has freed it at once; the sweep is for entries that are gone.
        let is_swept = |daemon: &Daemon| daemon.log().contains("event=sweep_");
        assert!(!cluster.daemons.iter().any(is_swept), "freed by the sweep only");
    });
}

#[test]
fn a_caller_that_leaves_the_queue_takes_no_slot() {
    smol::block_on(async {
        let cluster = Cluster::start(small()).await;
        let stay = (0..4).map(|n| cluster.completion(0, n, 100));
        let staying = executor::spawn(send_all(stay.collect()));
        timer::sleep(Duration::from_millis(1_500)).await;
        let mut leave: Vec<_> = (10..16).map(|n| cluster.completion(1, n, 100)).collect();
        leave.iter_mut().for_each(|call| call.leave_after = Some(Duration::from_millis(200)));
        send_all(leave).await;
        assert!(staying.await.iter().all(|answer| answer.is_whole));
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
    });
}

#[test]
fn a_lost_cancel_is_tried_again() {
    smol::block_on(async {
        let cluster = Cluster::start(small()).await;
        cluster.decodes[0].service.set_faults(Faults { lost_cancels: 2, ..Faults::default() });
        cluster.prefills[0].service.set_faults(Faults { lost_cancels: 1, ..Faults::default() });
        let mut call = cluster.completion(0, 1, 200);
        call.leave_after = Some(Duration::from_millis(600));
        call.send().await;
        // Two lost cancels of two seconds each are the fault itself.
        let bound = BOUND + Duration::from_secs(5);
        cluster.wait_for("held memory", bound, |one| one.held() == 0).await;
    });
}

#[test]
fn a_killed_entry_frees_its_engines_and_harms_no_other_stream() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let owner = cluster.owner().await;
        let other = 1 - owner;
        let doomed = (0..4).map(|n| cluster.completion(other, n, 400)).collect();
        let healthy: Vec<_> = (10..14).map(|n| cluster.completion(owner, n, 100)).collect();
        let dying = executor::spawn(send_all(doomed));
        let living = executor::spawn(send_all(healthy.clone()));
        timer::sleep(Duration::from_millis(800)).await;
        cluster.daemons[other].kill();
        let name = cluster.daemons[other].name.clone();
        cluster.platform.service.remove_instance(&name);
        for (call, answer) in healthy.iter().zip(living.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens));
        }
        dying.await;
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
    });
}

#[test]
fn a_restarted_entry_frees_what_its_old_process_held() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let other = 1 - cluster.owner().await;
        let doomed = (0..4).map(|n| cluster.completion(other, n, 400)).collect();
        let dying = executor::spawn(send_all(doomed));
        timer::sleep(Duration::from_millis(800)).await;
        cluster.daemons[other].restart();
        cluster.daemons[other].wait_ready().await;
        dying.await;
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
    });
}

#[test]
fn a_killed_owner_ends_no_healthy_stream_and_leaves_nothing_held() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let entries: Vec<usize> = (0..3).filter(|at| *at != owner).collect();
        let calls: Vec<_> = (0..12).map(|n| cluster.completion(entries[n % 2], n, 120)).collect();
        let sending = executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(700)).await;
        cluster.daemons[owner].kill();
        timer::sleep(Duration::from_millis(1_000)).await;
        // A second later, new requests are served by another owner.
        let late = cluster.completion(entries[0], 99, 20);
        let late = late.send().await;
        assert!(late.is_whole, "{late:?}");
        for (call, answer) in calls.iter().zip(sending.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens));
        }
        let wasted: u64 =
            cluster.prefills.iter().map(|one| one.service.counters().wasted_tokens).sum();
        assert_eq!(wasted, 0, "a move of ownership wasted prefill");
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
    });
}

#[test]
fn a_paused_owner_is_passed_over_and_comes_back_harmlessly() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let entry = (owner + 1) % 3;
        let calls: Vec<_> = (0..8).map(|n| cluster.completion(entry, n, 200)).collect();
        let sending = executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(600)).await;
        cluster.daemons[owner].pause();
        timer::sleep(Duration::from_millis(1_000)).await;
        let late = cluster.completion(entry, 99, 20).send().await;
        assert!(late.is_whole, "{late:?}");
        cluster.daemons[owner].resume();
        let more = (100..108).map(|n| cluster.completion(n % 3, n, 40)).collect();
        assert!(send_all(more).await.iter().all(|answer| answer.is_whole));
        for (call, answer) in calls.iter().zip(sending.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens));
        }
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
    });
}

#[test]
fn an_entry_and_the_owner_killed_together_leave_nothing_held() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let entry = (owner + 1) % 3;
        let doomed = (0..6).map(|n| cluster.completion(entry, n, 400)).collect();
        let dying = executor::spawn(send_all(doomed));
        timer::sleep(Duration::from_millis(800)).await;
        for at in [owner, entry] {
            cluster.daemons[at].kill();
            let name = cluster.daemons[at].name.clone();
            cluster.platform.service.remove_instance(&name);
        }
        dying.await;
        cluster.wait_for("held memory", BOUND, |one| one.held() == 0).await;
    });
}
