//! Reservations: the resources that a granted attempt holds, and the search for a reservation.
//!
//! The search selects the prefill server that is predicted to finish first, with preference for one
//! that can start now, and the decode server at which the transfer would then end first. It starts
//! a prefill only when the decode slot is predicted to be free while the prefill result is still
//! kept.

use {
    super::{
        Settings,
        memory::{self, Usage},
        server::{Decode, Prefill},
    },
    crate::arena::{Arena, Key},
    ffw_protocol::{
        admission::{Ask, Phase},
        time::Moment,
    },
    std::{cmp::Reverse, sync::Arc, time::Duration},
};

/// Longest time by which a grant may precede the start of its prefill, beside the delay of the
/// messages.
pub const START_HORIZON: Duration = Duration::from_millis(20);

/// Time to prefill a prompt at a decode server, as a multiple of that at a prefill server.
const DECODE_PREFILL_FACTOR: u32 = 2;

/// Expected further output of an answer that has reached its estimate, as a share of its output so
/// far.
const OVERRUN_SHARE: f64 = 0.28;

/// What a granted attempt holds until it is released.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The admission request that was granted.
    pub ask: Ask,
    /// Prefill server; `None` if the decode server prefills the prompt itself, the prompt was
    /// prefilled already, or the server has left the shard.
    pub prefill: Option<Key<Prefill>>,
    /// Decode server.
    pub decode: Key<Decode>,
    /// Memory pieces reserved at the decode server.
    pub pieces: u32,
    /// Output tokens for which it is planned.
    pub expected_output: u32,
    /// Step that it is in.
    pub phase: Phase,
    /// Output tokens so far.
    pub emitted: u32,
    /// When the call for its prefill is sent.
    pub sent_at: Moment,
    /// Nominal time of its prefill, at a server of the nominal rate.
    pub nominal_prefill: Duration,
    /// When the end of its prefill is predicted to be reported, or was reported.
    pub prefill_end: Moment,
    /// Planned end of its transfer.
    pub transfer_end: Moment,
    /// When its entry last reported progress; the time of the grant before the first report.
    pub last_reported_at: Moment,
    /// When the reservation is cancelled if its entry has stopped reporting.
    pub expires_at: Moment,
    /// When this owner granted it, or added it after another owner had granted it.
    pub reserved_at: Moment,
    /// Consecutive full renewals of its entry that did not list it.
    pub missed_renewals: u8,
    /// Tokens charged to the workspace in advance; corrected to the tokens used when it ends.
    pub charged_tokens: f64,
    /// When its entry was last asked to move it; 0 if never.
    pub move_requested_at: Moment,
    /// Whether its cancellation was requested and is not confirmed yet.
    pub cancelling: bool,
}

impl Reservation {
    /// When its slot is predicted to be free, at `token_time_s` seconds per token.
    pub fn predicted_end(&self, token_time_s: f64) -> Moment {
        let base =
            if self.phase == Phase::Decode { self.last_reported_at } else { self.transfer_end };
        base + Duration::from_secs_f64(f64::from(self.expected_left()) * token_time_s)
    }

    /// Output tokens that are still expected. The longer an answer has become, the less its initial
    /// estimate predicts its end and the more further output is expected.
    pub(super) fn expected_left(&self) -> u32 {
        let most = self.ask.tokens_out.saturating_sub(self.emitted);
        let left = f64::from(self.expected_output.saturating_sub(self.emitted));
        let spread = f64::from(self.emitted) * OVERRUN_SHARE;
        (left.hypot(spread) as u32).min(most)
    }

    /// Memory that it uses now, and when it is expected to end. Includes the tokens that were
    /// expected since the last progress report.
    pub(super) fn memory_usage(&self, now: Moment, token_time_s: f64) -> Usage {
        let since = if self.phase == Phase::Decode {
            now.since(self.last_reported_at)
        } else {
            Duration::ZERO
        };
        let unreported_tokens = since.as_secs_f64() / token_time_s.max(1e-6);
        let tokens = f64::from(self.ask.tokens_in) + f64::from(self.emitted) + unreported_tokens;
        Usage { tokens, end: self.predicted_end(token_time_s).max(now) }
    }
}

/// A possible reservation that a search found.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Prefill server; `None` if the decode server prefills the prompt itself or the prompt was
    /// prefilled already.
    pub prefill: Option<Key<Prefill>>,
    /// Decode server.
    pub decode: Key<Decode>,
    /// Memory pieces to reserve.
    pub pieces: u32,
    /// When the call for the prefill is sent.
    pub sent_at: Moment,
    /// Nominal time of the prefill, at a server of the nominal rate.
    pub nominal_prefill: Duration,
    /// When the end of the prefill is predicted to be reported.
    pub prefill_end: Moment,
    /// When the transfer ends.
    pub transfer_end: Moment,
    /// Prompt tokens that the prefill server is expected to have cached.
    pub cached: u32,
    /// Output tokens for which it is planned.
    pub expected_output: u32,
    /// Free slots of the decode server without this reservation.
    pub slots_free: u32,
}

/// Why a search found no reservation that can be granted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// A reservation is predicted to be possible at this time, which is close to
    /// [`Moment::NEVER`] if no slot is predicted to become free.
    Until(Moment),
    /// Slots are free, but no server has enough memory before this time.
    Memory(Moment),
    /// No server accepts new work.
    NoServer,
}

impl Blocked {
    /// When to search again; [`Moment::NEVER`] if no time is known.
    pub fn retry_at(self) -> Moment {
        match self {
            Blocked::Until(time) | Blocked::Memory(time) => time,
            Blocked::NoServer => Moment::NEVER,
        }
    }
}

/// The servers among which a reservation is searched.
#[derive(Clone, Copy, Debug)]
pub struct Servers<'a> {
    /// All prefill servers.
    pub prefills: &'a Arena<Prefill>,
    /// All decode servers.
    pub decodes: &'a Arena<Decode>,
    /// Names, in order, of the decode servers for which an earlier request waits.
    pub closed: &'a [Arc<str>],
}

/// Selects the prefill server that would finish first, then the decode server at which the transfer
/// would end first, both delayed by the handicap of servers that fail a part of their requests.
/// Servers in backoff are used only if all are.
///
/// # Errors
/// Returns why no reservation can be granted now, and when to search again.
pub fn search(
    now: Moment,
    ask: &Ask,
    expected_output: u32,
    settings: &Settings,
    servers: &Servers<'_>,
    reservations: &Arena<Reservation>,
) -> Result<Plan, Blocked> {
    let Servers { prefills, decodes, closed } = *servers;
    let is_closed = |server: &str| closed.binary_search_by(|name| (**name).cmp(server)).is_ok();
    let pieces = settings.pieces_of(ask);
    let mut best: Option<Choice> = None;
    let mut blocked = Blocked::NoServer;
    let (prefill, work) = choose_prefill(now, ask, settings, prefills).ok_or(Blocked::NoServer)?;
    let live = || {
        let open = decodes.iter().filter(|(_, decode)| decode.is_open(now));
        open.filter(|(_, decode)| ask.allows(&decode.server.name))
    };
    // While prompts queue at all prefill servers, the decode servers are not looked at.
    let earliest = schedule(now, now, &work, settings);
    if let Err(retry_at) = earliest
        && live().next().is_some()
    {
        return Err(Blocked::Until(retry_at));
    }
    let all_back_off = live().all(|(_, server)| server.backoff.is_backing_off(now));
    let usable = live().filter(|(_, server)| all_back_off || !server.backoff.is_backing_off(now));
    for (decode, server) in usable.filter(|(_, server)| !is_closed(&server.server.name)) {
        let room = if settings.memory_grows {
            growing_room(now, server, ask, expected_output, settings, reservations)
        } else {
            fixed_room(now, server, pieces, settings, reservations)
        };
        let ready = match room {
            Room::At(time) => time.max(server.link_free_at),
            Room::Never => Moment::NEVER,
        };
        match schedule(now, ready, &work, settings) {
            Ok(Schedule { sent_at, prefill_end }) => {
                let transfer_start = prefill_end.max(ready);
                let plan = Plan {
                    prefill,
                    decode,
                    pieces,
                    sent_at,
                    nominal_prefill: work.nominal,
                    prefill_end,
                    transfer_end: transfer_start + settings.transfer_time(ask.tokens_in),
                    cached: work.cached,
                    expected_output,
                    slots_free: server.slots_free(settings.slots),
                };
                let choice =
                    Choice { adjusted_end: plan.transfer_end + server.backoff.handicap(), plan };
                if best.is_none_or(|other| choice.is_better(&other)) {
                    best = Some(choice);
                }
            }
            Err(retry_at) => {
                let has_slot = server.slots_free(settings.slots) > 0;
                let lacks_memory =
                    has_slot && (settings.memory_grows || server.pieces + pieces > settings.pieces);
                blocked = earlier_block(blocked, retry_at, lacks_memory);
            }
        }
    }
    best.map(|choice| choice.plan).ok_or(blocked)
}

/// The prefill server that would finish the prompt first, and the prefill there. No server for a
/// prompt that is prefilled already, or that its decode server prefills because no prefill server
/// is usable; `None` if it can't do so.
fn choose_prefill(
    now: Moment,
    ask: &Ask,
    settings: &Settings,
    prefills: &Arena<Prefill>,
) -> Option<(Option<Key<Prefill>>, Work)> {
    if ask.is_read {
        return Some((None, Work::none(now)));
    }
    let live = || {
        let open = prefills.iter().filter(|(_, prefill)| prefill.is_open(now));
        open.filter(|(_, prefill)| ask.allows(&prefill.server.name))
    };
    let all_back_off = live().all(|(_, server)| server.backoff.is_backing_off(now));
    let usable = live().filter(|(_, server)| all_back_off || !server.backoff.is_backing_off(now));
    let works =
        usable.map(|(key, server)| (key, Work::at_prefill(ask, settings, server), server.backoff));
    match works.min_by_key(|(_, work, backoff)| work.rank(now, backoff.handicap())) {
        Some((prefill, work, _)) => Some((Some(prefill), work)),
        None if settings.decode_reads => Some((None, Work::at_decode(now, ask, settings))),
        None => None,
    }
}

#[derive(Clone, Copy)]
struct Choice {
    plan: Plan,
    /// End of the transfer, delayed by the handicap of the decode server.
    adjusted_end: Moment,
}

impl Choice {
    fn is_better(&self, other: &Choice) -> bool {
        (self.adjusted_end, Reverse(self.plan.slots_free))
            < (other.adjusted_end, Reverse(other.plan.slots_free))
    }
}

/// Combines the result of a further decode server: the earliest time, and lack of memory only if
/// all servers lack it.
fn earlier_block(blocked: Blocked, retry_at: Moment, lacks_memory: bool) -> Blocked {
    let (earliest, memory) = match blocked {
        Blocked::NoServer => (Moment::NEVER, true),
        Blocked::Until(time) => (time, false),
        Blocked::Memory(time) => (time, true),
    };
    let earliest = earliest.min(retry_at);
    if memory && lacks_memory { Blocked::Memory(earliest) } else { Blocked::Until(earliest) }
}

/// The prefill of a request at one server. The owner learns of a prefill by its report, so its
/// times are those at which reports arrive, later than at the server by the delay of the messages.
struct Work {
    /// When the report on the last earlier prompt of the server is predicted to arrive.
    free_at: Moment,
    /// Delay of the messages to and from the server.
    delay: Duration,
    /// Time at a server of the nominal rate.
    nominal: Duration,
    /// Predicted time at this server.
    span: Duration,
    cached: u32,
}

impl Work {
    fn none(now: Moment) -> Work {
        let zero = Duration::ZERO;
        Work { free_at: now, delay: zero, nominal: zero, span: zero, cached: 0 }
    }

    fn at_prefill(ask: &Ask, settings: &Settings, server: &Prefill) -> Work {
        let cached_count = server.hints.cached_prefix_count(&ask.prefix) as u32;
        // The last prompt token is always computed, as the first output token follows from it.
        let cached = (cached_count * settings.piece_tokens).min(ask.tokens_in.saturating_sub(1));
        let nominal = settings.prefill_time(ask.tokens_in - cached);
        let (delay, span) = (server.timing.delay(), server.timing.work_time(nominal));
        Work { free_at: server.free_at, delay, nominal, span, cached }
    }

    /// The prefill of the prompt at the decode server.
    fn at_decode(now: Moment, ask: &Ask, settings: &Settings) -> Work {
        let span = settings.prefill_time(ask.tokens_in) * DECODE_PREFILL_FACTOR;
        Work { nominal: span, span, ..Work::none(now) }
    }

    /// Start of the prefill if its call is sent at once: after the delay of the messages, or when
    /// the server is free.
    fn earliest_start(&self, now: Moment) -> Moment {
        self.free_at.max(now + self.delay)
    }

    /// Sort key of the choice. A server that can start now is preferred whatever its handicap, so
    /// that no request waits while a server is idle.
    fn rank(&self, now: Moment, handicap: Duration) -> (bool, Moment) {
        let start = self.earliest_start(now);
        (start > now + self.delay + START_HORIZON, start + self.span + handicap)
    }
}

/// When the call for a prefill is sent, and when its end is predicted to be reported.
struct Schedule {
    sent_at: Moment,
    prefill_end: Moment,
}

/// Plans the prefill as early as its server is free, but so late that the result need not wait
/// longer than [`Settings::result_wait_max`] until `ready`, when the decode server is ready for it.
///
/// A prompt that only waits for its server is sent at once, so that the server has it when it
/// finishes the one before.
///
/// # Errors
/// If the start is further away than [`START_HORIZON`] and the delay of the messages, the time at
/// which it can be granted.
fn schedule(
    now: Moment,
    ready: Moment,
    work: &Work,
    settings: &Settings,
) -> Result<Schedule, Moment> {
    let earliest = work.earliest_start(now);
    let latest_end = ready - settings.result_wait_max();
    let start = earliest.max(latest_end - work.span);
    if start > now + work.delay + START_HORIZON {
        return Err(start - work.delay - START_HORIZON);
    }
    let sent_at = if start > earliest { now.max(start - work.delay) } else { now };
    Ok(Schedule { sent_at, prefill_end: start + work.span })
}

/// When a decode server has a slot and the memory for a request.
enum Room {
    At(Moment),
    Never,
}

/// Room at a server whose engine allocates memory as tokens are generated.
fn growing_room(
    now: Moment,
    server: &Decode,
    ask: &Ask,
    expected_output: u32,
    settings: &Settings,
    reservations: &Arena<Reservation>,
) -> Room {
    let token_time_s = server.token_time_s;
    let open = server.reservations.iter().filter_map(|key| reservations.get(*key));
    let mut usages: Vec<Usage> =
        open.map(|reservation| reservation.memory_usage(now, token_time_s)).collect();
    usages.sort_unstable_by_key(|usage| usage.end);
    // If all slots are taken, a slot is free once enough of the running requests have ended.
    let taken = usages.len() + server.unaccounted as usize;
    let excess = (taken + 1).saturating_sub(settings.slots as usize);
    let slot_at = match excess {
        0 => now,
        _ if excess > usages.len() => return Room::Never,
        _ => usages[excess - 1].end,
    };
    let capacity = f64::from(settings.pieces) * f64::from(settings.piece_tokens);
    let span = Duration::from_secs_f64(f64::from(expected_output) * token_time_s);
    let tokens = f64::from(ask.tokens_in);
    match memory::earliest_fit(now, &usages, tokens, span, token_time_s, capacity) {
        Some(time) => Room::At(time.max(slot_at)),
        None => Room::Never,
    }
}

/// Room at a server whose engine allocates all memory at the start, assuming that the running
/// requests end as predicted.
fn fixed_room(
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
        // A request that runs beyond its predicted end has no known end: its slot is free only when
        // it is released.
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
