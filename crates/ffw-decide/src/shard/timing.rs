//! Predicts when a prefill server finishes the prompts that were granted to it.
//!
//! The load pattern is more prompts than the prefill servers can take at once. The time from a
//! grant to the report that the prompt is prefilled has two parts: the work of the server, and the
//! delay of the messages between owner, entry and server. While a server has another prompt to work
//! on, the messages of the next one overlap with that work. The two parts are therefore estimated
//! separately, and a prompt is sent by the delay before its server is predicted to be free. A
//! schedule that counts both as work leaves the server idle for the delay after each prompt.

use {ffw_protocol::time::Moment, std::time::Duration};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Bounds of the ratio of a server's actual to its nominal prefill time.
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 4.0;

/// Delay of the messages of one prompt that is assumed until a report shows the actual one.
const DELAY_INITIAL: Duration = Duration::from_millis(20);

/// Longest delay of messages that is planned for. A longer one would commit prompts to a server
/// long before it can start them.
const DELAY_MAX: Duration = Duration::from_millis(150);

/// Speed of a prefill server and delay of the messages to and from it.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Moving average of the ratio of actual to nominal prefill time.
    slowness: f64,
    /// Moving average of the delay of the messages of one prompt, there and back together.
    delay_s: f64,
    /// When the end of a prefill was last reported; 0 if never.
    reported_at: Moment,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { slowness: 1.0, delay_s: DELAY_INITIAL.as_secs_f64(), reported_at: Moment(0) }
    }
}

impl Timing {
    /// Time that the server works on a prompt with this nominal prefill time.
    pub fn work_time(&self, nominal: Duration) -> Duration {
        nominal.mul_f64(self.slowness)
    }

    /// Ratio of actual to nominal prefill time.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Time by which the message delay postpones the reported end of a prefill that need not wait
    /// for its server.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay_s)
    }

    /// When the end of a prefill was last reported; 0 if never.
    pub fn reported_at(&self) -> Moment {
        self.reported_at
    }

    /// Records that a prefill with this nominal time, whose call was sent at `sent_at`, was
    /// reported as finished at `now`.
    ///
    /// If the server was working on another prompt when the call arrived, the time since the end of
    /// that prompt is the work; both reports were delayed alike. Otherwise, what the whole time
    /// exceeds the predicted work by is the delay.
    pub fn record(&mut self, now: Moment, sent_at: Moment, nominal: Duration) {
        let previous = std::mem::replace(&mut self.reported_at, now);
        if nominal.is_zero() {
            return;
        }
        if previous > sent_at + self.delay() {
            self.record_work(now.since(previous), nominal);
        } else {
            self.record_delay(now.since(sent_at), nominal);
        }
    }

    fn record_work(&mut self, work: Duration, nominal: Duration) {
        let sample = work.as_secs_f64() / nominal.as_secs_f64();
        let sample = sample.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.slowness += (sample - self.slowness) * SAMPLE_WEIGHT;
    }

    fn record_delay(&mut self, whole: Duration, nominal: Duration) {
        let sample = whole.saturating_sub(self.work_time(nominal)).min(DELAY_MAX);
        self.delay_s += (sample.as_secs_f64() - self.delay_s) * SAMPLE_WEIGHT;
    }
}
