//! Answers much shorter than the requested maximum, at engines that allocate memory as they
//! generate tokens: reservations are granted by the memory that requests are expected to use.

use {
    ffw_decide::shard::{
        Effect, Settings, Shard,
        memory::{self, Usage},
    },
    ffw_protocol::{
        admission::{Ask, Phase, Progress, Renewal, Verdict},
        time::Moment,
    },
    ffw_support::build,
    rstest::rstest,
    std::time::Duration,
};

const PROMPT_TOKENS: u32 = 5_000;
const OUTPUT_TOKENS_MAX: u32 = 7_930;
const MEMORY_TOKENS: u32 = 72_680;

fn settings() -> Settings {
    Settings {
        slots: 16,
        pieces: MEMORY_TOKENS / 16,
        piece_tokens: 16,
        memory_grows: true,
        prefill_rate: 50_000,
        link_rate: 20_000_000,
        token_time: Duration::from_millis(1),
        ..build::settings()
    }
}

fn ask(sequence: u64, hint: u32) -> Ask {
    let ask = build::ask(sequence, "a", 1, PROMPT_TOKENS, OUTPUT_TOKENS_MAX);
    Ask { output_hint: Some(hint), ..ask }
}

/// Number of grants made at once when 16 requests arrive together at a shard with one decode
/// server.
fn grant_count(hint: u32) -> usize {
    let now = Moment::from_millis(1_000);
    let mut shard = Shard::new(now, "owner".into(), 1, settings());
    shard.skip_recovery(now);
    shard.set_members(&build::members(16, 1));
    (0..16).for_each(|sequence| shard.enqueue(now, ask(sequence, hint)));
    let effects = shard.step(now);
    shard.check().expect("the shard is consistent");
    let is_grant = |effect: &&Effect| matches!(effect, Effect::Answer(_, Verdict::Grant(_)));
    effects.iter().filter(is_grant).count()
}

#[rstest]
#[case::short_answers(500, 9)]
#[case::usual_answers(4_000, 6)]
#[case::long_answers(7_930, 5)]
fn grants_follow_the_expected_memory(#[case] hint: u32, #[case] least: usize) {
    let granted = grant_count(hint);
    assert!(granted >= least, "{granted} granted, {least} would fit");
    assert!(granted <= 14, "{granted} granted, their prompts alone fill the memory");
}

#[test]
fn the_peak_is_found_between_now_and_the_last_end() {
    let second = |n: u64| Moment::from_millis(n * 1_000);
    let usages = [Usage { tokens: 100.0, end: second(2) }, Usage { tokens: 50.0, end: second(4) }];
    // 10 tokens a second each: 120 + 70 at two seconds, 90 at four.
    assert!((memory::peak(second(0), &usages, 0.1) - 190.0).abs() < 0.1);
}

#[test]
fn a_request_waits_for_the_end_that_makes_room() {
    let second = |n: u64| Moment::from_millis(n * 1_000);
    let usages = [Usage { tokens: 900.0, end: second(2) }, Usage { tokens: 10.0, end: second(9) }];
    let span = Duration::from_secs(5);
    let start = memory::earliest_fit(second(0), &usages, 500.0, span, 1.0, 1_000.0);
    assert_eq!(start, Some(second(2)));
}

/// A shard of two decode servers, one of which runs `runs` requests that have generated `emitted`
/// tokens each.
fn with_runs(runs: u64, emitted: u32) -> (Shard, Moment) {
    let now = Moment::from_millis(1_000);
    let mut shard = Shard::new(now, "owner".into(), 1, settings());
    shard.skip_recovery(now);
    shard.set_members(&build::members(1, 2));
    let progress = (0..runs).map(|sequence| Progress {
        ask: ask(sequence, OUTPUT_TOKENS_MAX),
        prefill: "prefill-0".into(),
        decode: "decode-0".into(),
        phase: Phase::Decode,
        emitted,
    });
    let renewal = Renewal {
        entry: "entry-1".into(),
        incarnation: 1,
        progress: progress.collect(),
        ..Renewal::default()
    };
    shard.renew(now, &renewal);
    (shard, now)
}

#[test]
fn a_run_moves_from_a_server_whose_memory_runs_out() {
    let (mut shard, now) = with_runs(8, 4_000);
    let moves = shard.runs_to_move(now, &"entry-1".into());
    assert_eq!(moves.len(), 1, "72,000 of 72,680 tokens are held");
    assert!(
        shard.runs_to_move(now, &"entry-1".into()).is_empty(),
        "a second move is requested at once"
    );
}

#[test]
fn no_run_moves_while_there_is_memory() {
    let (mut shard, now) = with_runs(8, 2_000);
    assert!(shard.runs_to_move(now, &"entry-1".into()).is_empty());
}

#[test]
fn a_move_is_requested_only_from_the_entry_of_the_run() {
    let (mut shard, now) = with_runs(8, 4_000);
    assert!(shard.runs_to_move(now, &"entry-2".into()).is_empty());
    assert_eq!(shard.runs_to_move(now, &"entry-1".into()).len(), 1);
}
