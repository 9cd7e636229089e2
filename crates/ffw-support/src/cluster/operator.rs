//! Calls of the operators' RPC. Each waits up to 10 s for the daemon to accept the connection, and
//! unless it returns a `Result`, panics if the daemon refuses the call.

use {
    super::daemon::{Daemon, OPERATOR_KEY},
    ffw_operator::{
        channel::{self, Channel},
        generated::{
            ApplyRequest, BurnReply, BurnRequest, ChangeReply, DrainRequest, ExplainReply,
            ExplainRequest, HistoryReply, HistoryRequest, StatusReply, StatusRequest,
            VerifyLedgerReply, VerifyLedgerRequest, operator_client::OperatorClient,
        },
    },
    ffw_runtime::timer,
    std::time::{Duration, Instant},
    tonic::{Request, Status},
};

async fn connect(daemon: &Daemon) -> OperatorClient<Channel> {
    let begin = Instant::now();
    loop {
        match channel::connect(daemon.operators).await {
            Ok(client) => return client,
            Err(err) if begin.elapsed() > Duration::from_secs(10) => panic!("{err}"),
            Err(_) => timer::sleep(Duration::from_millis(30)).await,
        }
    }
}

/// A request that carries an operator key.
pub fn request<T>(message: T, key: &str) -> Request<T> {
    let mut request = Request::new(message);
    let value = format!("Bearer {key}").parse().expect("a header");
    request.metadata_mut().insert("authorization", value);
    request
}

/// Applies a declaration with the key of the operator named `operator`.
pub async fn apply(daemon: &Daemon, declaration: &str, expected: u64, change: &str) -> ChangeReply {
    try_apply(daemon, declaration, expected, change, OPERATOR_KEY).await.expect("an answer")
}

/// Applies a declaration with the given operator key.
///
/// # Errors
/// The status with which the daemon refused the call.
pub async fn try_apply(
    daemon: &Daemon,
    declaration: &str,
    expected: u64,
    change: &str,
    key: &str,
) -> Result<ChangeReply, Status> {
    let message = ApplyRequest {
        declaration: declaration.to_owned(),
        reason: "a test".to_owned(),
        expected,
        change: change.to_owned(),
        wait_ms: 4_000,
    };
    let mut client = connect(daemon).await;
    client.apply(request(message, key)).await.map(tonic::Response::into_inner)
}

/// Marks a backend server as leaving.
pub async fn drain(daemon: &Daemon, server: &str, expected: u64) -> ChangeReply {
    let message = DrainRequest {
        server: server.to_owned(),
        undo: false,
        reason: "a test".to_owned(),
        expected,
        change: format!("drain-{server}"),
        wait_ms: 4_000,
    };
    let mut client = connect(daemon).await;
    client.drain(request(message, OPERATOR_KEY)).await.expect("an answer").into_inner()
}

/// State of each daemon.
pub async fn status(daemon: &Daemon) -> StatusReply {
    let mut client = connect(daemon).await;
    let call = client.status(request(StatusRequest {}, OPERATOR_KEY));
    call.await.expect("an answer").into_inner()
}

/// All configuration versions.
pub async fn history(daemon: &Daemon) -> HistoryReply {
    let mut client = connect(daemon).await;
    let call = client.history(request(HistoryRequest {}, OPERATOR_KEY));
    call.await.expect("an answer").into_inner()
}

/// Ledger records of a request, and up to `before` grants of the same owner that precede it.
///
/// # Errors
/// The status with which the daemon refused the call.
pub async fn explain(daemon: &Daemon, name: &str, before: u32) -> Result<ExplainReply, Status> {
    let mut client = connect(daemon).await;
    let message = ExplainRequest { request: name.to_owned(), before };
    client.explain(request(message, OPERATOR_KEY)).await.map(tonic::Response::into_inner)
}

/// The report on service-level burn.
pub async fn burn(daemon: &Daemon) -> BurnReply {
    let mut client = connect(daemon).await;
    let call = client.burn(request(BurnRequest {}, OPERATOR_KEY));
    call.await.expect("an answer").into_inner()
}

/// Checks the chains of the whole ledger.
pub async fn verify_ledger(daemon: &Daemon) -> VerifyLedgerReply {
    let mut client = connect(daemon).await;
    let call = client.verify_ledger(request(VerifyLedgerRequest {}, OPERATOR_KEY));
    call.await.expect("an answer").into_inner()
}
