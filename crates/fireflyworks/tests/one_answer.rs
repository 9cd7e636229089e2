//! Completions whose engines, streams or entries fail.
//!
//! Guards against an answer with missing, repeated or foreign tokens, against an incomplete
//! answer that looks complete, and against an error where another attempt could have completed
//! the answer.

use {
    ffw_protocol::instance::Role,
    ffw_runtime::timer,
    ffw_standin::{
        answer,
        caller::{Answer, Completion},
        engine::Faults,
    },
    ffw_support::cluster::{Cluster, Plan, send_all},
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

/// Time in which all daemons learn of a change of the instance list.
const LIST_TIME: Duration = Duration::from_secs(3);

/// A complete answer has exactly the bytes of the engine's text; every other answer is recognisable
/// as an error.
fn check(call: &Completion, answer: &Answer) {
    if answer.status == 200 && answer.is_whole {
        assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens), "{}", call.prompt);
        return;
    }
    assert!(!answer.is_whole || answer.status >= 400, "{answer:?}");
}

/// Checks all answers and returns the number of complete ones.
fn check_all(calls: &[Completion], answers: &[Answer]) -> usize {
    calls.iter().zip(answers).for_each(|(call, answer)| check(call, answer));
    answers.iter().filter(|answer| answer.status == 200 && answer.is_whole).count()
}

/// Completions spread over the daemons; two of three are streamed.
fn calls(cluster: &Cluster, count: usize, max_tokens: u32) -> Vec<Completion> {
    let daemons = cluster.daemons.len();
    let call = |n: usize| {
        let mut call = cluster.completion(n % daemons, n, max_tokens);
        call.stream = !n.is_multiple_of(3);
        call
    };
    (0..count).map(call).collect()
}

/// Without any fault, each answer, streamed or not, is complete and has exactly the text of the
/// engine.
#[test]
fn whole_and_streamed_answers_are_exact() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = calls(&cluster, 60, 24);
        let answers = send_all(calls.clone()).await;
        assert_eq!(check_all(&calls, &answers), 60);
    });
}

/// The engines send each token twice and mix in tokens of another attempt. Guards against such
/// tokens in an answer.
#[test]
fn doubled_and_crossed_tokens_are_dropped() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for node in &cluster.decodes {
            node.service.set_faults(Faults { doubled: true, crossed: true, ..Faults::default() });
        }
        let calls = calls(&cluster, 40, 24);
        let answers = send_all(calls.clone()).await;
        assert_eq!(check_all(&calls, &answers), 40);
    });
}

/// A stream from an engine ends after some tokens, or stays open without further tokens. Guards
/// against an answer that is not completed by another attempt, and against repeated or missing
/// tokens where the attempts join.
#[test]
fn a_cut_or_silent_stream_resumes_without_repeated_or_missing_tokens() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for node in &cluster.decodes {
            let (cut_streams, hung_streams) = (3, 0);
            node.service.set_faults(Faults {
                cut_streams,
                hung_streams,
                cut_after: 5,
                ..Faults::default()
            });
        }
        let first = calls(&cluster, 12, 24);
        let answers = send_all(first.clone()).await;
        assert_eq!(check_all(&first, &answers), 12, "{answers:?}");
        cluster.decodes[0].service.set_faults(Faults {
            hung_streams: 2,
            cut_after: 3,
            ..Faults::default()
        });
        let second = calls(&cluster, 6, 24);
        let answers = send_all(second.clone()).await;
        assert_eq!(check_all(&second, &answers), 6, "{answers:?}");
        cluster
            .wait_for("held memory", Duration::from_secs(5), |cluster| cluster.held() == 0)
            .await;
    });
}

/// Two engines of different software versions cut each stream after some tokens. Guards against an
/// answer whose tokens come from both.
#[test]
fn an_answer_goes_on_only_at_the_software_version_that_began_it() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for (node, version) in cluster.decodes.iter().zip(["v1", "v2"]) {
            cluster.set_software(node, Role::Decode, version);
            node.service.set_faults(Faults { cut_streams: 100, cut_after: 5, ..Faults::default() });
        }
        timer::sleep(LIST_TIME).await;
        for number in 0..8 {
            let transfers = || cluster.decodes.iter().map(|node| node.service.counters().transfers);
            let before: Vec<u64> = transfers().collect();
            let answer = cluster.completion(0, number, 24).send().await;
            let used = transfers().zip(before).filter(|(now, before)| now > before).count();
            assert_eq!(used, 1, "the answer comes from {used} versions: {answer:?}");
        }
    });
}

/// A transfer of the KV cache stalls until the prefill result has expired, and prefills fail.
/// Guards against an error instead of another attempt, and against memory that the failed
/// attempts keep.
#[test]
fn stalled_transfers_and_failed_prefills_are_retried() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.decodes[0].service.set_faults(Faults { stalled_transfers: 1, ..Faults::default() });
        cluster.prefills[0].service.set_faults(Faults { failed_prefills: 2, ..Faults::default() });
        let calls = calls(&cluster, 10, 16);
        let answers = send_all(calls.clone()).await;
        assert_eq!(check_all(&calls, &answers), 10, "{answers:?}");
        cluster
            .wait_for("held memory", Duration::from_secs(5), |cluster| cluster.held() == 0)
            .await;
    });
}

/// One of two decode engines takes no transfer before the prefill result has expired. Guards against
/// an owner that goes on granting it prefills, which are wasted, and against errors for callers whose
/// deadlines allow another attempt.
#[test]
fn an_engine_that_takes_no_transfers_gets_few_prefills() {
    const STALLS: u32 = 1_000;
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let slow = &cluster.decodes[0].service;
        slow.set_faults(Faults { stalled_transfers: STALLS, ..Faults::default() });
        let calls = calls(&cluster, 48, 8);
        for batch in calls.chunks(4) {
            let answers = send_all(batch.to_vec()).await;
            assert_eq!(check_all(batch, &answers), batch.len(), "{answers:?}");
        }
        let wasted = STALLS - slow.faults().stalled_transfers;
        assert!(wasted <= 12, "{wasted} prefills of 48 answers were wasted");
    });
}

/// No decode engine takes a transfer, and the attempts are used up. Guards against an error that
/// leaves open whether the call ran, although no engine began an answer.
#[test]
fn a_call_whose_transfers_were_refused_has_not_run() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for node in &cluster.decodes {
            node.service.set_faults(Faults { stalled_transfers: 1_000, ..Faults::default() });
        }
        let calls = calls(&cluster, 2, 8);
        for answer in send_all(calls).await {
            assert!(answer.status >= 500 && &*answer.run == "not run", "{answer:?}");
        }
    });
}

/// All prefills fail after the engines have worked on them. Guards against an error that says that
/// nothing ran.
#[test]
fn a_call_whose_prefills_failed_may_have_run() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for node in &cluster.prefills {
            node.service.set_faults(Faults { failed_prefills: 1_000, ..Faults::default() });
        }
        let calls = calls(&cluster, 2, 8);
        for answer in send_all(calls).await {
            assert!(answer.status >= 500 && &*answer.run == "unknown", "{answer:?}");
        }
    });
}

/// One of two decode engines drops its streams, refuses connections and is removed from the
/// instance list. Guards against answers that are not completed at the other engine.
#[test]
fn a_failed_decode_engine_loses_no_answer() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = calls(&cluster, 12, 40);
        let call_task = ffw_runtime::executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(500)).await;
        for held in cluster.decodes[0].service.held() {
            cluster.decodes[0].service.drop_stream(&held.request_id);
        }
        cluster.decodes[0].stop();
        cluster.platform.service.remove_instance(&cluster.decodes[0].name);
        let answers = call_task.await;
        assert_eq!(check_all(&calls, &answers), 12, "{answers:?}");
    });
}

/// An entry is killed while it streams answers. Guards against a partial answer that looks
/// complete, and against the loss of answers of the other entry.
#[test]
fn a_killed_entry_leaves_no_answer_that_looks_complete() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = calls(&cluster, 12, 60);
        let call_task = ffw_runtime::executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(600)).await;
        cluster.daemons[1].kill();
        cluster.platform.service.remove_instance("entry-2");
        let answers = call_task.await;
        let complete = check_all(&calls, &answers);
        // Half of the requests came to the other daemon. They complete even if the killed daemon
        // owned the shard.
        assert!(complete >= 6, "{complete} of 12");
        cluster
            .wait_for("held memory", Duration::from_secs(8), |cluster| cluster.held() == 0)
            .await;
    });
}

/// Cut streams come together with repeated tokens and tokens of other attempts, in ten batches
/// with different combinations and cuts at different tokens. Guards against combinations of
/// these faults that change the text of an answer.
#[test]
fn a_thousand_answers_are_exact_under_stream_faults() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        for batch in 0..10 {
            for node in &cluster.decodes {
                node.service.set_faults(Faults {
                    doubled: batch % 2 == 0,
                    crossed: batch % 3 == 0,
                    cut_streams: 2,
                    cut_after: batch,
                    ..Faults::default()
                });
            }
            let mut calls = calls(&cluster, 100, 16);
            for call in &mut calls {
                call.prompt = format!("{} in batch {batch}", call.prompt).into();
            }
            let answers = send_all(calls.clone()).await;
            assert_eq!(check_all(&calls, &answers), 100, "batch {batch}");
        }
    });
}
