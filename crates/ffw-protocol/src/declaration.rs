//! Declarations: the services, pools, models, priority classes, workspaces and routes of a
//! deployment, in one TOML file that operators keep in version control. Parsing reports every
//! problem of a declaration at once.
//!
//! The size is checked where a declaration is submitted, and nowhere else: a daemon that refuses
//! what the store has accepted would keep serving by an older version.

use {
    crate::route::{Limits, Route},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Largest declaration that an operator may submit, in bytes. It leaves room for the rest of the
/// object in which the platform stores it.
pub const SUBMITTED_BYTES_MAX: usize = 900_000;

/// A whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Models in use.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Pools of backend servers.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Priority classes.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// Services that callers ask for.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Workspaces and their keys.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// Whether requests of routes that are not public need the key of a workspace.
    #[serde(default, skip_serializing_if = "is_false")]
    pub requires_keys: bool,
    /// Routes of requests that don't name a service.
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    /// Limits for the requests and connections of callers of routes; `None` for the defaults.
    #[serde(default)]
    pub limits: Option<Limits>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: Arc<str>,
    /// Version that the engines must have loaded.
    pub version: Arc<str>,
    /// Mean number of bytes of text per token.
    #[serde(default = "bytes_per_token")]
    pub bytes_per_token: u32,
}

fn bytes_per_token() -> u32 {
    4
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name, as in the `pool` of the platform's instances.
    pub name: Arc<str>,
    /// Kind of its members.
    pub kind: PoolKind,
    /// Model that the engines serve; required for a pool of engines.
    #[serde(default)]
    pub model: Option<Arc<str>>,
    /// Requests that a decode engine runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Memory of a decode engine, in memory pieces.
    #[serde(default)]
    pub pieces: u32,
    /// Tokens whose KV cache one memory piece holds.
    #[serde(default = "piece_tokens")]
    pub piece_tokens: u32,
    /// Prompt tokens per second that a prefill engine processes.
    #[serde(default)]
    pub prefill_rate: u32,
    /// Prompt tokens per second whose KV cache a decode engine's link transfers.
    #[serde(default)]
    pub link_rate: u32,
    /// Initial estimate of the time between two tokens of one stream, in milliseconds; used until
    /// measured times are known.
    #[serde(default = "token_ms")]
    pub token_ms: u32,
    /// Time for which a prefill engine keeps the KV cache of a finished prefill, in milliseconds.
    #[serde(default = "result_ms")]
    pub result_ms: u32,
    /// Whether an engine allocates memory as tokens are generated, rather than memory for all
    /// requested tokens when the request starts.
    #[serde(default)]
    pub memory_grows: bool,
    /// Whether a decode engine can prefill a prompt itself, at half the rate of a prefill engine.
    #[serde(default)]
    pub decode_reads: bool,
    /// Output tokens in one event of a stream.
    #[serde(default = "event_tokens")]
    pub event_tokens: u32,
    /// Whether the members refuse an order with an outdated fencing number.
    #[serde(default)]
    pub fences: bool,
}

fn piece_tokens() -> u32 {
    1024
}

fn token_ms() -> u32 {
    50
}

fn event_tokens() -> u32 {
    1
}

fn result_ms() -> u32 {
    800
}

/// Kind of the members of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines, each of which either prefills or decodes.
    Engines,
    /// Plain services.
    Plain,
}

/// A priority class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: Arc<str>,
    /// Rank in the order of classes; 0 is served first.
    pub rank: u8,
    /// Least share of the served tokens that the class gets while it has requests waiting, 0 to 1.
    #[serde(default)]
    pub floor: f64,
}

/// Whether a call may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The call may be repeated.
    Idempotent,
    /// The call runs at most once.
    #[default]
    AtMostOnce,
}

/// A service that callers ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// Name of the priority class; `None` ranks below every declared class.
    #[serde(default)]
    pub class: Option<Arc<str>>,
    /// Whether calls of a plain service may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Path prefixes of a plain service whose calls may be repeated whatever `repeat` is.
    #[serde(default)]
    pub idempotent_paths: Vec<Arc<str>>,
    /// Target for the first token or the answer, in milliseconds.
    pub first_token_ms: u64,
    /// Target between two tokens, in milliseconds.
    #[serde(default = "between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Time after which an answer that has not started is of no use, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of output tokens of one answer.
    #[serde(default = "max_output")]
    pub max_output: u32,
    /// Share of the requests that must meet the targets, 0 to 1.
    #[serde(default = "objective")]
    pub objective: f64,
}

fn between_tokens_ms() -> u64 {
    63
}

fn max_output() -> u32 {
    1024
}

fn objective() -> f64 {
    0.95
}

impl Service {
    /// Whether a call to `path` may be repeated.
    pub fn repeat_for_path(&self, path: &str) -> Repeat {
        let listed = self.idempotent_paths.iter().any(|prefix| path.starts_with(&**prefix));
        if listed { Repeat::Idempotent } else { self.repeat }
    }

    /// The deadline, relative to the arrival of the request.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// SHA-256 of each of its bearer keys, in hexadecimal; written as one text if it has one key.
    #[serde(rename = "key_sha256", with = "one_or_many")]
    pub keys_sha256: Vec<Arc<str>>,
    /// Weight of its fair share.
    #[serde(default = "weight")]
    pub weight: u32,
    /// Names of the services that it may use; requests of routes need none.
    pub services: Vec<Arc<str>>,
    /// Maximum number of its requests that are open at one daemon.
    #[serde(default = "max_open")]
    pub max_open: u32,
    /// Rank of the priority of its requests of routes; `None` for the rank of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// What it may use over all daemons together; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// What a workspace may use over all daemons together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units per second; above 0.
    pub per_s: f64,
    /// Units that may be used at once after a pause, in addition.
    #[serde(default)]
    pub burst: f64,
    /// Tokens of a request that does not state its sizes; not used if requests are counted.
    #[serde(default)]
    pub default_tokens: u32,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the requested output.
    Tokens,
}

/// For `skip_serializing_if`: older builds do not know the field.
pub(crate) fn is_false(value: &bool) -> bool {
    !value
}

/// A list that is written as its element if it has one.
mod one_or_many {
    use {
        serde::{Deserialize, Deserializer, Serialize, Serializer},
        std::sync::Arc,
    };

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Written {
        One(Arc<str>),
        Many(Vec<Arc<str>>),
    }

    pub(super) fn serialize<S: Serializer>(
        list: &[Arc<str>],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match list {
            [single] => single.serialize(serializer),
            many => many.serialize(serializer),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Arc<str>>, D::Error> {
        Ok(match Written::deserialize(deserializer)? {
            Written::One(single) => vec![single],
            Written::Many(many) => many,
        })
    }
}

fn weight() -> u32 {
    1
}

fn max_open() -> u32 {
    1_000
}

/// One problem of a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The part of the declaration that is wrong, such as `service show-notes`.
    pub subject: Arc<str>,
    /// What is wrong and how to correct it.
    pub message: Arc<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.message)
    }
}

fn problem(thing: impl Into<Arc<str>>, message: impl Into<Arc<str>>) -> Problem {
    Problem { subject: thing.into(), message: message.into() }
}

/// The problem of a text that can't be parsed as a declaration. For the table `customer`, the
/// former name of `workspace`, the message states the current name.
fn parse_problem(err: &toml::de::Error) -> Problem {
    let message = err.to_string().trim().to_owned();
    if message.contains("unknown field `customer`") {
        return problem("customer", "is called `workspace` now; write [[workspace]]");
    }
    problem("declaration", message)
}

impl Deployment {
    /// Parses and checks a declaration that an operator submits.
    ///
    /// # Errors
    /// All problems of the declaration, or that it is larger than [`SUBMITTED_BYTES_MAX`].
    pub fn parse_submitted(text: &str) -> Result<Deployment, Vec<Problem>> {
        if text.len() > SUBMITTED_BYTES_MAX {
            let message =
                format!("{} bytes; at most {SUBMITTED_BYTES_MAX} are accepted", text.len());
            return Err(vec![problem("declaration", message)]);
        }
        Deployment::parse(text)
    }

    /// Parses and checks a declaration of any size, in TOML, or in JSON if it begins with a brace.
    ///
    /// # Errors
    /// All problems of the declaration, not only the first one.
    pub fn parse(text: &str) -> Result<Deployment, Vec<Problem>> {
        let parsed: Deployment = if text.starts_with('{') {
            serde_json::from_str(text)
                .map_err(|err| vec![problem("declaration", err.to_string())])?
        } else {
            toml::from_str(text).map_err(|err| vec![parse_problem(&err)])?
        };
        parsed.checked()
    }

    /// The deployment itself, if it has no problems.
    ///
    /// # Errors
    /// All problems of the deployment.
    pub fn checked(self) -> Result<Deployment, Vec<Problem>> {
        let problems = self.problems();
        if problems.is_empty() { Ok(self) } else { Err(problems) }
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| &*pool.name == name)
    }

    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Rank of a service's priority class; `u8::MAX`, the lowest, if it names none.
    pub fn rank(&self, service: &Service) -> u8 {
        let class_name = service.class.as_ref();
        class_name
            .and_then(|name| self.classes.iter().find(|class| class.name == *name))
            .map_or(u8::MAX, |class| class.rank)
    }

    fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_names(&mut problems);
        self.pools.iter().for_each(|pool| self.check_pool(pool, &mut problems));
        self.services.iter().for_each(|service| self.check_service(service, &mut problems));
        self.workspaces.iter().for_each(|workspace| self.check_workspace(workspace, &mut problems));
        self.routes.iter().for_each(|route| self.check_route(route, &mut problems));
        self.check_floors(&mut problems);
        problems
    }

    fn check_names(&self, problems: &mut Vec<Problem>) {
        if self.deployment.is_empty() {
            problems.push(problem("deployment", "the name is empty"));
        }
        check_unique("model", self.models.iter().map(|model| &model.name), problems);
        check_unique("pool", self.pools.iter().map(|pool| &pool.name), problems);
        check_unique("class", self.classes.iter().map(|class| &class.name), problems);
        check_unique("service", self.services.iter().map(|service| &service.name), problems);
        check_unique(
            "workspace",
            self.workspaces.iter().map(|workspace| &workspace.name),
            problems,
        );
        check_unique(
            "key of workspace",
            self.workspaces.iter().flat_map(|workspace| &workspace.keys_sha256),
            problems,
        );
    }

    fn check_pool(&self, pool: &Pool, problems: &mut Vec<Problem>) {
        let thing: Arc<str> = format!("pool {}", pool.name).into();
        if pool.kind == PoolKind::Plain {
            return;
        }
        match &pool.model {
            Some(name) if self.model(name).is_some() => {}
            Some(name) => problems.push(problem(
                thing.clone(),
                format!(
                    "names model `{name}`, which is not declared; add a [[model]] of that name"
                ),
            )),
            None => problems.push(problem(thing.clone(), "a pool of engines needs `model`")),
        }
        let needed = [
            ("slots", pool.slots),
            ("pieces", pool.pieces),
            ("piece_tokens", pool.piece_tokens),
            ("prefill_rate", pool.prefill_rate),
            ("link_rate", pool.link_rate),
            ("token_ms", pool.token_ms),
            ("result_ms", pool.result_ms),
        ];
        for (field, value) in needed {
            if value == 0 {
                problems.push(problem(thing.clone(), format!("`{field}` must be above 0")));
            }
        }
    }

    fn check_service(&self, service: &Service, problems: &mut Vec<Problem>) {
        let thing: Arc<str> = format!("service {}", service.name).into();
        if self.pool(&service.pool).is_none() {
            let message = format!(
                "names pool `{}`, which is not declared; add a [[pool]] of that name",
                service.pool
            );
            problems.push(problem(thing.clone(), message));
        }
        if let Some(class) = &service.class
            && !self.classes.iter().any(|declared| declared.name == *class)
        {
            let message = format!("names class `{class}`, which is not declared");
            problems.push(problem(thing.clone(), message));
        }
        if service.deadline_ms < service.first_token_ms {
            problems.push(problem(thing.clone(), "`deadline_ms` is below `first_token_ms`"));
        }
        if !(0.0..1.0).contains(&service.objective) {
            problems.push(problem(thing, "`objective` must be at least 0 and below 1"));
        }
    }

    fn check_workspace(&self, workspace: &Workspace, problems: &mut Vec<Problem>) {
        let thing: Arc<str> = format!("workspace {}", workspace.name).into();
        for service in &workspace.services {
            if self.service(service).is_none() {
                let message = format!("names service `{service}`, which is not declared");
                problems.push(problem(thing.clone(), message));
            }
        }
        if !workspace.keys_sha256.iter().all(|digest| is_sha256(digest)) {
            let message = "`key_sha256` must be 64 lower-case hexadecimal digits: the SHA-256 of the key, never the key";
            problems.push(problem(thing.clone(), message));
        }
        if let Some(quota) = &workspace.quota {
            if !(quota.per_s > 0.0 && quota.per_s.is_finite()) {
                problems.push(problem(thing.clone(), "`per_s` of the quota must be above 0"));
            }
            if !(quota.burst >= 0.0 && quota.burst.is_finite()) {
                problems.push(problem(thing.clone(), "`burst` of the quota must be 0 or more"));
            }
        }
        if workspace.weight == 0 {
            problems.push(problem(thing, "`weight` must be above 0"));
        }
    }

    fn check_route(&self, route: &Route, problems: &mut Vec<Problem>) {
        let thing: Arc<str> = format!("route {}", route.name).into();
        for share in &route.pools {
            if self.pool(&share.pool).is_none() {
                let message = format!("names pool `{}`, which is not declared", share.pool);
                problems.push(problem(thing.clone(), message));
            }
        }
        if route.pools.iter().all(|share| share.weight == 0) {
            problems.push(problem(thing.clone(), "needs a pool with a weight above 0"));
        }
        let is_prefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        if !is_prefix {
            problems.push(problem(thing, "`prefix` must begin and end with a slash"));
        }
    }

    fn check_floors(&self, problems: &mut Vec<Problem>) {
        let sum: f64 = self.classes.iter().map(|class| class.floor).sum();
        let each_in_range = self.classes.iter().all(|class| (0.0..=1.0).contains(&class.floor));
        if sum > 0.9 || !each_in_range {
            problems.push(problem("class", "each `floor` is 0 to 1, and together at most 0.9"));
        }
    }
}

fn is_sha256(digest: &str) -> bool {
    digest.len() == 64 && digest.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn check_unique<'a>(
    kind: &str,
    names: impl Iterator<Item = &'a Arc<str>>,
    problems: &mut Vec<Problem>,
) {
    let mut sorted: Vec<&Arc<str>> = names.collect();
    sorted.sort();
    for pair in sorted.windows(2) {
        if pair[0] == pair[1] {
            problems.push(problem(format!("{kind} {}", pair[0]), "is declared twice"));
        }
    }
}
