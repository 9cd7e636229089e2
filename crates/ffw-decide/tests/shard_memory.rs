//! Answers much shorter than asked for: places are given by the memory that requests are expected to
//! take, which the engine takes as it makes tokens.

use {
    ffw_decide::shard::{
        Effect, Settings, Shard,
        memory::{self, Hold},
    },
    ffw_protocol::{
        admission::{Ask, Phase, Progress, Renewal, Verdict},
        time::Moment,
    },
    ffw_support::build,
    rstest::rstest,
    std::time::Duration,
};

const PROMPT: u32 = 5_000;
const MOST_OUTPUT: u32 = 7_930;
const MEMORY: u32 = 72_680;

fn settings() -> Settings {
    Settings {
        slots: 16,
        pieces: MEMORY / 16,
        piece_tokens: 16,
        memory_grows: true,
        prefill_rate: 50_000,
        link_rate: 20_000_000,
        token_time: Duration::from_millis(1),
        ..build::settings()
    }
}

fn ask(sequence: u64, hint: u32) -> Ask {
    let ask = build::ask(sequence, "a", 1, PROMPT, MOST_OUTPUT);
    Ask { output_hint: Some(hint), ..ask }
}

/// Grants of a decode server to 16 asks that come at once, within the time of a few prompts.
fn granted(hint: u32) -> usize {
    let now = Moment::from_millis(1_000);
    let mut shard = Shard::new(now, "owner".into(), 1, settings());
    shard.skip_recovery(now);
    shard.set_members(&build::members(16, 1));
    (0..16).for_each(|sequence| shard.enqueue(now, ask(sequence, hint)));
    let effects = shard.step(now);
    shard.check().expect("the shard is consistent");
    let is_grant = |one: &&Effect| matches!(one, Effect::Answer(_, Verdict::Grant(_)));
    effects.iter().filter(is_grant).count()
}

#[rstest]
#[case::short_answers(500, 9)]
#[case::usual_answers(4_000, 6)]
#[case::long_answers(7_930, 5)]
fn places_follow_the_expected_memory(#[case] hint: u32, #[case] least: usize) {
    let granted = granted(hint);
    assert!(granted >= least, "{granted} granted, {least} would fit");
    assert!(granted <= 14, "{granted} granted, their prompts alone fill the memory");
}

#[test]
fn the_peak_is_found_between_now_and_the_last_end() {
    let second = |n: u64| Moment::from_millis(n * 1_000);
    let holds = [Hold { tokens: 100.0, end: second(2) }, Hold { tokens: 50.0, end: second(4) }];
    // 10 tokens a second each: 120 + 70 at two seconds, 90 at four.
    assert!((memory::peak(second(0), &holds, 0.1) - 190.0).abs() < 0.1);
}

#[test]
fn a_request_waits_for_the_end_that_makes_room() {
    let second = |n: u64| Moment::from_millis(n * 1_000);
    let holds = [Hold { tokens: 900.0, end: second(2) }, Hold { tokens: 10.0, end: second(9) }];
    let span = Duration::from_secs(5);
    let at = memory::fits_at(second(0), &holds, 500.0, span, 1.0, 1_000.0);
    assert_eq!(at, Some(second(2)));
}

/// A shard of two decode servers, one of which runs `runs` requests that have made `emitted` tokens.
fn with_runs(runs: u64, emitted: u32) -> (Shard, Moment) {
    let now = Moment::from_millis(1_000);
    let mut shard = Shard::new(now, "owner".into(), 1, settings());
    shard.skip_recovery(now);
    shard.set_members(&build::members(1, 2));
    let progress = (0..runs).map(|sequence| Progress {
        ask: ask(sequence, MOST_OUTPUT),
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
fn a_run_moves_off_a_server_whose_memory_runs_out() {
    let (mut shard, now) = with_runs(8, 4_000);
    let moves = shard.runs_to_move(now, &"entry-1".into());
    assert_eq!(moves.len(), 1, "72,000 of 72,680 tokens are held");
    assert!(shard.runs_to_move(now, &"entry-1".into()).is_empty(), "another one is told at once");
}

#[test]
fn no_run_moves_while_there_is_memory() {
    let (mut shard, now) = with_runs(8, 2_000);
    assert!(shard.runs_to_move(now, &"entry-1".into()).is_empty());
}

#[test]
fn only_the_entry_of_a_run_is_told_to_move_it() {
    let (mut shard, now) = with_runs(8, 4_000);
    assert!(shard.runs_to_move(now, &"entry-2".into()).is_empty());
    assert_eq!(shard.runs_to_move(now, &"entry-1".into()).len(), 1);
}
