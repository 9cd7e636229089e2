//! Idle connections to backend servers, kept open for further requests.
//!
//! A server closes idle connections after a time of its own. The pool therefore does not use a
//! connection longer than the lifetime given with it, and checks before reuse that the server has
//! not closed it.

use {
    crate::connection::Connection,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 8;

/// Maximum number of idle connections to all servers together. With their digests of sent ids they
/// take at most some 9 kB each, which is part of what the process needs for itself.
const MAX_IDLE: usize = 256;

/// Idle connections to all servers.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    server: Arc<str>,
    connection: Connection,
    idle_since: Instant,
    /// Time from `idle_since` for which the server is expected to keep the connection open.
    lifetime: Duration,
}

impl Idle {
    fn has_expired(&self) -> bool {
        self.idle_since.elapsed() >= self.lifetime
    }
}

impl Pool {
    /// Takes the most recently used connection to a server that has been idle for less than
    /// `max_idle`, was not closed, received no bytes, and can carry a request with this id.
    /// Connections found unusable are closed.
    pub async fn take(&self, server: &str, max_idle: Duration, id: &str) -> Option<Connection> {
        loop {
            let idle = self.pop(server, id)?;
            let is_fresh = idle.idle_since.elapsed() < max_idle && !idle.has_expired();
            if is_fresh && idle.connection.is_reusable().await {
                return Some(idle.connection);
            }
        }
    }

    fn pop(&self, server: &str, id: &str) -> Option<Idle> {
        let mut idle = self.lock();
        let fits = |entry: &Idle| &*entry.server == server && entry.connection.can_carry(id);
        let index = idle.iter().rposition(fits)?;
        Some(idle.remove(index))
    }

    /// Keeps a connection whose last response was read to its end. `lifetime` is the time for which
    /// the server is expected to keep it open. The connection is closed instead if the maximum
    /// number of idle connections to the server is reached; at the maximum of all servers, the one
    /// that has been idle for longest is closed.
    pub fn put(&self, server: &Arc<str>, mut connection: Connection, lifetime: Duration) {
        connection.release_buffer();
        let mut idle = self.lock();
        idle.retain(|entry| !entry.has_expired());
        if idle.iter().filter(|entry| entry.server == *server).count() < MAX_IDLE_PER_SERVER {
            if idle.len() >= MAX_IDLE {
                idle.remove(0);
            }
            let (server, idle_since) = (server.clone(), Instant::now());
            idle.push(Idle { server, connection, idle_since, lifetime });
        }
    }

    /// Closes expired connections, and those to servers that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().retain(|entry| !entry.has_expired() && is_listed(&entry.server));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
