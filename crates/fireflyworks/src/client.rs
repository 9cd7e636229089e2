//! Client side that the operators' commands share: common arguments, the connection to a daemon,
//! the operator key, and printing of replies.

use {
    clap::{Arg, ArgMatches},
    eyre::{Result, WrapErr as _, eyre},
    ffw_operator::{
        channel::{self, Channel},
        generated::{ChangeReply, operator_client::OperatorClient},
    },
    std::{net::SocketAddr, process::ExitCode},
    tonic::{Request, Status},
};

/// Exit code of a change that was rejected because another change came first.
pub const CONFLICT: u8 = 3;

/// A connection to a daemon, with the operator key that each request carries.
#[derive(Debug)]
pub struct Client {
    /// The generated RPC client.
    pub rpc: OperatorClient<Channel>,
    key: String,
}

/// Arguments of each command that calls a daemon.
pub fn arguments() -> [Arg; 2] {
    [
        Arg::new("server")
            .long("server")
            .env("FIREFLYWORKS_SERVER")
            .default_value("127.0.0.1:8083")
            .help("Address for operators of any daemon, IP:port"),
        Arg::new("key")
            .long("key")
            .env("FIREFLYWORKS_OPERATOR_KEY")
            .hide_env_values(true)
            .required(true)
            .help("Operator key; prefer the environment variable, as arguments are visible to other users"),
    ]
}

/// The argument for the output format.
pub fn format_argument() -> Arg {
    Arg::new("format")
        .long("format")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Output format: text, or JSON for programs")
}

/// Arguments of each command that changes the configuration.
pub fn change_arguments() -> [Arg; 4] {
    [
        Arg::new("reason").long("reason").required(true).help("Why the change is made"),
        Arg::new("expected")
            .long("expected")
            .required(true)
            .value_parser(clap::value_parser!(u64))
            .help("Number of the version that the change is based on; 0 for the first"),
        Arg::new("change")
            .long("change")
            .help("Unique id of the change; use the same one to retry after a lost reply"),
        Arg::new("wait-ms")
            .long("wait-ms")
            .default_value("4000")
            .value_parser(clap::value_parser!(u64))
            .help(
                "Longest time to wait until each daemon has confirmed the change, in milliseconds",
            ),
    ]
}

/// Whether the output format is JSON.
pub fn is_json(matches: &ArgMatches) -> bool {
    text(matches, "format") == "json"
}

/// Value of a text argument; empty if it is not given.
pub fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Value of a number argument; 0 if it is not given.
pub fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

/// The given id of the change, or a new random one.
pub fn change_id(matches: &ArgMatches) -> String {
    let given = text(matches, "change");
    if given.is_empty() { format!("{:032x}", rand::random::<u128>()) } else { given }
}

/// Reads the declaration file of the argument `file`.
///
/// # Errors
/// The file can't be read or is not UTF-8.
pub fn read_file(matches: &ArgMatches) -> Result<String> {
    let path = text(matches, "file");
    std::fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))
}

impl Client {
    /// Connects to the daemon whose address the argument `server` has.
    ///
    /// # Errors
    /// The address is malformed, or no daemon accepts the connection.
    pub async fn connect(matches: &ArgMatches) -> Result<Client> {
        let server = text(matches, "server");
        let address: SocketAddr =
            server.parse().wrap_err_with(|| format!("--server `{server}` is not IP:port"))?;
        let rpc = channel::connect(address).await.wrap_err_with(|| {
            format!("can't connect to a daemon at {address}; check that it runs with this --listen-operators")
        })?;
        Ok(Client { rpc, key: text(matches, "key") })
    }

    /// A request that carries the operator key.
    ///
    /// # Errors
    /// The key has characters that are not allowed in a header.
    pub fn request<T>(&self, message: T) -> Result<Request<T>> {
        let mut request = Request::new(message);
        let value = format!("Bearer {}", self.key)
            .parse()
            .wrap_err("the operator key is not a valid header value")?;
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }
}

/// The error of a refused call: the daemon's error code and `run` value if the reply has them,
/// otherwise the gRPC code.
pub fn refusal_error(status: &Status) -> eyre::Report {
    let code = status.metadata().get("fireflyworks-code").and_then(|value| value.to_str().ok());
    let run = status.metadata().get("fireflyworks-run").and_then(|value| value.to_str().ok());
    match (code, run) {
        (Some(code), Some(run)) => eyre!("{code}: {} [{run}]", status.message()),
        _ => eyre!("{:?}: {}", status.code(), status.message()),
    }
}

/// Prints the outcome of a change and returns the exit code: [`CONFLICT`] if it was not accepted.
pub fn print_change(reply: &ChangeReply) -> ExitCode {
    let number = reply.version.as_ref().map_or(0, |version| version.number);
    if !reply.accepted {
        let (author, reason) = reply
            .version
            .as_ref()
            .map_or(("nobody", ""), |version| (&*version.author, &*version.reason));
        println!("conflict: version {number} is in force, by {author}: {reason}");
        println!("your change against it:\n{}", reply.difference);
        return ExitCode::from(CONFLICT);
    }
    println!("accepted: version {number}");
    println!("in force at: {}", reply.confirmed.join(" "));
    if !reply.unconfirmed.is_empty() {
        println!("not confirmed yet by: {}", reply.unconfirmed.join(" "));
    }
    ExitCode::SUCCESS
}
