//! A shard: the queue, the servers and the reservations of one slice of a pool. One daemon at a
//! time, the owner, makes its decisions.
//!
//! A grant reserves a prefill server, a decode slot, memory pieces and time on the transfer link
//! together. It is made only when the slot is predicted to be free at most
//! [`Settings::result_wait_max`] after the prefill ends.
//! Until then the request stays in the queue, so that the order is decided as late as possible.
//! A request whose first token can't come before its deadline is refused as soon as that is known.

pub mod handover;
pub mod invariant;
mod members;
pub mod memory;
mod queue;
mod rebalance;
pub mod renewal;
pub mod reservation;
mod review;
pub mod roles;
pub mod server;
pub mod timing;

use {
    crate::{
        arena::{Arena, Key},
        estimate,
        order::{Fairness, Floor},
    },
    ffw_protocol::{
        admission::{self, Ask, Attempt, Phase, Verdict},
        time::Moment,
    },
    handover::Handover,
    reservation::Reservation,
    review::REVIEW_PERIOD,
    roles::Roles,
    server::{Decode, Prefill},
    std::{sync::Arc, time::Duration},
};

/// Time for which a new owner waits for the entries to report their running attempts.
pub const RECOVERY_TIME: Duration = Duration::from_millis(400);

/// Expected ratio of an answer's output tokens to the requested maximum, until answers have ended.
const INITIAL_OUTPUT_SHARE: f64 = 0.7;

/// Sizes and rates of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that a decode server runs at once.
    pub slots: u32,
    /// Memory pieces of a decode server.
    pub pieces: u32,
    /// Tokens whose KV cache one memory piece holds.
    pub piece_tokens: u32,
    /// Whether the engine allocates memory as tokens are generated, rather than all of it at the
    /// start.
    pub memory_grows: bool,
    /// Whether a decode server can prefill a prompt itself.
    pub decode_reads: bool,
    /// Prompt tokens per second that a prefill server processes.
    pub prefill_rate: u32,
    /// Prompt tokens per second whose KV cache a decode server's link transfers.
    pub link_rate: u32,
    /// Nominal time between two tokens of an answer: the initial value of each decode server's
    /// measured time, and the value by which first tokens, the work of queued requests and the
    /// expiry of reservations are predicted.
    pub token_time: Duration,
    /// Time for which a prefill server keeps the KV cache of a finished prefill.
    pub result_lifetime: Duration,
    /// Least shares of the served tokens for priority classes.
    pub floors: Vec<Floor>,
}

impl Settings {
    /// Memory pieces for the prompt and all requested output tokens of an attempt, at least 1.
    pub fn pieces_of(&self, ask: &Ask) -> u32 {
        (ask.tokens_in + ask.tokens_out).div_ceil(self.piece_tokens.max(1)).max(1)
    }

    /// Time to prefill a number of tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_rate.max(1)))
    }

    /// Time to transfer the KV cache of a prompt.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.link_rate.max(1)))
    }

    /// Longest time that a plan lets a prefill result wait for its decode slot, well below the time
    /// for which the prefill server keeps it.
    pub fn result_wait_max(&self) -> Duration {
        self.result_lifetime / 4
    }
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its admission request.
    pub ask: Ask,
    /// When the caller's request arrived, on this owner's clock.
    pub arrival: Moment,
    /// When the first token is due by the latency target.
    pub target: Moment,
    /// First token deadline: a later first token is of no use to the caller.
    pub deadline: Moment,
    /// Grants to requests behind this one while no server had the memory for it.
    pub bypassed: u32,
    /// A search found no reservation that meets its target, so it is ordered by its deadline.
    pub misses_target: bool,
}

/// A row of the index from attempts to reservations.
#[derive(Clone, Debug)]
struct Row {
    attempt: Attempt,
    reservation: Key<Reservation>,
}

/// An action that the owner carries out after a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer an admission request.
    Answer(Attempt, Verdict),
    /// Cancel an attempt at both engines, then confirm with [`Shard::confirm_cancel`].
    Cancel(Attempt, Vec<admission::Server>),
}

/// Backend servers assigned to the shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Prefill servers, including those that are leaving.
    pub prefills: Vec<Member>,
    /// Decode servers, including those that are leaving.
    pub decodes: Vec<Member>,
}

/// A backend server in the list of the shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and address.
    pub server: admission::Server,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
}

/// The state of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    settings: Settings,
    owner: Arc<str>,
    epoch: u64,
    grant_count: u64,
    prefills: Arena<Prefill>,
    decodes: Arena<Decode>,
    waiting: Vec<Waiting>,
    reservations: Arena<Reservation>,
    index: Vec<Row>,
    fairness: Fairness,
    arrival_rate: estimate::ArrivalRate,
    output_share: f64,
    handover: Handover,
    roles: Roles,
    recovery_end: Moment,
    reviewed_at: Moment,
    wake_at: Moment,
    effects: Vec<Effect>,
}

impl Shard {
    /// Creates an empty shard that grants nothing for [`RECOVERY_TIME`], in which the entries
    /// report their running attempts.
    pub fn new(now: Moment, owner: Arc<str>, epoch: u64, settings: Settings) -> Shard {
        let fairness = Fairness::new(settings.floors.clone());
        Shard {
            settings,
            owner,
            epoch,
            grant_count: 0,
            prefills: Arena::default(),
            decodes: Arena::default(),
            waiting: Vec::new(),
            reservations: Arena::default(),
            index: Vec::new(),
            fairness,
            arrival_rate: estimate::ArrivalRate::default(),
            output_share: INITIAL_OUTPUT_SHARE,
            handover: Handover::default(),
            roles: Roles::default(),
            recovery_end: now + RECOVERY_TIME,
            reviewed_at: now,
            wake_at: now,
            effects: Vec::new(),
        }
    }

    /// Ends recovery at once, for a shard that has had no owner before.
    pub fn skip_recovery(&mut self, now: Moment) {
        self.recovery_end = now;
    }

    /// Starts recovery again, after a pause of this process.
    pub fn restart_recovery(&mut self, now: Moment) {
        self.recovery_end = now + RECOVERY_TIME;
    }

    /// Replaces the settings.
    pub fn configure(&mut self, settings: Settings) {
        self.fairness.set_floors(settings.floors.clone());
        self.settings = settings;
    }

    /// Cancels expired reservations and, once recovery is over, refuses and grants requests.
    /// Returns the actions that the owner carries out.
    pub fn step(&mut self, now: Moment) -> Vec<Effect> {
        self.expire(now);
        if now >= self.recovery_end {
            self.refuse_unservable(now);
            self.grant_all(now);
        } else {
            self.wake_at = self.recovery_end;
        }
        std::mem::take(&mut self.effects)
    }

    /// When the next step is due unless an event comes first; [`Moment::NEVER`] if the queue is
    /// empty.
    pub fn wake_at(&self) -> Moment {
        let review = self.reviewed_at + REVIEW_PERIOD;
        if self.waiting.is_empty() { Moment::NEVER } else { self.wake_at.min(review) }
    }

    /// Largest number of prompts between their grant and their decode server; `None` if there is no
    /// limit.
    pub fn handover_limit(&self) -> Option<u32> {
        self.handover.limit()
    }

    /// Number of prompts between their grant and their decode server.
    fn open_handovers(&self) -> usize {
        let is_open = |reservation: &Reservation| reservation.phase < Phase::Decode;
        self.reservations.iter().filter(|(_, reservation)| is_open(reservation)).count()
    }

    fn find(&self, attempt: &Attempt) -> Option<Key<Reservation>> {
        let found = self.index.binary_search_by(|row| row.attempt.cmp(attempt));
        found.ok().map(|index| self.index[index].reservation)
    }

    /// Whether the attempt holds a reservation.
    pub fn has_reservation(&self, attempt: &Attempt) -> bool {
        self.find(attempt).is_some()
    }

    /// Requests in the queue, in order of arrival.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    /// Number of reservations.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Reservations and memory pieces of each decode server.
    pub fn reserved(&self) -> impl Iterator<Item = Reserved> {
        self.decodes.iter().map(|(_, decode)| Reserved {
            server: decode.server.name.clone(),
            reservations: decode.reservations.len() as u32,
            pieces: decode.pieces,
        })
    }

    /// Tokens served to each workspace and priority class.
    pub fn fairness(&self) -> &Fairness {
        &self.fairness
    }

    /// Checks that the index, the counts of the decode servers and the queue agree with the
    /// reservations.
    ///
    /// # Errors
    /// Describes the first violated invariant.
    pub fn check(&self) -> Result<(), String> {
        invariant::check(self)
    }
}

/// What is reserved at one decode server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// Name of the server.
    pub server: Arc<str>,
    /// Number of reservations.
    pub reservations: u32,
    /// Memory pieces.
    pub pieces: u32,
}
