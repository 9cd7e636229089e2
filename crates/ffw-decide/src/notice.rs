//! Notices that backend servers give in their responses: that they are leaving, or a pushback,
//! which is a time for which they want no requests from this daemon.
//!
//! The load patterns are servers that are replaced one after the other, which say so before the
//! instance list does, and overloaded servers that shed load. A notice counts for every kind of
//! request, and whatever the instance list says. A server that left and came back is another
//! instance, with a name of its own, to which earlier notices do not apply.

use {
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Longest time for which a pushback is followed; then the server gets a request again.
const PUSHBACK_MAX: Duration = Duration::from_secs(30);

/// Time for which a leaving server that is not listed any more is remembered: the list of a daemon
/// that was cut off may name it again.
const UNLISTED_MEMORY: Duration = Duration::from_secs(60);

/// A server that wants no requests from this daemon until a time.
#[derive(Clone, Debug)]
struct Pushback {
    server: Arc<str>,
    until: Moment,
}

/// A server that is leaving.
#[derive(Clone, Debug)]
struct Leaving {
    server: Arc<str>,
    noticed_at: Moment,
}

/// The notices that a daemon has received, each list in order of server.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    leaving: Vec<Leaving>,
    pushbacks: Vec<Pushback>,
}

impl Notices {
    /// Records that a server is leaving; returns whether that was not known.
    pub fn record_leaving(&mut self, now: Moment, server: &Arc<str>) -> bool {
        match self.leaving.binary_search_by(|leaving| leaving.server.cmp(server)) {
            Ok(_) => false,
            Err(index) => {
                let leaving = Leaving { server: server.clone(), noticed_at: now };
                self.leaving.insert(index, leaving);
                true
            }
        }
    }

    /// Whether the server has said that it is leaving.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.leaving.binary_search_by(|leaving| (*leaving.server).cmp(server)).is_ok()
    }

    /// The servers that have said that they are leaving, in order.
    pub fn leaving(&self) -> Vec<Arc<str>> {
        self.leaving.iter().map(|leaving| leaving.server.clone()).collect()
    }

    /// Records a pushback of `span`, of which at most 30 s are followed. An earlier one that ends
    /// later stays.
    pub fn record_pushback(&mut self, now: Moment, server: &Arc<str>, span: Duration) {
        let until = now + span.min(PUSHBACK_MAX);
        match self.pushbacks.binary_search_by(|pushback| pushback.server.cmp(server)) {
            Ok(index) => self.pushbacks[index].until = self.pushbacks[index].until.max(until),
            Err(index) => self.pushbacks.insert(index, Pushback { server: server.clone(), until }),
        }
    }

    /// Time that is left of the server's pushback; `None` if it takes requests.
    pub fn pushback_left(&self, now: Moment, server: &str) -> Option<Duration> {
        let index =
            self.pushbacks.binary_search_by(|pushback| (*pushback.server).cmp(server)).ok()?;
        let left = self.pushbacks[index].until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// The servers whose pushback has not ended, in order.
    pub fn pushing_back(&self, now: Moment) -> Vec<Arc<str>> {
        let pushing_back = self.pushbacks.iter().filter(|pushback| pushback.until > now);
        pushing_back.map(|pushback| pushback.server.clone()).collect()
    }

    /// Drops pushbacks that have ended, and leaving servers that are not listed and gave their
    /// notice more than a minute ago.
    pub fn clean_up(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        self.pushbacks.retain(|pushback| pushback.until > now);
        self.leaving.retain(|leaving| {
            now.since(leaving.noticed_at) < UNLISTED_MEMORY || is_listed(&leaving.server)
        });
    }
}
