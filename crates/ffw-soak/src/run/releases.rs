//! Releases of new software versions: servers of the streams' service are replaced one after the
//! other while the faults go on, so that two versions serve side by side most of the time. All its
//! servers end each second stream with its connection, and answer moves in different ways.

use {
    super::{Harness, Server, objects, steps},
    crate::{
        check::{self, Kill},
        worker::{MoveAnswer, Role, StreamFraming},
    },
    eyre::Result,
    std::time::{Duration, Instant},
};

/// Version of the first servers.
pub(super) const FIRST_VERSION: &str = "v1";

/// Indices of the servers of the streams' service, in the order in which a release replaces them:
/// decode and prefill servers in turn.
const ORDER: [usize; 5] = [6, 4, 7, 5, 8];

/// Time for which a leaving server goes on serving. All its streams have ended before.
const LEAVE_TIME: Duration = Duration::from_secs(4);

/// Answers to moves, of one server after the other.
const MOVE_ANSWERS: [MoveAnswer; 5] = [
    MoveAnswer::Copied,
    MoveAnswer::NotCopied,
    MoveAnswer::Lost,
    MoveAnswer::NotFound,
    MoveAnswer::Late,
];

/// Lets a server, the one of this number, end streams and answer moves in different ways.
pub(super) fn vary(server: &Server, number: usize) {
    server.worker.set_framing(StreamFraming::Alternating);
    server.worker.set_move_answer(MOVE_ANSWERS[number % MOVE_ANSWERS.len()]);
    server.proxy.reset_failed();
}

impl Harness {
    /// Records that the daemons that served are killed, with the versions that may go on with streams:
    /// those of two servers at least that don't leave.
    pub(super) fn record_kill(&mut self) {
        let at = Instant::now();
        let decode = self.servers.iter().filter(|server| server.worker.role == Role::Decode);
        let serving: Vec<String> = decode.filter_map(|server| server.worker.version()).collect();
        let count = |version: &String| serving.iter().filter(|other| *other == version).count();
        let versions = serving.iter().filter(|version| count(version) > 1).cloned().collect();
        self.kills.push(Kill { at, versions });
    }

    /// Replaces the next server of the release that is under way, or begins another one. The old
    /// server leaves at once, or a time after it has said so.
    pub(super) async fn upgrade(&mut self, turn: usize, is_announced: bool) -> Result<()> {
        let index = ORDER[turn % ORDER.len()];
        let version = format!("v{}", turn / ORDER.len() + 2);
        let old = self.servers[index].worker.clone();
        let is_checked = !self.is_disturbed();
        let removal = self.replace(index, Some(&version), is_announced, check::DRAIN_BOUND).await?;
        self.removals.extend(Some(removal).filter(|_| is_checked));
        let store = self.store.clone();
        steps::after(LEAVE_TIME, move || {
            store.remove(objects::SERVER_KIND, &old.name);
            old.exit();
        });
        Ok(())
    }
}
