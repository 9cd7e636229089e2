//! A shard: the queue, the servers and the places of one slice of a pool, decided by one owner at a
//! time.
//!
//! A grant reserves a prefill server, a decode slot, memory pieces and time on the transfer link
//! together, and is given only when the slot is predicted to be free by the time the prefill ends.
//! Until then the request stays in the queue, so that the order is decided as late as possible.
//! Whoever can't be served before its deadline is refused as soon as that is known.

pub mod invariant;
mod members;
pub mod memory;
mod queue;
mod rebalance;
mod renewal;
pub mod reservation;
mod review;
pub mod roles;
pub mod server;

use {
    crate::{
        arena::{Arena, Key},
        estimate,
        order::{Fairness, Floor},
    },
    ffw_protocol::{
        admission::{self, Ask, Attempt, Verdict},
        time::Moment,
    },
    reservation::Reservation,
    review::REVIEW_PERIOD,
    roles::Roles,
    server::{Decode, Prefill},
    std::{sync::Arc, time::Duration},
};

/// Time for which a new owner waits for the entries to declare what runs.
pub const RECOVERY_TIME: Duration = Duration::from_millis(400);

/// Share of the asked output tokens that an answer is taken to have, before any was seen.
const OUTPUT_SHARE: f64 = 0.7;

/// Sizes and rates of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Slots of a decode server.
    pub slots: u32,
    /// Pieces of memory of a decode server.
    pub pieces: u32,
    /// Tokens in a piece.
    pub piece_tokens: u32,
    /// Whether memory is taken as tokens are made, rather than all of it at the start.
    pub memory_grows: bool,
    /// Whether a decode server can read a prompt itself.
    pub decode_reads: bool,
    /// Prompt tokens a second of a prefill server.
    pub prefill_rate: u32,
    /// Prompt tokens a second of a decode server's link.
    pub link_rate: u32,
    /// First guess of the time between two tokens.
    pub token_time: Duration,
    /// Time for which a prefill result survives.
    pub result_life: Duration,
    /// Floors of the classes.
    pub floors: Vec<Floor>,
}

impl Settings {
    /// Pieces that an attempt needs at its decode server.
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

    /// Time that a plan may let a prefill result wait, well below the time that it survives.
    pub fn result_wait(&self) -> Duration {
        self.result_life / 4
    }
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What was asked.
    pub ask: Ask,
    /// Arrival, on this owner's clock.
    pub arrival: Moment,
    /// Moment of the first token's target.
    pub target: Moment,
    /// Latest useful moment for the first token.
    pub deadline: Moment,
    /// Requests that went first because this one fitted no server.
    pub bypassed: u32,
    /// No place was found that would meet its target.
    pub misses_target: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    attempt: Attempt,
    reservation: Key<Reservation>,
}

/// What the owner has to do after a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer an ask.
    Answer(Attempt, Verdict),
    /// Cancel an attempt at both engines, then confirm with [`Shard::confirm_cancel`].
    Cancel(Attempt, Vec<admission::Server>),
}

/// Servers that the shard is to use.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Prefill servers, live ones and leaving ones.
    pub prefills: Vec<Member>,
    /// Decode servers, live ones and leaving ones.
    pub decodes: Vec<Member>,
}

/// One backend server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and address.
    pub server: admission::Server,
    /// Takes no new work.
    pub leaving: bool,
}

/// The state of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    settings: Settings,
    owner: Arc<str>,
    epoch: u64,
    granted: u64,
    prefills: Arena<Prefill>,
    decodes: Arena<Decode>,
    waiting: Vec<Waiting>,
    reservations: Arena<Reservation>,
    index: Vec<Entry>,
    fairness: Fairness,
    arrival_rate: estimate::ArrivalRate,
    output_share: f64,
    roles: Roles,
    recovered_at: Moment,
    reviewed_at: Moment,
    wake_at: Moment,
    effects: Vec<Effect>,
}

impl Shard {
    /// An empty shard that grants nothing until the entries had time to declare what runs.
    pub fn new(now: Moment, owner: Arc<str>, epoch: u64, settings: Settings) -> Shard {
        let fairness = Fairness::new(settings.floors.clone());
        Shard {
            settings,
            owner,
            epoch,
            granted: 0,
            prefills: Arena::default(),
            decodes: Arena::default(),
            waiting: Vec::new(),
            reservations: Arena::default(),
            index: Vec::new(),
            fairness,
            arrival_rate: estimate::ArrivalRate::default(),
            output_share: OUTPUT_SHARE,
            roles: Roles::default(),
            recovered_at: now + RECOVERY_TIME,
            reviewed_at: now,
            wake_at: now,
            effects: Vec::new(),
        }
    }

    /// Starts granting at once, for a shard that nobody owned before.
    pub fn skip_recovery(&mut self, now: Moment) {
        self.recovered_at = now;
    }

    /// Waits for the entries again, after a pause of this process.
    pub fn restart_recovery(&mut self, now: Moment) {
        self.recovered_at = now + RECOVERY_TIME;
    }

    /// Takes new settings over.
    pub fn configure(&mut self, settings: Settings) {
        self.fairness.set_floors(settings.floors.clone());
        self.settings = settings;
    }

    /// Decides all that can be decided now and gives what is to be done.
    pub fn step(&mut self, now: Moment) -> Vec<Effect> {
        self.expire(now);
        if now >= self.recovered_at {
            self.refuse_hopeless(now);
            self.grant_all(now);
        } else {
            self.wake_at = self.recovered_at;
        }
        std::mem::take(&mut self.effects)
    }

    /// When the next step is due if nothing happens before.
    pub fn wake_at(&self) -> Moment {
        let review = self.reviewed_at + REVIEW_PERIOD;
        if self.waiting.is_empty() { Moment::NEVER } else { self.wake_at.min(review) }
    }

    fn find(&self, attempt: &Attempt) -> Option<Key<Reservation>> {
        let found = self.index.binary_search_by(|entry| entry.attempt.cmp(attempt));
        found.ok().map(|at| self.index[at].reservation)
    }

    /// Whether the attempt holds a place.
    pub fn has_reservation(&self, attempt: &Attempt) -> bool {
        self.find(attempt).is_some()
    }

    /// Requests in the queue, in order of arrival.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    /// Places held.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Places and pieces reserved at each decode server.
    pub fn reserved(&self) -> impl Iterator<Item = Reserved> {
        self.decodes.iter().map(|(_, one)| Reserved {
            server: one.server.name.clone(),
            reservations: one.reservations.len() as u32,
            pieces: one.pieces,
        })
    }

    /// What workspaces and classes have been served.
    pub fn fairness(&self) -> &Fairness {
        &self.fairness
    }

    /// Checks that nothing is counted twice or lost.
    ///
    /// # Errors
    /// The rule that is broken.
    pub fn check(&self) -> Result<(), String> {
        invariant::check(self)
    }
}

/// What is reserved at one decode server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// Name of the server.
    pub server: Arc<str>,
    /// Places.
    pub reservations: u32,
    /// Pieces.
    pub pieces: u32,
}
