//! Streams that ended early, which their callers take up at another daemon.

use {
    super::{Habits, Kind, Outcome},
    crate::worker::EVENT_COUNT,
    rand::Rng as _,
    rand_chacha::ChaCha8Rng,
    std::{ops::Range, time::Duration},
};

/// Largest number of times that a stream is taken up.
const TRIES_MAX: u32 = 4;

/// The same with [`Habits::persists`], for daemons that take seconds to start.
const PERSISTENT_TRIES_MAX: u32 = 12;

/// Of the streams that may be resumed, one in this number is left by its caller.
const DEPARTURE_SHARE: u32 = 2;

/// Events after which a caller leaves a stream.
const DEPARTURE_EVENTS: Range<u32> = 2..15;

/// Time after which a stream is taken up, in milliseconds.
const PAUSE_MS: Range<u64> = 5..600;

/// What a request states of the stream that it takes up.
#[derive(Clone, Debug)]
pub struct TakeUp {
    /// Id of the request that brought the stream's first event.
    pub origin: String,
    /// Last event that the caller has.
    pub last_event: u32,
    /// Number of times that the stream was taken up, with this one.
    tries: u32,
}

impl TakeUp {
    /// How a caller takes up the stream of a request, or that which the request took up; `None` if
    /// it has ended, did not begin, or was taken up often enough.
    pub(super) fn after(outcome: &Outcome, habits: Habits) -> Option<TakeUp> {
        let before = outcome.take_up.as_ref();
        let has_ended = outcome.status == Some(200) && outcome.is_whole;
        let last_event =
            outcome.events().last().map(|event| event.0).or(before.map(|one| one.last_event))?;
        let tries = before.map_or(0, |one| one.tries) + 1;
        let tries_max = if habits.persists { PERSISTENT_TRIES_MAX } else { TRIES_MAX };
        let may_follow = outcome.kind == Kind::Resumable && !has_ended && tries <= tries_max;
        let has_rest = last_event + 1 < EVENT_COUNT;
        let origin = outcome.origin().to_owned();
        (may_follow && has_rest).then_some(TakeUp { origin, last_event, tries })
    }

    /// Header fields of the request.
    pub(super) fn fields(&self) -> String {
        format!("Resumes: {}\r\nLast-Event-Id: {}\r\n", self.origin, self.last_event)
    }
}

/// Number of events after which a caller leaves a stream; `None` if it does not.
pub(super) fn draw_departure(random: &mut ChaCha8Rng) -> Option<u32> {
    let leaves = random.gen_range(0..DEPARTURE_SHARE) == 0;
    let events = random.gen_range(DEPARTURE_EVENTS);
    leaves.then_some(events)
}

/// Time after which a stream is taken up.
pub(super) fn draw_pause(random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(random.gen_range(PAUSE_MS))
}
