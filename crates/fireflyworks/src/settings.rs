//! Settings of the daemon `fireflyworks serve`. One table defines the flags, environment variables,
//! defaults and help texts, from which the command line and the settings table of
//! `docs/OPERATIONS.md` are generated. All problems are reported together.

use {
    clap::{Arg, ArgAction, ArgMatches},
    ffw_decide::baseline::Policy,
    ffw_http::server::Limits,
    ffw_operator::key::Key,
    log::LevelFilter,
    std::{fmt::Display, net::SocketAddr, str::FromStr, sync::Arc, time::Duration},
};

/// A setting of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Long flag, without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub env: &'static str,
    /// Default value; `None` if the setting is required, empty if the default is no value.
    pub default: Option<&'static str>,
    /// Meaning and unit, for the help text.
    pub help: &'static str,
    /// Whether the flag may be repeated; in the environment variable, values are separated by
    /// commas.
    pub is_list: bool,
}

const fn required(flag: &'static str, env: &'static str, help: &'static str) -> Setting {
    Setting { flag, env, default: None, help, is_list: false }
}

const fn optional(
    flag: &'static str,
    env: &'static str,
    default: &'static str,
    help: &'static str,
) -> Setting {
    Setting { flag, env, default: Some(default), help, is_list: false }
}

const fn list(flag: &'static str, env: &'static str, help: &'static str) -> Setting {
    Setting { flag, env, default: Some(""), help, is_list: true }
}

/// All settings of `fireflyworks serve`.
pub const TABLE: [Setting; 18] = [
    required("instance", "FIREFLYWORKS_INSTANCE", "Name of this instance in the platform's list"),
    required("data-centre", "FIREFLYWORKS_DATA_CENTRE", "Data centre of this instance"),
    required(
        "deployment",
        "FIREFLYWORKS_DEPLOYMENT",
        "Name of the deployment that this instance serves",
    ),
    required("platform", "FIREFLYWORKS_PLATFORM", "Address of the platform's object API, IP:port"),
    required(
        "peer-secret",
        "FIREFLYWORKS_PEER_SECRET",
        "Key that all daemons of the deployment share, at least 16 bytes; prefer the environment variable",
    ),
    list(
        "operator-key",
        "FIREFLYWORKS_OPERATOR_KEYS",
        "Operator and digest of its key, as name=<SHA-256 in hexadecimal>",
    ),
    optional("listen", "FIREFLYWORKS_LISTEN", "127.0.0.1:8080", "Address for callers, IP:port"),
    optional(
        "listen-health",
        "FIREFLYWORKS_LISTEN_HEALTH",
        "127.0.0.1:8081",
        "Address for /livez, /readyz and /metrics, IP:port",
    ),
    optional(
        "listen-peers",
        "FIREFLYWORKS_LISTEN_PEERS",
        "127.0.0.1:8082",
        "Address for other daemons, IP:port; as the platform lists it",
    ),
    optional(
        "listen-operators",
        "FIREFLYWORKS_LISTEN_OPERATORS",
        "127.0.0.1:8083",
        "Address for operators, IP:port",
    ),
    list(
        "seed-peer",
        "FIREFLYWORKS_SEED_PEERS",
        "Address of another daemon, IP:port, to join through while the platform is unavailable",
    ),
    optional(
        "drain-lag-ms",
        "FIREFLYWORKS_DRAIN_LAG_MS",
        "3000",
        "Time between reporting not ready and closing the listener at shutdown, in milliseconds; covers the lag of the load balancer",
    ),
    optional(
        "max-body-bytes",
        "FIREFLYWORKS_MAX_BODY_BYTES",
        "4194304",
        "Largest body of a caller's request, in bytes",
    ),
    optional(
        "max-connections",
        "FIREFLYWORKS_MAX_CONNECTIONS",
        "4096",
        "Largest number of open connections of callers",
    ),
    optional(
        "head-timeout-ms",
        "FIREFLYWORKS_HEAD_TIMEOUT_MS",
        "10000",
        "Time for the head of a request, in milliseconds; also closes idle connections",
    ),
    optional(
        "unread-timeout-ms",
        "FIREFLYWORKS_UNREAD_TIMEOUT_MS",
        "10000",
        "Time for which a caller may leave its answer unread, in milliseconds",
    ),
    optional("log-level", "FIREFLYWORKS_LOG_LEVEL", "info", "error, warn, info, debug or trace"),
    optional(
        "admission",
        "FIREFLYWORKS_ADMISSION",
        "owner",
        "How reservations are granted: owner; for measurement also round-robin, least-load, fixed-split",
    ),
];

/// The settings as command line arguments.
pub fn arguments() -> Vec<Arg> {
    TABLE.iter().map(argument).collect()
}

fn argument(setting: &Setting) -> Arg {
    let arg = Arg::new(setting.flag).long(setting.flag).env(setting.env).help(setting.help);
    let arg = arg.hide_env_values(true).allow_hyphen_values(true);
    match (setting.is_list, setting.default) {
        (true, _) => arg.action(ArgAction::Append).value_delimiter(','),
        (false, Some(default)) => arg.default_value(default),
        (false, None) => arg,
    }
}

/// The settings table of `docs/OPERATIONS.md`, as Markdown.
pub fn markdown() -> String {
    let mut text = String::from("| flag | environment | default | meaning |\n|---|---|---|---|\n");
    for setting in &TABLE {
        let default = match setting.default {
            None => "required".to_owned(),
            Some("") => "none".to_owned(),
            Some(value) => format!("`{value}`"),
        };
        let (flag, env, help) = (setting.flag, setting.env, setting.help);
        text += &format!("| `--{flag}` | `{env}` | {default} | {help} |\n");
    }
    text
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Data centre of this instance.
    pub data_centre: Arc<str>,
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Key that all daemons of the deployment share.
    pub peer_secret: Arc<str>,
    /// Names of the operators and digests of their keys.
    pub operator_keys: Arc<[Key]>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for health and metrics.
    pub listen_health: SocketAddr,
    /// Address for other daemons.
    pub listen_peers: SocketAddr,
    /// Address for operators.
    pub listen_operators: SocketAddr,
    /// Peer addresses of daemons to join through while the platform is unavailable.
    pub seed_peers: Vec<SocketAddr>,
    /// Time between reporting not ready and closing the callers' listener at shutdown.
    pub drain_lag: Duration,
    /// Timeouts and size limits of callers' connections.
    pub limits: Limits,
    /// Log level.
    pub log_level: LevelFilter,
    /// How reservations are granted.
    pub admission: Policy,
}

/// Minimum length of the peer secret, in bytes.
const SECRET_BYTES_MIN: usize = 16;

/// Reads the values of settings and collects the problems with them.
struct Reader<'a> {
    matches: &'a ArgMatches,
    problems: Vec<String>,
}

impl Reader<'_> {
    fn add_problem(&mut self, flag: &str, problem: impl Display) {
        self.problems.push(format!("--{flag}: {problem}"));
    }

    fn text(&mut self, flag: &str) -> Arc<str> {
        let value = self.matches.get_one::<String>(flag).cloned().unwrap_or_default();
        if value.trim().is_empty() {
            self.add_problem(flag, "is required");
        }
        value.into()
    }

    fn name(&mut self, flag: &str) -> Arc<str> {
        let value = self.text(flag);
        let is_name = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        if !value.bytes().all(is_name) {
            self.add_problem(flag, format!("`{value}` may contain only letters, digits and `-`"));
        }
        value
    }

    fn value<T: FromStr>(&mut self, flag: &str, fallback: T) -> T
    where
        T::Err: Display,
    {
        let text = self.text(flag);
        if text.trim().is_empty() {
            return fallback;
        }
        text.parse().unwrap_or_else(|err| {
            self.add_problem(flag, format!("`{text}`: {err}"));
            fallback
        })
    }

    fn values<T: FromStr>(&mut self, flag: &str) -> Vec<T>
    where
        T::Err: Display,
    {
        let texts = self.matches.get_many::<String>(flag).into_iter().flatten();
        let texts: Vec<String> = texts.filter(|text| !text.is_empty()).cloned().collect();
        let mut values = Vec::new();
        for text in texts {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(err) => self.add_problem(flag, format!("`{text}`: {err}")),
            }
        }
        values
    }

    fn positive(&mut self, flag: &str) -> u64 {
        let value = self.value(flag, 1);
        if value == 0 {
            self.add_problem(flag, "must be above 0");
        }
        value
    }
}

impl Settings {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// All problems found, one line each.
    pub fn read(matches: &ArgMatches) -> Result<Settings, Vec<String>> {
        let mut reader = Reader { matches, problems: Vec::new() };
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            instance: reader.name("instance"),
            data_centre: reader.name("data-centre"),
            deployment: reader.name("deployment"),
            platform: reader.value("platform", placeholder),
            peer_secret: reader.text("peer-secret"),
            operator_keys: reader.values("operator-key").into(),
            listen: reader.value("listen", placeholder),
            listen_health: reader.value("listen-health", placeholder),
            listen_peers: reader.value("listen-peers", placeholder),
            listen_operators: reader.value("listen-operators", placeholder),
            seed_peers: reader.values("seed-peer"),
            drain_lag: Duration::from_millis(reader.value("drain-lag-ms", 0)),
            limits: limits(&mut reader),
            log_level: reader.value("log-level", LevelFilter::Info),
            admission: reader.value("admission", Policy::Owner),
        };
        if !settings.peer_secret.is_empty() && settings.peer_secret.len() < SECRET_BYTES_MIN {
            reader
                .add_problem("peer-secret", format!("must have at least {SECRET_BYTES_MIN} bytes"));
        }
        if reader.problems.is_empty() { Ok(settings) } else { Err(reader.problems) }
    }
}

fn limits(reader: &mut Reader<'_>) -> Limits {
    Limits {
        head_timeout: Duration::from_millis(reader.positive("head-timeout-ms")),
        write_timeout: Duration::from_millis(reader.positive("unread-timeout-ms")),
        body_bytes_max: reader.positive("max-body-bytes"),
        connections_max: reader.positive("max-connections") as usize,
        ..Limits::default()
    }
}
