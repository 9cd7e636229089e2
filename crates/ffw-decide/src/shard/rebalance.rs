//! Runs that are to move because the memory of their decode server runs out.
//!
//! Answers the load pattern of answers that go on for longer than was expected: a server that runs
//! out of memory puts a request back and reads it again between the tokens of the others, which
//! delays every stream there. To move one to a server with room costs a few milliseconds.

use {
    super::{
        Shard,
        memory::{self, Hold},
        place::Place,
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
        let full: Vec<Key<Place>> =
            self.decodes.iter().filter_map(|(_, server)| self.run_to_move(now, server)).collect();
        let mut attempts = Vec::new();
        for key in full {
            let Some(place) = self.places.get_mut(key) else { continue };
            if place.ask.attempt.request.instance == *entry {
                place.told_at = now;
                attempts.push(place.ask.attempt.clone());
            }
        }
        attempts
    }

    /// The run whose move relieves a server for longest, if the server's memory runs out.
    fn run_to_move(&self, now: Moment, server: &Decode) -> Option<Key<Place>> {
        let capacity = self.capacity_tokens();
        let ahead = now + HORIZON;
        let open = || {
            let places =
                server.places.iter().filter_map(|key| Some((*key, self.places.get(*key)?)));
            places.filter(|(_, place)| place.hold(now, server.pace).end > now)
        };
        let held = |place: &Place| place.hold_at(ahead, server.pace);
        let total: f64 = open().map(|(_, place)| held(place)).sum();
        if total <= capacity * FULL_SHARE || open().any(|(_, place)| place.is_told(now)) {
            return None;
        }
        let movable = open().filter(|(_, place)| {
            place.phase == Phase::Decode && place.expected_left() >= TOKENS_LEFT_MIN
        });
        let (key, place) = movable.max_by_key(|(_, place)| place.expected_left())?;
        self.has_room_elsewhere(now, server, place).then_some(key)
    }

    fn has_room_elsewhere(&self, now: Moment, from: &Decode, place: &Place) -> bool {
        let left = f64::from(place.expected_left());
        let tokens = place.hold(now, from.pace).tokens;
        let others = self.decodes.iter().map(|(_, one)| one);
        let mut others = others.filter(|one| {
            one.server.name != from.server.name && one.is_open(now) && !one.rest.is_resting(now)
        });
        others.any(|one| {
            let places = one.places.iter().filter_map(|key| self.places.get(*key));
            let holds: Vec<Hold> = places.map(|place| place.hold(now, one.pace)).collect();
            let span = Duration::from_secs_f64(left * one.pace);
            let capacity = self.capacity_tokens();
            let fits = memory::fits_at(now, &holds, tokens, span, one.pace, capacity);
            one.slots_free(self.settings.slots) > 0 && fits == Some(now)
        })
    }

    fn capacity_tokens(&self) -> f64 {
        f64::from(self.settings.pieces) * f64::from(self.settings.piece_tokens)
    }
}

impl Place {
    /// Memory that it is expected to hold at a moment ahead.
    fn hold_at(&self, at: Moment, pace: f64) -> f64 {
        let hold = self.hold(at, pace);
        if hold.end > at || self.phase < Phase::Decode { hold.tokens } else { 0.0 }
    }

    fn is_told(&self, now: Moment) -> bool {
        self.told_at > Moment(0) && now.since(self.told_at) < TOLD_PAUSE
    }
}
