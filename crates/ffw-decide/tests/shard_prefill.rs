//! Grants of a shard whose prefill servers are the scarce side, against exactly simulated engines
//! in virtual time.

use {
    ffw_decide::shard::{Settings, timing::Timing},
    ffw_protocol::{admission::Ask, time::Moment},
    ffw_support::{
        build,
        drive::{Drive, End},
    },
    rstest::rstest,
    std::time::Duration,
};

/// Prompt tokens of each request; 100 ms at a prefill server.
const PROMPT: u32 = 5_000;

/// Number of prefill servers.
const PREFILLS: usize = 2;

/// A pool whose two prefill servers take 20 prompts per second and whose decode servers take many
/// more.
fn prefill_bound(message_delay: Duration) -> Drive {
    let settings = Settings {
        slots: 64,
        pieces: 100_000,
        piece_tokens: 16,
        memory_grows: true,
        prefill_rate: 50_000,
        link_rate: 20_000_000,
        token_time: Duration::from_millis(1),
        result_lifetime: Duration::from_millis(500),
        ..build::settings()
    };
    let mut drive = Drive::new(settings, PREFILLS, 6);
    drive.message_delay = message_delay;
    drive
}

/// Keeps 20 requests in the queue for `span`; returns the number of grants in that time.
fn advance_with_full_queue(drive: &mut Drive, span: Duration) -> usize {
    let (end, granted) = (drive.now + span, drive.grants.len());
    while drive.now < end {
        for _ in drive.waiting()..20 {
            let number = drive.grants.len() + drive.waiting();
            drive.ask(build::ask(number as u64, "a", 0, PROMPT, 100), 100);
        }
        drive.advance(Duration::from_millis(10));
    }
    drive.grants.len() - granted
}

/// A burst of prompts that fills the queue for the whole time. Messages take a part of the time of
/// a prompt; guards against servers that are idle for that time after each prompt.
#[rstest]
#[case::none(0)]
#[case::short(5)]
#[case::long(25)]
#[case::slow_daemons(60)]
fn prefill_servers_stay_busy_while_prompts_wait(#[case] delay_ms: u64) {
    let mut drive = prefill_bound(Duration::from_millis(delay_ms));
    // The delay is measured in this time.
    advance_with_full_queue(&mut drive, Duration::from_secs(2));
    let rate = advance_with_full_queue(&mut drive, Duration::from_secs(5)) as f64 / 5.0;
    assert!(rate >= 0.95 * 20.0, "{rate} prompts per second, of 20");
    assert!(rate <= 1.01 * 20.0, "{rate} prompts per second are more than the servers can take");
}

/// Guards against prompts that are committed to a server long before it can start them, when the
/// order of the queue could still change.
#[rstest]
#[case::none(0, 140)]
#[case::long(25, 190)]
fn a_prompt_is_not_granted_long_before_its_server_is_free(
    #[case] delay_ms: u64,
    #[case] limit_ms: u64,
) {
    let mut drive = prefill_bound(Duration::from_millis(delay_ms));
    advance_with_full_queue(&mut drive, Duration::from_secs(5));
    let predicted: Vec<u64> = drive.grants.iter().map(|grant| grant.basis.predicted_ms).collect();
    let late = predicted[20..].iter().filter(|predicted| **predicted > limit_ms).count();
    assert_eq!(late, 0, "{predicted:?}");
}

/// A server that is slower than its nominal rate must not get more prompts than it finishes; their
/// results would come later and later.
#[test]
fn queued_prompts_measure_the_speed_of_their_server() {
    let nominal = Duration::from_millis(100);
    let mut timing = Timing::default();
    // Each call is sent 60 ms before the report of the previous one; each takes 150 ms.
    let mut now = Moment::from_millis(1_000);
    for _ in 0..60 {
        let sent_at = now - Duration::from_millis(60);
        now = now + Duration::from_millis(150);
        timing.record(now, sent_at, nominal);
    }
    assert!((timing.slowness() - 1.5).abs() < 0.05, "{timing:?}");
}

/// Prompts that find their server idle measure the delay of the messages, which must not count as
/// work of the server.
#[test]
fn single_prompts_measure_the_delay_of_messages() {
    let nominal = Duration::from_millis(100);
    let mut timing = Timing::default();
    for n in 1..60 {
        let sent_at = Moment::from_millis(n * 1_000);
        timing.record(sent_at + Duration::from_millis(145), sent_at, nominal);
    }
    assert!((timing.slowness() - 1.0).abs() < 0.01, "{timing:?}");
    assert!(timing.delay().as_millis().abs_diff(45) <= 1, "{timing:?}");
}

/// A lull of single prompts between two bursts, with messages that take longer in the second one.
#[test]
fn a_second_burst_finds_the_servers_as_fast_as_the_first() {
    let mut drive = prefill_bound(Duration::from_millis(10));
    advance_with_full_queue(&mut drive, Duration::from_secs(3));
    drive.advance(Duration::from_secs(2));
    for number in 10_000..10_020 {
        drive.ask(build::ask(number, "a", 0, PROMPT, 100), 100);
        drive.advance(Duration::from_millis(200));
    }
    drive.message_delay = Duration::from_millis(30);
    let rate = advance_with_full_queue(&mut drive, Duration::from_secs(5)) as f64 / 5.0;
    assert!(rate >= 0.95 * 20.0, "{rate} prompts per second, of 20");
    let wasted = drive.ended.iter().filter(|ended| ended.end == End::Wasted).count();
    assert_eq!(wasted, 0);
}

/// Servers that want no requests from the entry of an admission request.
#[rstest]
#[case::a_prefill_server(&["prefill-0"])]
#[case::a_decode_server(&["decode-3"])]
#[case::one_of_each(&["decode-0", "prefill-1"])]
fn servers_that_want_no_requests_are_not_granted(#[case] avoid: &[&str]) {
    let mut drive = prefill_bound(Duration::ZERO);
    for number in 0..40 {
        let avoid = avoid.iter().map(|name| (*name).into()).collect();
        drive.ask(Ask { avoid, ..build::ask(number, "a", 0, PROMPT, 100) }, 100);
    }
    drive.advance(Duration::from_secs(6));
    assert_eq!(drive.grants.len(), 40);
    for grant in &drive.grants {
        for name in [&grant.prefill.name, &grant.decode.name] {
            assert!(!avoid.contains(&&**name), "{name} was granted");
        }
    }
}
