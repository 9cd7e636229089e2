//! Routes: which requests of callers go to which pool, and whether and how often they may be
//! repeated.

use {
    crate::declaration::{Repeat, is_false},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host of the request, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be sent again.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether the answer is a stream of events produced by prefill and decode servers.
    #[serde(default)]
    pub is_stream: bool,
    /// Whether a broken stream may be resumed on another backend server.
    #[serde(default)]
    pub is_resumable: bool,
    /// Rank of the priority; 0 is served first.
    #[serde(default)]
    pub rank: u8,
    /// Longest time for which a request may be open, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    #[serde(default)]
    pub gap_ms: u64,
    /// Maximum number of backend servers to which one request may be sent.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether requests need no key, although the deployment requires keys.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_public: bool,
    /// Pools that serve the route.
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
    /// Weight relative to the other pools of the route.
    pub weight: u32,
}

impl Route {
    /// Longest time for which a request may be open.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time within which an answer is on time.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// The pool for a request, chosen by weight. `number` must be evenly distributed over requests.
    /// `None` if no pool has a weight above 0.
    pub fn pool(&self, number: u64) -> Option<&Arc<str>> {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        let mut offset = number % total.max(1);
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.pool);
            }
            offset -= weight;
        }
        None
    }
}

/// Limits for the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: u64,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Time within which the head of a request must arrive, in milliseconds.
    pub header_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Finds the route with the longest matching prefix for a host and path. `routes` must be sorted by
/// [`sort`].
pub fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let start = routes.partition_point(|route| *route.host < *host);
    let of_host = routes[start..].iter().take_while(|route| *route.host == *host);
    of_host.filter(|route| path.starts_with(&*route.prefix)).max_by_key(|route| route.prefix.len())
}

/// Sorts routes by host and prefix, as [`find`] requires.
pub fn sort(routes: &mut [Route]) {
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
}
