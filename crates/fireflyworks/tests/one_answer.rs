//! Each caller gets one whole answer to its own request, whatever the engines do.

use {
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

/// A whole answer is byte for byte the engine's; anything else is visibly an error.
fn check(call: &Completion, answer: &Answer) {
    if answer.status == 200 && answer.is_whole {
        assert_eq!(answer.text, answer::text(&call.prompt, call.max_tokens), "{}", call.prompt);
        return;
    }
    assert!(!answer.is_whole || answer.status >= 400, "{answer:?}");
}

fn check_all(calls: &[Completion], answers: &[Answer]) -> usize {
    calls.iter().zip(answers).for_each(|(call, answer)| check(call, answer));
    answers.iter().filter(|answer| answer.status == 200 && answer.is_whole).count()
}

fn calls(cluster: &Cluster, count: usize, max_tokens: u32) -> Vec<Completion> {
    let daemons = cluster.daemons.len();
    let call = |n: usize| {
        let mut call = cluster.completion(n % daemons, n, max_tokens);
        call.stream = !n.is_multiple_of(3);
        call
    };
    (0..count).map(call).collect()
}

#[test]
fn whole_and_streamed_answers_are_exact() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = calls(&cluster, 60, 24);
        let answers = send_all(calls.clone()).await;
        assert_eq!(check_all(&calls, &answers), 60);
    });
}

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

#[test]
fn a_cut_or_silent_stream_resumes_without_a_token_twice_or_missing() {
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
        cluster.wait_for("held memory", Duration::from_secs(5), |one| one.held() == 0).await;
    });
}

#[test]
fn stalled_transfers_and_failed_prefills_are_tried_again() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        cluster.decodes[0].service.set_faults(Faults { stalled_transfers: 1, ..Faults::default() });
        cluster.prefills[0].service.set_faults(Faults { failed_prefills: 2, ..Faults::default() });
        let calls = calls(&cluster, 10, 16);
        let answers = send_all(calls.clone()).await;
        assert_eq!(check_all(&calls, &answers), 10, "{answers:?}");
        cluster.wait_for("held memory", Duration::from_secs(5), |one| one.held() == 0).await;
    });
}

#[test]
fn a_decode_engine_that_dies_loses_no_answer() {
    smol::block_on(async {
        let cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = calls(&cluster, 12, 40);
        let sending = ffw_runtime::executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(500)).await;
        for held in cluster.decodes[0].service.held() {
            cluster.decodes[0].service.drop_stream(&held.request_id);
        }
        cluster.decodes[0].stop();
        cluster.platform.service.remove_instance(&cluster.decodes[0].name);
        let answers = sending.await;
        assert_eq!(check_all(&calls, &answers), 12, "{answers:?}");
    });
}

#[test]
fn an_entry_that_dies_gives_no_answer_for_whole() {
    smol::block_on(async {
        let mut cluster = Cluster::start(Plan::new(BINARY)).await;
        let calls = calls(&cluster, 12, 60);
        let sending = ffw_runtime::executor::spawn(send_all(calls.clone()));
        timer::sleep(Duration::from_millis(600)).await;
        cluster.daemons[1].kill();
        cluster.platform.service.remove_instance("entry-2");
        let answers = sending.await;
        let whole = check_all(&calls, &answers);
        // Those of the daemon that lives are whole, whoever owned the shard.
        assert!(whole >= 6, "{whole} of 12");
        cluster.wait_for("held memory", Duration::from_secs(8), |one| one.held() == 0).await;
    });
}

#[test]
fn a_thousand_answers_are_exact_under_faults_of_the_streams() {
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
