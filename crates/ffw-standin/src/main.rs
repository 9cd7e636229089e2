//! Command line of the stand-ins.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    eyre::{Result, WrapErr as _, eyre},
    ffw_http::client::{self, Call},
    ffw_protocol::instance::{Instance, Role, State},
    ffw_runtime::listener::{self, Tracker},
    ffw_standin::{
        caller::{Completion, Plain},
        engine::{self, Engine},
        plain, platform,
    },
    http_types::Method,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match smol::block_on(run(&matches)) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("ffw-standin")
        .about("Stand-ins for the platform, engines and plain services; for development only")
        .subcommand_required(true)
        .subcommand(Command::new("platform").arg(address("listen")))
        .subcommand(Command::new("plain").arg(address("listen")))
        .subcommand(engine_command())
        .subcommand(
            Command::new("instance")
                .about("Put an instance on the platform's list")
                .arg(address("platform"))
                .args(["name", "role", "data-centre"].map(|name| text(name).required(true)))
                .arg(address("address"))
                .arg(text("pool").default_value("")),
        )
        .subcommand(
            Command::new("complete")
                .about("Send a completion and print the answer")
                .arg(address("daemon"))
                .args(["key", "service", "model", "prompt"].map(|name| text(name).required(true)))
                .arg(number("max-tokens", "32"))
                .arg(Arg::new("stream").long("stream").action(ArgAction::SetTrue)),
        )
        .subcommand(
            Command::new("call")
                .about("Send a call of a plain service and print the answer")
                .arg(address("daemon"))
                .args(["key", "path", "body"].map(|name| text(name).required(true)))
                .arg(text("idempotency-key")),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait until a URL answers with 200")
                .arg(address("address"))
                .arg(text("path").required(true)),
        )
}

fn engine_command() -> Command {
    Command::new("engine")
        .arg(address("listen"))
        .arg(text("role").required(true).value_parser(["prefill", "decode"]))
        .arg(number("slots", "20"))
        .arg(number("pieces", "160"))
        .arg(number("prefill-rate", "20000"))
        .arg(number("link-rate", "200000"))
        .arg(number("token-ms", "25"))
        .arg(number("result-ms", "800"))
        .arg(Arg::new("fences").long("fences").action(ArgAction::SetTrue))
}

fn text(name: &'static str) -> Arg {
    Arg::new(name).long(name)
}

fn address(name: &'static str) -> Arg {
    text(name).required(true).value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    text(name).default_value(default).value_parser(value_parser!(u32))
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Result<T> {
    matches.get_one::<T>(name).cloned().ok_or_else(|| eyre!("--{name} is missing"))
}

async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((name, matches)) = matches.subcommand() else { return Ok(ExitCode::from(2)) };
    match name {
        "platform" => {
            let listener = listener::bind(required(matches, "listen")?).await?;
            platform::Platform::default().serve(listener, Tracker::default()).await;
        }
        "plain" => {
            let listener = listener::bind(required(matches, "listen")?).await?;
            plain::Plain::default().serve(listener, Tracker::default()).await;
        }
        "engine" => run_engine(matches).await?,
        "instance" => put_instance(matches).await?,
        "complete" => return complete(matches).await,
        "call" => return call(matches).await,
        _ => return wait(matches).await,
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_engine(matches: &ArgMatches) -> Result<()> {
    let listen: SocketAddr = required(matches, "listen")?;
    let role: String = required(matches, "role")?;
    let millis = |name| required::<u32>(matches, name).map(|ms| Duration::from_millis(ms.into()));
    let settings = engine::Settings {
        role: if role == "prefill" { Role::Prefill } else { Role::Decode },
        slots: required(matches, "slots")?,
        pieces: required(matches, "pieces")?,
        prefill_rate: required(matches, "prefill-rate")?,
        link_rate: required(matches, "link-rate")?,
        token_time: millis("token-ms")?,
        result_life: millis("result-ms")?,
        fences: matches.get_flag("fences"),
        ..engine::Settings::default()
    };
    let listener = listener::bind(listen).await?;
    Engine::new(settings, listen).serve(listener, Tracker::default()).await;
    Ok(())
}

async fn put_instance(matches: &ArgMatches) -> Result<()> {
    let role: String = required(matches, "role")?;
    let instance = Instance {
        name: required::<String>(matches, "name")?.into(),
        role: serde_json::from_value(role.into()).wrap_err("--role")?,
        data_centre: required::<String>(matches, "data-centre")?.into(),
        address: required(matches, "address")?,
        pool: required::<String>(matches, "pool")?.into(),
        state: State::Live,
        capacity: 0,
    };
    let platform = required(matches, "platform")?;
    let call = Call::new(platform, Method::Post, "/control/instances").json(&instance);
    client::fetch::<serde_json::Value>(&call).await?;
    Ok(())
}

async fn complete(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name| required::<String>(matches, name);
    let completion = Completion {
        address: required(matches, "daemon")?,
        key: text("key")?.into(),
        service: text("service")?.into(),
        model: text("model")?.into(),
        prompt: text("prompt")?.into(),
        max_tokens: required(matches, "max-tokens")?,
        stream: matches.get_flag("stream"),
        leave_after: None,
    };
    let answer = completion.send().await;
    println!("request: {}", answer.request);
    println!("status: {}", answer.status);
    println!("first token: {} ms", answer.first.unwrap_or_default().as_millis());
    println!("total: {} ms", answer.total.as_millis());
    println!("tokens: {}", answer.tokens);
    println!("text:{}", answer.text);
    Ok(exit_code(answer.status == 200 && answer.is_whole))
}

async fn call(matches: &ArgMatches) -> Result<ExitCode> {
    let call = Plain {
        address: required(matches, "daemon")?,
        key: required::<String>(matches, "key")?.into(),
        path: required::<String>(matches, "path")?.into(),
        idempotency_key: matches.get_one::<String>("idempotency-key").map(|key| (&**key).into()),
        body: required::<String>(matches, "body")?.into(),
    };
    let answer = call.send().await;
    println!("request: {}", answer.request);
    println!("status: {}", answer.status);
    println!("run: {}", answer.run);
    println!("answer: {}", answer.text);
    Ok(exit_code(answer.status == 200 && answer.is_whole))
}

async fn wait(matches: &ArgMatches) -> Result<ExitCode> {
    let address = required(matches, "address")?;
    let path = required::<String>(matches, "path")?;
    for _ in 0..200 {
        let result = client::send(&Call::new(address, Method::Get, path.as_str())).await;
        if result.is_ok_and(|response| u16::from(response.status()) == 200) {
            return Ok(ExitCode::SUCCESS);
        }
        ffw_runtime::timer::sleep(Duration::from_millis(50)).await;
    }
    Err(eyre!("http://{address}{path} did not answer with 200 in time"))
}

fn exit_code(is_success: bool) -> ExitCode {
    if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
