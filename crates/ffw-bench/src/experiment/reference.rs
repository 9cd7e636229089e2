//! The reference queue: one shard that decides in virtual time over exact engines, whose state
//! it reads without any delay. The difference to its goodput shows what the daemons lose
//! because their information is late.

use {
    super::{Plan, mix::Arrival, run::Row},
    ffw_decide::{order::Floor, shard::Settings},
    ffw_protocol::{admission::Ask, time::Moment},
    ffw_support::{
        build,
        drive::{Drive, End},
    },
    std::time::Duration,
};

/// Runs the arrivals through one shard over exact engines.
pub(super) fn run(plan: &Plan, load: f64, arrivals: &[Arrival]) -> Row {
    let engine = super::run::engine();
    let settings = Settings {
        slots: engine.slots,
        pieces: engine.pieces,
        piece_tokens: engine.piece_tokens,
        memory_grows: false,
        decode_reads: false,
        prefill_rate: engine.prefill_rate,
        link_rate: engine.link_rate,
        token_time: engine.token_time,
        result_lifetime: engine.result_life,
        floors: vec![Floor { rank: 1, share: 0.3 }],
    };
    let mut drive = Drive::new(settings, plan.prefills, plan.decodes);
    let start = drive.now;
    for (number, arrival) in arrivals.iter().enumerate() {
        let wait = (start + arrival.at).since(drive.now);
        drive.advance(wait);
        drive.ask(ask(number, arrival), arrival.tokens_out);
    }
    drive.advance(Duration::from_secs(60));
    let mut row = Row::new("all-knowing", load, plan);
    row.offered = arrivals.len() as u64;
    let total_tokens: u64 = arrivals.iter().map(|arrival| u64::from(arrival.tokens_in)).sum();
    let mut wasted_tokens = 0;
    for outcome in &drive.ended {
        let number = outcome.ask.attempt.request.sequence as usize;
        let arrival = &arrivals[number];
        match &outcome.end {
            End::Answered(first) => row.record_answer(arrival, *first, engine.token_time),
            End::Refused(_) => row.refused += 1,
            End::Wasted => wasted_tokens += u64::from(arrival.tokens_in),
        }
    }
    row.wasted_share = wasted_tokens as f64 / total_tokens.max(1) as f64;
    row.close(Moment(0).since(Moment(0)));
    row
}

/// The admission request of an arrival; its number becomes the sequence of the request.
fn ask(number: usize, arrival: &Arrival) -> Ask {
    let sequence = number as u64;
    let kind = &arrival.kind;
    let mut ask =
        build::ask(sequence, arrival.workspace, kind.rank, arrival.tokens_in, kind.max_tokens);
    ask.target = kind.first_token;
    ask.patience = kind.deadline;
    ask
}
