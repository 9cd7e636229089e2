//! Selects decoding attempts (runs) to move to another decode server because the memory of their
//! server runs out.
//!
//! This is for answers that are longer than expected: a server without free memory preempts a
//! request and prefills it again between the tokens of the others, which delays every stream there.
//! Moving one request to a server with room costs a few milliseconds.

use {
    super::{
        Shard,
        memory::{self, Usage},
        reservation::Reservation,
        server::Decode,
    },
    crate::arena::Key,
    ffw_protocol::{
        admission::{Attempt, Phase},
        time::Moment,
    },
    std::{sync::Arc, time::Duration},
};

/// How far ahead memory use is predicted: the time of two renewals and one move.
const MEMORY_HORIZON: Duration = Duration::from_millis(600);

/// Share of a server's memory above which one of its runs is moved.
const MOVE_ABOVE_SHARE: f64 = 0.96;

/// Time after a request to move a run in which no further move is requested from its server.
const MOVE_PAUSE: Duration = Duration::from_secs(1);

/// Least expected output tokens left for which a move is worth its cost.
const TOKENS_LEFT_MIN: u32 = 400;

impl Shard {
    /// Runs of an entry that it is to move to another decode server now. Always empty for engines
    /// that allocate all memory at the start.
    pub fn runs_to_move(&mut self, now: Moment, entry: &Arc<str>) -> Vec<Attempt> {
        if !self.settings.memory_grows {
            return Vec::new();
        }
        let candidates: Vec<Key<Reservation>> =
            self.decodes.iter().filter_map(|(_, server)| self.run_to_move(now, server)).collect();
        let mut attempts = Vec::new();
        for key in candidates {
            let Some(reservation) = self.reservations.get_mut(key) else { continue };
            if reservation.ask.attempt.request.instance == *entry {
                reservation.move_requested_at = now;
                attempts.push(reservation.ask.attempt.clone());
            }
        }
        attempts
    }

    /// The run with the most expected tokens left, as its move frees memory for longest, if the
    /// server's memory runs out and another server has room for the run.
    fn run_to_move(&self, now: Moment, server: &Decode) -> Option<Key<Reservation>> {
        let capacity = self.capacity_tokens();
        let ahead = now + MEMORY_HORIZON;
        let open = || {
            let reservations = server
                .reservations
                .iter()
                .filter_map(|key| Some((*key, self.reservations.get(*key)?)));
            reservations.filter(|(_, reservation)| {
                reservation.memory_usage(now, server.token_time_s).end > now
            })
        };
        let tokens_held =
            |reservation: &Reservation| reservation.tokens_held_at(ahead, server.token_time_s);
        let total: f64 = open().map(|(_, reservation)| tokens_held(reservation)).sum();
        if total <= capacity * MOVE_ABOVE_SHARE
            || open().any(|(_, reservation)| reservation.is_move_requested(now))
        {
            return None;
        }
        let movable = open().filter(|(_, reservation)| {
            reservation.phase == Phase::Decode && reservation.expected_left() >= TOKENS_LEFT_MIN
        });
        let (key, reservation) =
            movable.max_by_key(|(_, reservation)| reservation.expected_left())?;
        self.has_room_elsewhere(now, server, reservation).then_some(key)
    }

    fn has_room_elsewhere(&self, now: Moment, from: &Decode, reservation: &Reservation) -> bool {
        let left = f64::from(reservation.expected_left());
        let tokens = reservation.memory_usage(now, from.token_time_s).tokens;
        let others = self.decodes.iter().map(|(_, decode)| decode);
        let mut others = others.filter(|decode| {
            decode.server.name != from.server.name
                && decode.is_open(now)
                && !decode.backoff.is_backing_off(now)
        });
        others.any(|decode| {
            let reservations =
                decode.reservations.iter().filter_map(|key| self.reservations.get(*key));
            let usages: Vec<Usage> = reservations
                .map(|reservation| reservation.memory_usage(now, decode.token_time_s))
                .collect();
            let span = Duration::from_secs_f64(left * decode.token_time_s);
            let capacity = self.capacity_tokens();
            let fits_at =
                memory::earliest_fit(now, &usages, tokens, span, decode.token_time_s, capacity);
            decode.slots_free(self.settings.slots) > 0 && fits_at == Some(now)
        })
    }

    fn capacity_tokens(&self) -> f64 {
        f64::from(self.settings.pieces) * f64::from(self.settings.piece_tokens)
    }
}

impl Reservation {
    /// Tokens that it is expected to keep in memory at `time`; 0 if it is decoding and expected to
    /// end before.
    fn tokens_held_at(&self, time: Moment, token_time_s: f64) -> f64 {
        let usage = self.memory_usage(time, token_time_s);
        if usage.end > time || self.phase < Phase::Decode { usage.tokens } else { 0.0 }
    }

    fn is_move_requested(&self, now: Moment) -> bool {
        self.move_requested_at > Moment(0) && now.since(self.move_requested_at) < MOVE_PAUSE
    }
}
