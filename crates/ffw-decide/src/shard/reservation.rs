//! Places: what a granted attempt holds, and the search for one.

use {
    super::{
        Settings,
        memory::{self, Hold},
        server::{Decode, Prefill},
    },
    crate::arena::{Arena, Key},
    ffw_protocol::{
        admission::{Ask, Phase},
        time::Moment,
    },
    std::{cmp::Reverse, time::Duration},
};

/// How far ahead of its start a prefill may be granted.
pub const START_HORIZON: Duration = Duration::from_millis(20);

/// Time to read a prompt at a decode server over that at a prefill server.
const DECODE_READ_FACTOR: u32 = 2;

/// Share of an answer that has come to its estimate by which it is expected to go on.
const OVERRUN_SHARE: f64 = 0.28;

/// What a granted attempt holds until it is released.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The ask that was granted.
    pub ask: Ask,
    /// Prefill server; none if it has left the shard.
    pub prefill: Option<Key<Prefill>>,
    /// Decode server.
    pub decode: Key<Decode>,
    /// Pieces reserved at the decode server.
    pub pieces: u32,
    /// Output tokens that it is expected to make.
    pub expected: u32,
    /// Step that it is in.
    pub phase: Phase,
    /// Output tokens so far.
    pub emitted: u32,
    /// When its prefill was to start.
    pub start: Moment,
    /// When its prefill is to end.
    pub prefill_end: Moment,
    /// When its transfer is to end.
    pub transfer_end: Moment,
    /// When its entry was last heard of it.
    pub heard: Moment,
    /// When the place is given up if its entry stays silent.
    pub expires: Moment,
    /// When the place was granted or taken over.
    pub since: Moment,
    /// Full renewals of its entry in a row that did not list it.
    pub missed: u8,
    /// Tokens charged to the workspace so far.
    pub charged: f64,
    /// When its entry was last told to move it; 0 if never.
    pub told_at: Moment,
    /// Its cancel has been ordered and is not confirmed yet.
    pub cancelling: bool,
}

impl Reservation {
    /// When its slot is free at the latest, at the server's pace.
    pub fn predicted_end(&self, token_time_s: f64) -> Moment {
        let base = if self.phase == Phase::Decode { self.heard } else { self.transfer_end };
        base + Duration::from_secs_f64(f64::from(self.expected_left()) * token_time_s)
    }

    /// Output tokens that are still expected: the further an answer has gone, the less its estimate
    /// says about its end, and the longer it is likely to go on.
    pub(super) fn expected_left(&self) -> u32 {
        let most = self.ask.tokens_out.saturating_sub(self.emitted);
        let left = f64::from(self.expected.saturating_sub(self.emitted));
        let spread = f64::from(self.emitted) * OVERRUN_SHARE;
        (left.hypot(spread) as u32).min(most)
    }

    /// Memory that it is expected to hold from now on.
    pub(super) fn hold(&self, now: Moment, token_time_s: f64) -> Hold {
        let since =
            if self.phase == Phase::Decode { now.since(self.heard) } else { Duration::ZERO };
        let unheard = since.as_secs_f64() / token_time_s.max(1e-6);
        let tokens = f64::from(self.ask.tokens_in) + f64::from(self.emitted) + unheard;
        Hold { tokens, end: self.predicted_end(token_time_s).max(now) }
    }
}

/// A place that a search found.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Prefill server; none if the decode server reads the prompt itself.
    pub prefill: Option<Key<Prefill>>,
    /// Decode server.
    pub decode: Key<Decode>,
    /// Pieces to reserve.
    pub pieces: u32,
    /// When the prefill starts.
    pub start: Moment,
    /// When it ends.
    pub prefill_end: Moment,
    /// When the transfer ends.
    pub transfer_end: Moment,
    /// Prompt tokens thought to be cached.
    pub cached: u32,
    /// Output tokens that it is expected to make.
    pub expected: u32,
    /// Free slots of the decode server before.
    pub slots_free: u32,
}

/// Why a search found none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// A place is predicted for this moment.
    Until(Moment),
    /// Slots are free, but no server has memory enough.
    Memory(Moment),
    /// No server is live.
    NoServer,
}

/// Searches the pair of servers at which the attempt's decode would start first.
///
/// # Errors
/// Why there is none now.
pub fn search(
    now: Moment,
    ask: &Ask,
    expected: u32,
    settings: &Settings,
    prefills: &Arena<Prefill>,
    decodes: &Arena<Decode>,
    reservations: &Arena<Reservation>,
) -> Result<Plan, Blocked> {
    let pieces = settings.pieces_of(ask);
    let mut best: Option<Choice> = None;
    let mut blocked = Blocked::NoServer;
    let live = || prefills.iter().filter(|(_, one)| one.is_open(now));
    let all_back_off = live().all(|(_, one)| one.backoff.is_backing_off(now));
    let live = live().filter(|(_, one)| all_back_off || !one.backoff.is_backing_off(now));
    let works =
        live.map(|(key, one)| (Some(key), Work::of(ask, settings, one), one.backoff.handicap()));
    let (prefill, work) = match works.min_by_key(|(_, work, handicap)| work.rank(now, *handicap)) {
        Some((prefill, work, _)) if !ask.is_read => (prefill, work),
        _ if ask.is_read => (None, Work { free_at: now, span: Duration::ZERO, cached: 0 }),
        None if settings.decode_reads => (None, Work::at_decode(now, ask, settings)),
        _ => return Err(Blocked::NoServer),
    };
    let live = || decodes.iter().filter(|(_, one)| one.is_open(now));
    let all_back_off = live().all(|(_, one)| one.backoff.is_backing_off(now));
    for (decode, server) in
        live().filter(|(_, one)| all_back_off || !one.backoff.is_backing_off(now))
    {
        let room = if settings.memory_grows {
            growing_room(now, server, ask, expected, settings, reservations)
        } else {
            room(now, server, pieces, settings, reservations)
        };
        let ready = match room {
            Room::At(at) => at.max(server.link_free_at),
            Room::Never => Moment::NEVER,
        };
        let result = fit(now, ready, &work, settings);
        match result {
            Ok(start) => {
                let prefill_end = start + work.span;
                let transfer_start = prefill_end.max(ready);
                let plan = Plan {
                    prefill,
                    decode,
                    pieces,
                    start,
                    prefill_end,
                    transfer_end: transfer_start + settings.transfer_time(ask.tokens_in),
                    cached: work.cached,
                    expected,
                    slots_free: server.slots_free(settings.slots),
                };
                let choice =
                    Choice { good_by: plan.transfer_end + server.backoff.handicap(), plan };
                if best.is_none_or(|other| choice.is_better(&other)) {
                    best = Some(choice);
                }
            }
            Err(at) => {
                let has_slot = server.slots_free(settings.slots) > 0;
                let lacks_memory =
                    has_slot && (settings.memory_grows || server.pieces + pieces > settings.pieces);
                blocked = sooner(blocked, at, lacks_memory);
            }
        }
    }
    best.map(|choice| choice.plan).ok_or(blocked)
}

#[derive(Clone, Copy)]
struct Choice {
    plan: Plan,
    /// End of the transfer, later by what failures of the server cost.
    good_by: Moment,
}

impl Choice {
    fn is_better(&self, other: &Choice) -> bool {
        (self.good_by, Reverse(self.plan.slots_free))
            < (other.good_by, Reverse(other.plan.slots_free))
    }
}

fn sooner(blocked: Blocked, at: Moment, lacks_memory: bool) -> Blocked {
    let (known, memory) = match blocked {
        Blocked::NoServer => (Moment::NEVER, true),
        Blocked::Until(known) => (known, false),
        Blocked::Memory(known) => (known, true),
    };
    let at = at.min(known);
    if memory && lacks_memory { Blocked::Memory(at) } else { Blocked::Until(at) }
}

struct Work {
    free_at: Moment,
    span: Duration,
    cached: u32,
}

impl Work {
    fn of(ask: &Ask, settings: &Settings, server: &Prefill) -> Work {
        let leading = server.hints.leading(&ask.prefix) as u32;
        // The last piece is always computed: its end gives the first token.
        let cached = (leading * settings.piece_tokens).min(ask.tokens_in.saturating_sub(1));
        let span = settings.prefill_time(ask.tokens_in - cached).mul_f64(server.slowness);
        Work { free_at: server.free_at, span, cached }
    }

    /// Reading the prompt at the decode server.
    fn at_decode(now: Moment, ask: &Ask, settings: &Settings) -> Work {
        let span = settings.prefill_time(ask.tokens_in) * DECODE_READ_FACTOR;
        Work { free_at: now, span, cached: 0 }
    }

    /// Order of choice: a server that can begin now, however often it failed, goes before one that
    /// can't, so that no request waits beside an idle server.
    fn rank(&self, now: Moment, handicap: Duration) -> (bool, Moment) {
        let begins = self.free_at.max(now);
        (begins > now + START_HORIZON, begins + self.span + handicap)
    }
}

/// The start at which the prefill's end meets `ready`, if it is near enough.
fn fit(now: Moment, ready: Moment, work: &Work, settings: &Settings) -> Result<Moment, Moment> {
    let earliest = work.free_at.max(now);
    let latest_end = ready - settings.result_wait();
    let start = earliest.max(latest_end - work.span);
    if start <= now + START_HORIZON { Ok(start) } else { Err(start - START_HORIZON) }
}

enum Room {
    At(Moment),
    Never,
}

/// When the server has a slot and the memory, counting on the ends that are due first.
/// Room at a server whose requests take memory as they make tokens.
fn growing_room(
    now: Moment,
    server: &Decode,
    ask: &Ask,
    expected: u32,
    settings: &Settings,
    reservations: &Arena<Reservation>,
) -> Room {
    let token_time_s = server.token_time_s;
    let open = server.reservations.iter().filter_map(|key| reservations.get(*key));
    let mut holds: Vec<Hold> =
        open.map(|reservation| reservation.hold(now, token_time_s)).collect();
    holds.sort_unstable_by_key(|hold| hold.end);
    // The slot of the first that ends, if all are taken.
    let taken = holds.len() + server.unaccounted as usize;
    let excess = (taken + 1).saturating_sub(settings.slots as usize);
    let slot_at = match excess {
        0 => now,
        _ if excess > holds.len() => return Room::Never,
        _ => holds[excess - 1].end,
    };
    let capacity = f64::from(settings.pieces) * f64::from(settings.piece_tokens);
    let span = Duration::from_secs_f64(f64::from(expected) * token_time_s);
    let tokens = f64::from(ask.tokens_in);
    match memory::fits_at(now, &holds, tokens, span, token_time_s, capacity) {
        Some(at) => Room::At(at.max(slot_at)),
        None => Room::Never,
    }
}

fn room(
    now: Moment,
    server: &Decode,
    pieces: u32,
    settings: &Settings,
    reservations: &Arena<Reservation>,
) -> Room {
    let slots = i64::from(settings.slots)
        - i64::from(server.unaccounted)
        - server.reservations.len() as i64;
    let memory = i64::from(settings.pieces) - i64::from(server.pieces);
    let needed = i64::from(pieces);
    if slots > 0 && memory >= needed {
        return Room::At(now);
    }
    let mut ends: Vec<(Moment, u32)> = server
        .reservations
        .iter()
        .filter_map(|key| reservations.get(*key))
        .map(|reservation| (reservation.predicted_end(server.token_time_s), reservation.pieces))
        // An end that is overdue is not certain any more: its slot counts when it is released.
        .filter(|(end, _)| *end >= now)
        .collect();
    ends.sort_unstable();
    let (mut slots, mut memory) = (slots, memory);
    for (end, freed) in ends {
        slots += 1;
        memory += i64::from(freed);
        if slots > 0 && memory >= needed {
            return Room::At(end.max(now));
        }
    }
    Room::Never
}
