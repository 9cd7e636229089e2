//! Idle connections to backend servers, kept for further requests.

use {
    crate::connection::Connection,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Most idle connections that are kept to one server.
const MAX_IDLE: usize = 8;

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    server: Arc<str>,
    connection: Connection,
    since: Instant,
    /// Time for which the server keeps the connection.
    life: Duration,
}

impl Idle {
    fn has_expired(&self) -> bool {
        self.since.elapsed() >= self.life
    }
}

impl Pool {
    /// Takes the connection to a server that was used last, if it has been idle for less than
    /// `longest` and nothing was received on it.
    pub async fn take(&self, server: &str, longest: Duration) -> Option<Connection> {
        loop {
            let idle = self.pop(server)?;
            let is_fresh = idle.since.elapsed() < longest && !idle.has_expired();
            if is_fresh && idle.connection.is_reusable().await {
                return Some(idle.connection);
            }
        }
    }

    fn pop(&self, server: &str) -> Option<Idle> {
        let mut idle = self.lock();
        let at = idle.iter().rposition(|one| &*one.server == server)?;
        Some(idle.remove(at))
    }

    /// Keeps a connection on which a whole answer was read.
    pub fn put(&self, server: &Arc<str>, connection: Connection, life: Duration) {
        let mut idle = self.lock();
        idle.retain(|one| !one.has_expired());
        if idle.iter().filter(|one| one.server == *server).count() < MAX_IDLE {
            let (server, since) = (server.clone(), Instant::now());
            idle.push(Idle { server, connection, since, life });
        }
    }

    /// Closes the connections to servers that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().retain(|one| !one.has_expired() && is_listed(&one.server));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
