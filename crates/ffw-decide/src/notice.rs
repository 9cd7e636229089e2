//! Notices that backend servers give in their responses: that they are leaving, or that they want
//! no requests from this daemon for a time.
//!
//! The load patterns are servers that are replaced one after the other, which say so before the
//! instance list does, and overloaded servers that shed load. A notice counts for every kind of
//! request, and whatever the instance list says. A server that left and came back is another
//! instance, with a name of its own, to which earlier notices do not apply.

use {
    ffw_protocol::time::Moment,
    std::{sync::Arc, time::Duration},
};

/// Longest time for which a server's wish for no requests is followed without asking again.
const QUIET_MAX: Duration = Duration::from_secs(30);

/// Time for which a leaving server that is not listed any more is remembered: the list of a daemon
/// that was cut off may name it again.
const UNLISTED_MEMORY: Duration = Duration::from_secs(60);

/// A server that wants no requests until a time.
#[derive(Clone, Debug)]
struct Quiet {
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
    quiet: Vec<Quiet>,
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

    /// Records that a server wants no requests for `span`, of which at most 30 s are followed. An
    /// earlier wish for a longer time stays.
    pub fn record_quiet(&mut self, now: Moment, server: &Arc<str>, span: Duration) {
        let until = now + span.min(QUIET_MAX);
        match self.quiet.binary_search_by(|quiet| quiet.server.cmp(server)) {
            Ok(index) => self.quiet[index].until = self.quiet[index].until.max(until),
            Err(index) => self.quiet.insert(index, Quiet { server: server.clone(), until }),
        }
    }

    /// Time for which the server wants no further requests; `None` if it takes them.
    pub fn quiet_left(&self, now: Moment, server: &str) -> Option<Duration> {
        let index = self.quiet.binary_search_by(|quiet| (*quiet.server).cmp(server)).ok()?;
        let left = self.quiet[index].until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// The servers that want no requests now, in order.
    pub fn quiet(&self, now: Moment) -> Vec<Arc<str>> {
        let quiet = self.quiet.iter().filter(|quiet| quiet.until > now);
        quiet.map(|quiet| quiet.server.clone()).collect()
    }

    /// Drops what no longer matters: ended wishes for no requests, and servers that are not listed
    /// and gave their notice more than a minute ago.
    pub fn clean_up(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        self.quiet.retain(|quiet| quiet.until > now);
        self.leaving.retain(|leaving| {
            now.since(leaving.noticed_at) < UNLISTED_MEMORY || is_listed(&leaving.server)
        });
    }
}
