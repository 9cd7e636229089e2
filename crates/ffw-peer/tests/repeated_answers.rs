//! A peer that answers a call again, late or never on the connection that all calls to it share.
//!
//! Guards against the answer to an earlier call that is taken for that to a later one, and against
//! a connection whose answers are lost and that stays in use. The shape of a call is that of [`PeerClient::offer_config`], whose answer is a number.

use {
    bincode::Options as _,
    ffw_peer::{
        handshake::{self, Secret, Side},
        link::PeerConnections,
        service::{PeerClient, PeerRequest, PeerResponse},
    },
    ffw_protocol::{config::Version, error::Result},
    ffw_runtime::{executor, timer},
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    rstest::rstest,
    smol::net::{TcpListener, TcpStream},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tarpc::{ClientMessage, Response},
};

/// Time for a call in which a peer that is not late answers.
const LIMIT: Duration = Duration::from_secs(5);

/// Time for a call that is given up, and time after which a late peer answers it.
const SHORT_LIMIT: Duration = Duration::from_millis(50);
const LATE_AFTER: Duration = Duration::from_millis(150);

/// Which answers a peer sends again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    /// Each answer a second time, at once.
    Twice,
    /// Before each answer all earlier ones.
    Earlier,
    /// Each answer once; on the first connection only the first answer.
    LostOnFirst,
}

fn secret() -> Secret {
    Secret::new("a-shared-key-for-tests")
}

/// A peer whose answer to an offered version is its number.
async fn start(again: Again, late_first: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        let mut is_first = true;
        while let Ok((mut stream, _)) = listener.accept().await {
            let loses = is_first && again == Again::LostOnFirst;
            is_first = false;
            executor::detach(async move {
                let side = Side::Server;
                handshake::authenticate(&mut stream, &secret(), side).await.expect("a peer");
                answer_calls(stream, again, late_first, loses).await;
            });
        }
    });
    address
}

async fn answer_calls(mut stream: TcpStream, again: Again, late_first: bool, loses: bool) {
    let mut sent: Vec<Vec<u8>> = Vec::new();
    while let Some((id, number)) = read_call(&mut stream).await {
        if late_first && sent.is_empty() {
            timer::sleep(LATE_AFTER).await;
        }
        let message = Ok(PeerResponse::OfferConfig(number));
        let answer = Response { request_id: id, message };
        let answer = bincode::DefaultOptions::new().serialize(&answer).expect("an answer");
        match again {
            Again::LostOnFirst if loses && !sent.is_empty() => continue,
            Again::LostOnFirst => sent = vec![answer],
            Again::Twice => sent = vec![answer.clone(), answer],
            Again::Earlier => sent.push(answer),
        }
        for frame in &sent {
            write_frame(&mut stream, frame).await;
        }
    }
}

/// Id of the next call, and the number of the version that it offers; messages that are no calls
/// are skipped.
async fn read_call(stream: &mut TcpStream) -> Option<(u64, u64)> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).await.ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).await.ok()?;
        let message: ClientMessage<PeerRequest> =
            bincode::DefaultOptions::new().deserialize(&frame).expect("a message");
        if let ClientMessage::Request(call) = message
            && let PeerRequest::OfferConfig { version } = call.message
        {
            return Some((call.id, version.number));
        }
    }
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) {
    let length = u32::try_from(frame.len()).expect("a short frame");
    stream.write_all(&length.to_be_bytes()).await.ok();
    stream.write_all(frame).await.ok();
}

async fn offer(
    peers: &PeerConnections,
    address: SocketAddr,
    number: u64,
    limit: Duration,
) -> Result<u64> {
    let version = Version {
        number,
        change: "c".into(),
        author: "a".into(),
        reason: "".into(),
        at_ms: 0,
        previous: "".into(),
        declaration: "".into(),
        drained: Vec::new(),
    };
    let offering =
        |client: PeerClient, context| async move { client.offer_config(context, version).await };
    peers.call(address, limit, offering).await
}

#[rstest]
fn each_call_gets_its_own_answer(#[values(Again::Twice, Again::Earlier)] again: Again) {
    smol::block_on(async {
        let address = start(again, false).await;
        let peers = PeerConnections::new(secret());
        for number in 0..20 {
            let answered = offer(&peers, address, number, LIMIT).await;
            assert_eq!(answered.expect("answered"), number);
        }
    });
}

#[rstest]
fn calls_at_once_get_their_own_answers(#[values(Again::Twice, Again::Earlier)] again: Again) {
    smol::block_on(async {
        let address = start(again, false).await;
        let peers = PeerConnections::new(secret());
        let calls: Vec<_> = (0..20)
            .map(|number| {
                let peers = peers.clone();
                executor::spawn(async move { offer(&peers, address, number, LIMIT).await })
            })
            .collect();
        for (number, call) in (0..).zip(calls) {
            assert_eq!(call.await.expect("answered"), number);
        }
    });
}

/// The first call is given up; its answer comes when the second one is under way or over.
#[rstest]
fn a_late_answer_is_not_that_to_the_next_call(
    #[values(Again::Twice, Again::Earlier)] again: Again,
) {
    smol::block_on(async {
        let address = start(again, true).await;
        let peers = PeerConnections::new(secret());
        let given_up = offer(&peers, address, 1, SHORT_LIMIT).await;
        assert!(given_up.is_err(), "{given_up:?}");
        for number in 2..10 {
            let answered = offer(&peers, address, number, LIMIT).await;
            assert_eq!(answered.expect("answered"), number);
        }
    });
}

/// The answers on an open connection are lost from some time on, while it stays open and a new one
/// is sound. Calls that are made all the while must reach the peer again soon.
#[test]
fn a_connection_whose_answers_are_lost_is_replaced() {
    smol::block_on(async {
        let address = start(Again::LostOnFirst, false).await;
        let peers = PeerConnections::new(secret());
        assert_eq!(offer(&peers, address, 1, LIMIT).await.ok(), Some(1));
        let lost_at = Instant::now();
        while offer(&peers, address, 2, LATE_AFTER).await.is_err() {
            assert!(lost_at.elapsed() < Duration::from_secs(2), "the connection stays in use");
        }
    });
}
