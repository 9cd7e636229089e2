//! Settings of the daemon: one table from which the command line, its checks and the page for
//! operators are made.

use {
    clap::{Arg, ArgAction, ArgMatches},
    ffw_decide::baseline::Policy,
    ffw_http::server::Limits,
    ffw_operator::key::Key,
    log::LevelFilter,
    std::{fmt::Display, net::SocketAddr, str::FromStr, sync::Arc, time::Duration},
};

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Long flag, without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub env: &'static str,
    /// Value if none is given; none if one must be.
    pub default: Option<&'static str>,
    /// What it is for, with its unit.
    pub help: &'static str,
    /// Whether it may be given several times; commas part the values in the environment.
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
    required("deployment", "FIREFLYWORKS_DEPLOYMENT", "Name of the deployment that it serves"),
    required("platform", "FIREFLYWORKS_PLATFORM", "Address of the platform's object API, IP:port"),
    required(
        "peer-secret",
        "FIREFLYWORKS_PEER_SECRET",
        "Key that all daemons of the deployment share, at least 16 bytes; better given in the environment",
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
        "Address of another daemon, IP:port, to start from while the platform is out",
    ),
    optional(
        "drain-lag-ms",
        "FIREFLYWORKS_DRAIN_LAG_MS",
        "3000",
        "Time between not ready and closed listener at shutdown, in milliseconds: the balancer's lag",
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
        "Callers' connections at once",
    ),
    optional(
        "head-timeout-ms",
        "FIREFLYWORKS_HEAD_TIMEOUT_MS",
        "10000",
        "Time for the head of a request, in milliseconds; also ends idle connections",
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
        "How places are given: owner; for measurement also round-robin, least-load, fixed-split",
    ),
];

/// The settings as arguments of a command.
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

/// The table as it stands in the page for operators.
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

/// Settings that have passed all checks.
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
    /// Key that all daemons share.
    pub peer_secret: Arc<str>,
    /// Operators' keys.
    pub operator_keys: Arc<[Key]>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for health and metrics.
    pub listen_health: SocketAddr,
    /// Address for other daemons.
    pub listen_peers: SocketAddr,
    /// Address for operators.
    pub listen_operators: SocketAddr,
    /// Daemons to start from while the platform is out.
    pub seed_peers: Vec<SocketAddr>,
    /// Time between not ready and closed listener at shutdown.
    pub drain_lag: Duration,
    /// Bounds of callers.
    pub limits: Limits,
    /// Level of the logs.
    pub log_level: LevelFilter,
    /// How places are given.
    pub admission: Policy,
}

/// Shortest shared key, in bytes.
const SECRET_MIN: usize = 16;

/// Reads values and collects what is wrong with them.
struct Reader<'a> {
    matches: &'a ArgMatches,
    problems: Vec<String>,
}

impl Reader<'_> {
    fn fail(&mut self, flag: &str, what: impl Display) {
        self.problems.push(format!("--{flag}: {what}"));
    }

    fn text(&mut self, flag: &str) -> Arc<str> {
        let value = self.matches.get_one::<String>(flag).cloned().unwrap_or_default();
        if value.trim().is_empty() {
            self.fail(flag, "is required");
        }
        value.into()
    }

    fn name(&mut self, flag: &str) -> Arc<str> {
        let value = self.text(flag);
        let is_name = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        if !value.bytes().all(is_name) {
            self.fail(flag, format!("`{value}` may have letters, digits and `-` only"));
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
            self.fail(flag, format!("`{text}`: {err}"));
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
                Err(err) => self.fail(flag, format!("`{text}`: {err}")),
            }
        }
        values
    }

    fn positive(&mut self, flag: &str) -> u64 {
        let value = self.value(flag, 1);
        if value == 0 {
            self.fail(flag, "must be above 0");
        }
        value
    }
}

impl Settings {
    /// Reads and checks all settings together.
    ///
    /// # Errors
    /// Everything that is wrong, a line each.
    pub fn read(matches: &ArgMatches) -> Result<Settings, Vec<String>> {
        let mut reader = Reader { matches, problems: Vec::new() };
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            instance: reader.name("instance"),
            data_centre: reader.name("data-centre"),
            deployment: reader.name("deployment"),
            platform: reader.value("platform", nowhere),
            peer_secret: reader.text("peer-secret"),
            operator_keys: reader.values("operator-key").into(),
            listen: reader.value("listen", nowhere),
            listen_health: reader.value("listen-health", nowhere),
            listen_peers: reader.value("listen-peers", nowhere),
            listen_operators: reader.value("listen-operators", nowhere),
            seed_peers: reader.values("seed-peer"),
            drain_lag: Duration::from_millis(reader.value("drain-lag-ms", 0)),
            limits: limits(&mut reader),
            log_level: reader.value("log-level", LevelFilter::Info),
            admission: reader.value("admission", Policy::Owner),
        };
        if !settings.peer_secret.is_empty() && settings.peer_secret.len() < SECRET_MIN {
            reader.fail("peer-secret", format!("must have at least {SECRET_MIN} bytes"));
        }
        if reader.problems.is_empty() { Ok(settings) } else { Err(reader.problems) }
    }
}

fn limits(reader: &mut Reader<'_>) -> Limits {
    Limits {
        head: Duration::from_millis(reader.positive("head-timeout-ms")),
        unread: Duration::from_millis(reader.positive("unread-timeout-ms")),
        body_bytes: reader.positive("max-body-bytes"),
        connections: reader.positive("max-connections") as usize,
        ..Limits::default()
    }
}
