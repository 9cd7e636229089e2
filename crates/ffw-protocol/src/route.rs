//! Routes: which requests of callers go to which pool, and what may be done with them.

use {
    crate::declaration::Repeat,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Start of the path; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether the answer is a stream of events that prefill and decode servers make.
    #[serde(default)]
    pub is_stream: bool,
    /// Whether a broken stream may go on at another backend server.
    #[serde(default)]
    pub is_resumable: bool,
    /// Rank; 0 goes first.
    #[serde(default)]
    pub rank: u8,
    /// Longest time that a request may be kept, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    #[serde(default)]
    pub gap_ms: u64,
    /// Most backend servers to which one request may be sent.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Pools that serve it.
    pub pools: Vec<Share>,
}

fn one() -> u32 {
    1
}

/// A pool's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Its weight beside the others.
    pub weight: u32,
}

impl Route {
    /// Longest time that a request may be kept.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time within which an answer is on time.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// The pool for a request, chosen by a number that is spread evenly.
    pub fn pool(&self, number: u64) -> Option<&Arc<str>> {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = number % total.max(1);
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.pool);
            }
            left -= weight;
        }
        None
    }
}

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Time for the head of a request, in milliseconds.
    pub header_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Finds the route of a host and path among routes in the order of [`sort`].
pub fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let start = routes.partition_point(|route| *route.host < *host);
    let of_host = routes[start..].iter().take_while(|route| *route.host == *host);
    of_host.filter(|route| path.starts_with(&*route.prefix)).max_by_key(|route| route.prefix.len())
}

/// Puts routes into the order that [`find`] needs.
pub fn sort(routes: &mut [Route]) {
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
}
