//! Engine memory of requests that have ended or whose caller has left.
//!
//! Guards against memory that stays held at an engine because a caller left, a cancel was lost,
//! or the entry or owner of the request was killed, paused or restarted; and against streams of
//! other requests that are ended in the process.

use {
    ffw_runtime::{executor, timer},
    ffw_standin::{answer, engine::Faults},
    ffw_support::cluster::{Cluster, Plan, daemon::Daemon, send_all},
    rstest::rstest,
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Required limit until the memory of a request without a caller is freed: "seconds".
const FREE_LIMIT: Duration = Duration::from_secs(5);

/// A small pool with four slots and a slow prefill, so that callers can leave at each stage.
fn small_plan() -> Plan {
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

/// Callers leave during the prefill, after it, or during the decoding. Guards against engine
/// memory that stays held, and against an entry that does not cancel the work itself, so that
/// only the sweep frees the memory.
#[rstest]
#[case::in_prefill(100)]
#[case::after_prefill(320)]
#[case::in_decode(600)]
fn a_caller_that_leaves_frees_its_engines(#[case] leave_ms: u64) {
    smol::block_on(async {
        let cluster = Cluster::start(small_plan()).await;
        let mut calls: Vec<_> = (0..3).map(|n| cluster.completion(n % 2, n, 200)).collect();
        for (n, call) in calls.iter_mut().enumerate() {
            call.stream = n != 1;
            call.leave_after = Some(Duration::from_millis(leave_ms));
        }
        send_all(calls).await;
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
        // The entry cancels the work itself; the sweep is for entries that have left or restarted.
        let is_swept = |daemon: &Daemon| daemon.log().contains("event=sweep_");
        assert!(!cluster.daemons.iter().any(is_swept), "memory was freed by the sweep");
    });
}

/// All slots are in use, and callers leave while their requests are queued. Guards against a
/// grant for a request without a caller, which then holds a slot or memory.
#[test]
fn a_caller_that_leaves_the_queue_takes_no_slot() {
    smol::block_on(async {
        let cluster = Cluster::start(small_plan()).await;
        let staying = (0..4).map(|n| cluster.completion(0, n, 100));
        let staying = executor::spawn(send_all(staying.collect()));
        timer::sleep(Duration::from_millis(1_500)).await;
        let mut leaving: Vec<_> = (10..16).map(|n| cluster.completion(1, n, 100)).collect();
        leaving.iter_mut().for_each(|call| call.leave_after = Some(Duration::from_millis(200)));
        send_all(leaving).await;
        assert!(staying.await.iter().all(|answer| answer.is_whole));
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    });
}

/// The engines lose cancels and don't answer them in time. Guards against a cancel that is sent
/// only once.
#[test]
fn a_lost_cancel_is_retried() {
    smol::block_on(async {
        let cluster = Cluster::start(small_plan()).await;
        cluster.decodes[0].service.set_faults(Faults { lost_cancels: 2, ..Faults::default() });
        cluster.prefills[0].service.set_faults(Faults { lost_cancels: 1, ..Faults::default() });
        let mut call = cluster.completion(0, 1, 200);
        call.leave_after = Some(Duration::from_millis(600));
        call.send().await;
        // Each of the two lost cancels of the decode engine takes its timeout of two seconds.
        let limit = FREE_LIMIT + Duration::from_secs(5);
        cluster.wait_for("held memory", limit, |cluster| cluster.held() == 0).await;
    });
}

/// A killed entry can't cancel the work of its requests, so the owner must find and cancel it.
/// Guards against memory that stays held, and against an owner that cancels streams of other
/// entries.
#[test]
fn a_killed_entry_frees_its_engines_and_ends_no_other_stream() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let owner = cluster.owner().await;
        let other = 1 - owner;
        let interrupted = (0..4).map(|n| cluster.completion(other, n, 400)).collect();
        let unaffected: Vec<_> = (10..14).map(|n| cluster.completion(owner, n, 100)).collect();
        let interrupted = executor::spawn(send_all(interrupted));
        let unaffected_answers = executor::spawn(send_all(unaffected.clone()));
        timer::sleep(Duration::from_millis(800)).await;
        cluster.daemons[other].kill();
        let name = cluster.daemons[other].name.clone();
        cluster.platform.service.remove_instance(&name);
        for (call, answer) in unaffected.iter().zip(unaffected_answers.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens));
        }
        interrupted.await;
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    });
}

/// The new process of an entry has the same name as the previous one. Guards against an owner
/// that mistakes the new process for the previous one and keeps the memory of its requests
/// held.
#[test]
fn a_restarted_entry_frees_the_memory_of_its_previous_process() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let other = 1 - cluster.owner().await;
        let interrupted = (0..4).map(|n| cluster.completion(other, n, 400)).collect();
        let interrupted = executor::spawn(send_all(interrupted));
        timer::sleep(Duration::from_millis(800)).await;
        cluster.daemons[other].restart();
        cluster.daemons[other].wait_ready().await;
        interrupted.await;
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    });
}

/// The owner is killed while other entries run streams under its grants. Guards against a new
/// owner that ends these streams, that grants no requests after a second, or that never frees
/// their memory.
#[test]
fn a_killed_owner_ends_no_stream_and_leaves_no_memory_held() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let entries: Vec<usize> = (0..3).filter(|index| *index != owner).collect();
        let calls: Vec<_> = (0..12).map(|n| cluster.completion(entries[n % 2], n, 120)).collect();
        let call_task = executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(700)).await;
        cluster.daemons[owner].kill();
        timer::sleep(Duration::from_millis(1_000)).await;
        // After a second, another owner serves new requests.
        let late = cluster.completion(entries[0], 99, 20);
        let late = late.send().await;
        assert!(late.is_whole, "{late:?}");
        for (call, answer) in calls.iter().zip(call_task.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens));
        }
        let wasted: u64 =
            cluster.prefills.iter().map(|node| node.service.counters().wasted_tokens).sum();
        assert_eq!(wasted, 0, "the change of the owner wasted prefill results");
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    });
}

/// The owner does not answer for a second and then resumes with an outdated state. Guards
/// against requests that are not served meanwhile, and against a resumed owner that ends
/// streams, fails new requests or keeps memory held.
#[test]
fn a_paused_owner_is_replaced_and_resumes_without_ending_streams() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let entry = (owner + 1) % 3;
        let calls: Vec<_> = (0..8).map(|n| cluster.completion(entry, n, 200)).collect();
        let call_task = executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(600)).await;
        cluster.daemons[owner].pause();
        timer::sleep(Duration::from_millis(1_000)).await;
        let late = cluster.completion(entry, 99, 20).send().await;
        assert!(late.is_whole, "{late:?}");
        cluster.daemons[owner].resume();
        let more = (100..108).map(|n| cluster.completion(n % 3, n, 40)).collect();
        assert!(send_all(more).await.iter().all(|answer| answer.is_whole));
        for (call, answer) in calls.iter().zip(call_task.await) {
            assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens));
        }
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    });
}

/// Neither the entry nor the owner that granted its requests is left. Guards against memory
/// that the new owner does not find, because no entry reports the attempts to it.
#[test]
fn an_entry_and_the_owner_killed_together_leave_no_memory_held() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan { daemons: 3, ..Plan::new(BINARY) }).await;
        let owner = cluster.owner().await;
        let entry = (owner + 1) % 3;
        let interrupted = (0..6).map(|n| cluster.completion(entry, n, 400)).collect();
        let interrupted = executor::spawn(send_all(interrupted));
        timer::sleep(Duration::from_millis(800)).await;
        for index in [owner, entry] {
            cluster.daemons[index].kill();
            let name = cluster.daemons[index].name.clone();
            cluster.platform.service.remove_instance(&name);
        }
        interrupted.await;
        cluster.wait_for("held memory", FREE_LIMIT, |cluster| cluster.held() == 0).await;
    });
}
