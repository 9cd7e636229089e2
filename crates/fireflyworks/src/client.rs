//! What the operators' commands share: the connection, the key, and how answers are printed.

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

/// Exit code of a change that lost against another one.
pub const CONFLICT: u8 = 3;

/// A connection with an operator's key.
#[derive(Debug)]
pub struct Client {
    /// The generated client.
    pub rpc: OperatorClient<Channel>,
    key: String,
}

/// Arguments that every command with a server takes.
pub fn arguments() -> [Arg; 2] {
    [
        Arg::new("server")
            .long("server")
            .env("FIREFLYWORKS_SERVER")
            .default_value("127.0.0.1:8083")
            .help("Operators' address of any daemon, IP:port"),
        Arg::new("key")
            .long("key")
            .env("FIREFLYWORKS_OPERATOR_KEY")
            .hide_env_values(true)
            .required(true)
            .help("Operator key; better given in the environment"),
    ]
}

/// The argument that chooses the output's format.
pub fn format_argument() -> Arg {
    Arg::new("format")
        .long("format")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Output for people or for programs")
}

/// Arguments of every change.
pub fn change_arguments() -> [Arg; 4] {
    [
        Arg::new("reason").long("reason").required(true).help("Why the change is made"),
        Arg::new("expected")
            .long("expected")
            .required(true)
            .value_parser(clap::value_parser!(u64))
            .help("Number of the version that the change was made against; 0 for the first"),
        Arg::new("change")
            .long("change")
            .help("Unique id of the change; give the same one to try again after a lost answer"),
        Arg::new("wait-ms")
            .long("wait-ms")
            .default_value("4000")
            .value_parser(clap::value_parser!(u64))
            .help("How long to wait until every daemon has confirmed, in milliseconds"),
    ]
}

/// Whether the output is for programs.
pub fn is_json(matches: &ArgMatches) -> bool {
    text(matches, "format") == "json"
}

/// Value of a text argument; empty if there is none.
pub fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Value of a number argument; 0 if there is none.
pub fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

/// The change's id as given, or a new one.
pub fn change_id(matches: &ArgMatches) -> String {
    let given = text(matches, "change");
    if given.is_empty() { format!("{:032x}", rand::random::<u128>()) } else { given }
}

/// Reads a declaration file.
///
/// # Errors
/// The file can't be read.
pub fn read_file(matches: &ArgMatches) -> Result<String> {
    let path = text(matches, "file");
    std::fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))
}

impl Client {
    /// Connects to the daemon that the arguments name.
    ///
    /// # Errors
    /// The address is malformed, or nobody answers there.
    pub async fn connect(matches: &ArgMatches) -> Result<Client> {
        let server = text(matches, "server");
        let address: SocketAddr =
            server.parse().wrap_err_with(|| format!("--server `{server}` is not IP:port"))?;
        let rpc = channel::connect(address).await.wrap_err_with(|| {
            format!("no daemon answers operators at {address}; look at --listen-operators there")
        })?;
        Ok(Client { rpc, key: text(matches, "key") })
    }

    /// A request that carries the key.
    ///
    /// # Errors
    /// The key has characters that a header can't carry.
    pub fn request<T>(&self, message: T) -> Result<Request<T>> {
        let mut request = Request::new(message);
        let value = format!("Bearer {}", self.key).parse().wrap_err("the operator key")?;
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }
}

/// A refused call, in words.
pub fn refused(status: &Status) -> eyre::Report {
    let code = status.metadata().get("fireflyworks-code").and_then(|value| value.to_str().ok());
    let run = status.metadata().get("fireflyworks-run").and_then(|value| value.to_str().ok());
    match (code, run) {
        (Some(code), Some(run)) => eyre!("{code}: {} [{run}]", status.message()),
        _ => eyre!("{:?}: {}", status.code(), status.message()),
    }
}

/// Prints the outcome of a change.
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
