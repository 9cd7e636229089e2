//! The plan of a run: its steps, drawn from the seed alone, so that a seed always gives the same
//! plan. The order of the random draws is part of that and must not change.

use {
    crate::{proxy::Fault, worker::Oddity},
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    std::{fmt, time::Duration},
};

/// A step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon gets SIGTERM and is started again once its process has exited.
    Restart(usize),
    /// A daemon gets SIGKILL and is started again.
    Kill(usize),
    /// All daemons get SIGKILL at once and are started again.
    KillAll,
    /// A daemon is stopped by SIGSTOP for a time. When it is continued, the others get SIGKILL.
    OutOfStep(usize, Duration),
    /// A daemon is stopped by SIGSTOP for a time, then continued.
    Pause(usize, Duration),
    /// A daemon gets SIGHUP, on which it reloads its settings.
    Reload(usize),
    /// Connections from the daemons to the store have a fault for a time.
    Store(Fault, Duration),
    /// The store drops its history of changes, so that watches have to list again.
    Compact,
    /// The store applies writes but closes the connection without a response, for a time.
    LoseAnswers(Duration),
    /// Connections from the daemons to a server have a fault for a time.
    Server(usize, Fault, Duration),
    /// A server closes the connection before the end of each plain response and stream, for a time.
    BreakOff(usize, Duration),
    /// A server rejects all requests with 503 for a time.
    Full(usize, Duration),
    /// A server is replaced by a new one. Its object in the store is set to `draining` if the flag
    /// is true, and is removed otherwise.
    Replace(usize, bool),
    /// The next server of the streams' service is replaced by one of a newer software version, as
    /// [`Replace`](Step::Replace) does. The number counts these steps.
    Upgrade(usize, bool),
    /// The store is away for a time and comes back as it was before that time. Soon after, servers
    /// and the operator write again what it has lost.
    Restore(Duration),
    /// The configuration moves the plain routes to the other plain service.
    MoveRoutes,
    /// A server answers oddly for a time. With [`Oddity::ErrorInStream`] it breaks its streams off,
    /// and the other servers answer oddly.
    Odd(usize, Oddity, Duration),
    /// The configuration moves the plain routes, and the store falls silent: it never answers what
    /// it is asked in a time. Once the daemons have recovered, the routes move again.
    StoreSilence(Duration),
    /// What is sent on one in so many of the connections to the store that are open is lost for good;
    /// if on all of them, also on new ones for a time. The plain routes move meanwhile, and a plain
    /// server leaves.
    StoreLoss(Fault, usize, Duration),
    /// The store sends each response once more, for a time.
    StoreRepeats(Duration),
    /// Another writer leaves odd objects in the store; the number varies them.
    OddObjects(u32),
    /// No fault is injected for a time.
    Rest(Duration),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Number of servers at the start of the server list that serve plain requests.
const PLAIN_SERVER_COUNT: usize = 4;

/// Number of servers at the end of the server list that decode tokens.
const DECODE_SERVER_COUNT: usize = 3;

const FAULTS: [Fault; 4] = [Fault::Delay, Fault::Silence, Fault::OneWay, Fault::Reset];

/// Draws the steps of a run. Daemons and servers are given by their index below `daemons` and
/// `servers`.
pub fn draw(seed: u64, steps: usize, daemons: usize, servers: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..steps).map(|_| draw_step(&mut random, daemons, servers)).collect()
}

/// Number of steps between two restores of the store.
const STEPS_PER_RESTORE: usize = 4;

/// Adds restores of the store to a plan. They are drawn from a generator of their own, so that the
/// other steps stay as they are.
pub fn add_restores(seed: u64, steps: Vec<Step>) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let mut with_restores = Vec::new();
    for chunk in steps.chunks(STEPS_PER_RESTORE) {
        with_restores.extend_from_slice(chunk);
        let away = Duration::from_millis(random.gen_range(200..4_000));
        with_restores.push(Step::Restore(away));
    }
    with_restores
}

/// Of the servers that an upgrade replaces, one in this number does not say before that it leaves.
const UNANNOUNCED_SHARE: u32 = 4;

/// Adds releases of new software versions to a plan, one upgrade of a server before each step, from a
/// generator of their own.
pub fn add_releases(seed: u64, steps: Vec<Step>) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let upgrade = |turn| Step::Upgrade(turn, random.gen_range(0..UNANNOUNCED_SHARE) > 0);
    let upgrades: Vec<Step> = (0..steps.len()).map(upgrade).collect();
    upgrades.into_iter().zip(steps).flat_map(|(upgrade, step)| [upgrade, step]).collect()
}

/// Number of steps before each kill that [`add_release_kills`] adds. Streams begin meanwhile.
const STEPS_PER_KILL: usize = 3;

/// Adds kills of all daemons, and of all but one that was stopped before, to a plan, from a generator of
/// their own.
pub fn add_release_kills(seed: u64, steps: Vec<Step>, daemons: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut with_kills = Vec::new();
    for chunk in steps.chunks(STEPS_PER_KILL) {
        with_kills.extend_from_slice(chunk);
        with_kills.push(Step::Rest(Duration::from_millis(random.gen_range(500..2_500))));
        let stopped = random.gen_range(0..daemons);
        let duration = Duration::from_millis(random.gen_range(300..4_000));
        let kill = if random.r#gen() { Step::KillAll } else { Step::OutOfStep(stopped, duration) };
        with_kills.push(kill);
    }
    with_kills
}

/// Number of steps after each odd one.
const STEPS_PER_ODDITY: usize = 2;

/// Adds odd answers, odd objects and silences of the store to a plan, one before each
/// `STEPS_PER_ODDITY` steps, from a generator of their own.
pub fn add_oddities(seed: u64, steps: Vec<Step>, servers: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut with_oddities = Vec::new();
    for chunk in steps.chunks(STEPS_PER_ODDITY) {
        with_oddities.push(draw_oddity(&mut random, servers));
        with_oddities.extend_from_slice(chunk);
    }
    with_oddities
}

fn draw_oddity(random: &mut ChaCha8Rng, servers: usize) -> Step {
    let duration = Duration::from_millis(random.gen_range(1_000..4_000));
    let server = random.gen_range(0..servers);
    let decode = random.gen_range(servers.saturating_sub(DECODE_SERVER_COUNT)..servers);
    match random.gen_range(0..6) {
        0 => Step::Odd(server, Oddity::RepeatedRefusal, duration),
        1 => Step::Odd(decode, Oddity::ErrorInStream, duration),
        2 => Step::Odd(decode, Oddity::EndlessBytes, duration),
        3 => Step::StoreSilence(duration),
        4 => Step::StoreRepeats(duration),
        _ => Step::OddObjects(random.r#gen()),
    }
}

/// Number of steps after each loss.
const STEPS_PER_LOSS: usize = 4;

/// Adds losses on the connections to the store to a plan, one before each [`STEPS_PER_LOSS`] steps,
/// from a generator of their own. `faults` are those to draw from.
pub fn add_losses(seed: u64, steps: Vec<Step>, faults: &[Fault]) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut with_losses = Vec::new();
    for chunk in steps.chunks(STEPS_PER_LOSS) {
        let fault = faults[random.gen_range(0..faults.len())];
        let every = [1, 1, 2, 3][random.gen_range(0..4)];
        let duration = Duration::from_millis(random.gen_range(100..4_000));
        with_losses.push(Step::StoreLoss(fault, every, duration));
        with_losses.extend_from_slice(chunk);
    }
    with_losses
}

/// Pause between two restarts of a plan that consists of restarts.
const RESTART_PAUSE: Duration = Duration::from_millis(750);

/// A plan in which the daemons restart one after the other, without any fault.
pub fn restarts(steps: usize, daemons: usize) -> Vec<Step> {
    let steps =
        (0..steps).flat_map(|step| [Step::Restart(step % daemons), Step::Rest(RESTART_PAUSE)]);
    steps.collect()
}

fn draw_step(random: &mut ChaCha8Rng, daemons: usize, servers: usize) -> Step {
    let daemon = random.gen_range(0..daemons);
    let server = random.gen_range(0..servers);
    let fault = FAULTS[random.gen_range(0..FAULTS.len())];
    let duration = Duration::from_millis(random.gen_range(200..2_500));
    let plain = random.gen_range(0..servers.min(PLAIN_SERVER_COUNT));
    match random.gen_range(0..19) {
        0 | 1 => Step::Restart(daemon),
        2 | 3 => Step::Kill(daemon),
        4 => Step::KillAll,
        5 | 6 => Step::Pause(daemon, duration),
        7 => Step::Reload(daemon),
        8 => Step::Store(fault, duration),
        9 => Step::Compact,
        10 => Step::LoseAnswers(duration),
        11 => Step::Server(server, fault, duration),
        12 => Step::BreakOff(server, duration),
        13 => Step::Full(server, duration),
        14 => Step::Replace(server, random.gen_range(0..2) == 0),
        15 if random.gen_range(0..2) == 0 => Step::MoveRoutes,
        16 | 17 => Step::BreakOff(plain, duration),
        18 => Step::Server(plain, Fault::Reset, duration),
        _ => Step::Rest(duration),
    }
}
