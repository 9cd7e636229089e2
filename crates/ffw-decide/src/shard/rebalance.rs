//! Runs that are to move because the memory of their decode server runs out.
//!
//! Answers the load pattern of answers that go on for longer than was expected: a server that runs
//! out of memory puts a request back and reads it again between the tokens of the others, which
//! delays every stream there. To move one to a server with room costs a few milliseconds.

use {
    super::{
        Shard,
        memory::{self, Hold},
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

/// How far ahead memory is looked at: two reports of an entry and a move.
const HORIZON: Duration = Duration::from_millis(600);

/// Share of a server's memory above which a run is moved.
const FULL_SHARE: f64 = 0.96;

/// Time for which a run that was to move is not told again.
const TOLD_PAUSE: Duration = Duration::from_secs(1);

/// Least tokens that a run must still make for a move to pay.
const TOKENS_LEFT_MIN: u32 = 400;

impl Shard {
    /// Runs of an entry that are to move to another decode server now.
    pub fn runs_to_move(&mut self, now: Moment, entry: &Arc<str>) -> Vec<Attempt> {
        if !self.settings.memory_grows {
            return Vec::new();
        }
        let full: Vec<Key<Reservation>> =
            self.decodes.iter().filter_map(|(_, server)| self.run_to_move(now, server)).collect();
        let mut attempts = Vec::new();
        for key in full {
            let Some(reservation) = self.reservations.get_mut(key) else { continue };
            if reservation.ask.attempt.request.instance == *entry {
                reservation.told_at = now;
                attempts.push(reservation.ask.attempt.clone());
            }
        }
        attempts
    }

    /// The run whose move relieves a server for longest, if the server's memory runs out.
    fn run_to_move(&self, now: Moment, server: &Decode) -> Option<Key<Reservation>> {
        let capacity = self.capacity_tokens();
        let ahead = now + HORIZON;
        let open = || {
            let reservations = server
                .reservations
                .iter()
                .filter_map(|key| Some((*key, self.reservations.get(*key)?)));
            reservations
                .filter(|(_, reservation)| reservation.hold(now, server.token_time_s).end > now)
        };
        let held = |reservation: &Reservation| reservation.hold_at(ahead, server.token_time_s);
        let total: f64 = open().map(|(_, reservation)| held(reservation)).sum();
        if total <= capacity * FULL_SHARE || open().any(|(_, reservation)| reservation.is_told(now))
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
        let tokens = reservation.hold(now, from.token_time_s).tokens;
        let others = self.decodes.iter().map(|(_, one)| one);
        let mut others = others.filter(|one| {
            one.server.name != from.server.name
                && one.is_open(now)
                && !one.backoff.is_backing_off(now)
        });
        others.any(|one| {
            let reservations =
                one.reservations.iter().filter_map(|key| self.reservations.get(*key));
            let holds: Vec<Hold> =
                reservations.map(|reservation| reservation.hold(now, one.token_time_s)).collect();
            let span = Duration::from_secs_f64(left * one.token_time_s);
            let capacity = self.capacity_tokens();
            let fits = memory::fits_at(now, &holds, tokens, span, one.token_time_s, capacity);
            one.slots_free(self.settings.slots) > 0 && fits == Some(now)
        })
    }

    fn capacity_tokens(&self) -> f64 {
        f64::from(self.settings.pieces) * f64::from(self.settings.piece_tokens)
    }
}

impl Reservation {
    /// Memory that it is expected to hold at a moment ahead.
    fn hold_at(&self, at: Moment, token_time_s: f64) -> f64 {
        let hold = self.hold(at, token_time_s);
        if hold.end > at || self.phase < Phase::Decode { hold.tokens } else { 0.0 }
    }

    fn is_told(&self, now: Moment) -> bool {
        self.told_at > Moment(0) && now.since(self.told_at) < TOLD_PAUSE
    }
}
