//! What is done in a run, drawn from its seed alone.

use {
    crate::proxy::Harm,
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{fmt, time::Duration},
};

/// A step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon is told to end, and started again once it has.
    Restart(usize),
    /// A daemon is killed and started again.
    Kill(usize),
    /// All daemons are killed at once and started again.
    KillAll,
    /// A daemon stands still for a time.
    Pause(usize, Duration),
    /// A daemon is told that its settings have changed.
    Reload(usize),
    /// Connections to the store are harmed for a time.
    Store(Harm, Duration),
    /// The store forgets its history.
    Compact,
    /// Answers to writes are lost for a time.
    LoseAnswers(Duration),
    /// Connections to a server are harmed for a time.
    Server(usize, Harm, Duration),
    /// A server breaks its answers off for a time.
    BreakOff(usize, Duration),
    /// A server says that it is full for a time.
    Full(usize, Duration),
    /// A server leaves: its entry says so, or is removed at once, and another one comes.
    Replace(usize, bool),
    /// The plain routes go to the other plain service.
    MoveRoutes,
    /// Nothing, for a time.
    Rest(Duration),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Servers at the start of the list that serve plain requests.
const PLAIN_SERVERS: usize = 4;

const HARMS: [Harm; 4] = [Harm::Delay, Harm::Silence, Harm::OneWay, Harm::Reset];

/// The steps of a run with a seed.
pub fn draw(seed: u64, steps: usize, daemons: usize, servers: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..steps).map(|_| draw_one(&mut random, daemons, servers)).collect()
}

fn draw_one(random: &mut ChaCha8Rng, daemons: usize, servers: usize) -> Step {
    let daemon = random.gen_range(0..daemons);
    let server = random.gen_range(0..servers);
    let harm = HARMS[random.gen_range(0..HARMS.len())];
    let span = Duration::from_millis(random.gen_range(200..2_500));
    // The plain servers are the first ones of the list.
    let plain = random.gen_range(0..servers.min(PLAIN_SERVERS));
    match random.gen_range(0..19) {
        0 | 1 => Step::Restart(daemon),
        2 | 3 => Step::Kill(daemon),
        4 => Step::KillAll,
        5 | 6 => Step::Pause(daemon, span),
        7 => Step::Reload(daemon),
        8 => Step::Store(harm, span),
        9 => Step::Compact,
        10 => Step::LoseAnswers(span),
        11 => Step::Server(server, harm, span),
        12 => Step::BreakOff(server, span),
        13 => Step::Full(server, span),
        14 => Step::Replace(server, random.gen_range(0..2) == 0),
        15 if random.gen_range(0..2) == 0 => Step::MoveRoutes,
        16 | 17 => Step::BreakOff(plain, span),
        18 => Step::Server(plain, Harm::Reset, span),
        _ => Step::Rest(span),
    }
}
