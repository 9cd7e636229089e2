//! Accepts connections from peers and serves their calls after the handshake.

use {
    crate::{
        handler::{Handlers, PeerService},
        handshake::{self, Secret, Side},
        service::Peer as _,
    },
    async_compat::Compat,
    ffw_runtime::{
        listener::{self, Tracker},
        meter::{Metered, Wire},
        timer,
    },
    futures_lite::{Stream, StreamExt as _, future},
    log::warn,
    smol::net::{TcpListener, TcpStream},
    std::{
        pin::{Pin, pin},
        time::Duration,
    },
    tarpc::{
        server::{BaseChannel, Channel as _},
        tokio_serde::formats::Bincode,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
};

/// Time within which the handshake of a connection must finish.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which the last answers of a connection are written after their calls have ended.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Largest message between daemons.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;

/// Serves peers until the tracker is closed. Calls that are being handled then are answered; later
/// ones are not handled, and the connections close.
pub async fn serve(listener: TcpListener, secret: Secret, handlers: Handlers, tracker: Tracker) {
    let service = PeerService::new(handlers);
    listener::accept(listener, "peers", &tracker, |stream, token| {
        let served = serve_peer(stream, secret.clone(), service.clone(), tracker.clone());
        listener::detach_with(token, served);
    })
    .await;
}

async fn serve_peer(mut stream: TcpStream, secret: Secret, service: PeerService, tracker: Tracker) {
    stream.set_nodelay(true).ok();
    let authentication = handshake::authenticate(&mut stream, &secret, Side::Server);
    match timer::timeout(HANDSHAKE_TIMEOUT, authentication).await {
        Some(Ok(())) => {}
        Some(Err(err)) => return warn!("event=peer_denied error=\"{err}\""),
        None => return warn!("event=peer_denied error=\"handshake timed out\""),
    }
    let framed = Framed::new(Compat::new(Metered::new(stream, Wire::Peer)), codec());
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let serving = async move {
        let calls = pin!(channel.execute(service.serve()));
        serve_calls(calls, &tracker).await;
    };
    Compat::new(serving).await;
}

/// Handles the calls of a connection until it ends. Once the tracker is closed, waits for the calls
/// that are being handled, and for their answers to be written.
async fn serve_calls<F>(mut calls: Pin<&mut impl Stream<Item = F>>, tracker: &Tracker)
where
    F: Future<Output = ()> + Send + 'static,
{
    let running = Tracker::default();
    let handling = async {
        while let Some(call) = calls.next().await {
            if let Some(token) = running.token() {
                listener::detach_with(token, Compat::new(call));
            }
        }
    };
    future::or(handling, tracker.closed()).await;
    running.close();
    // Reading the stream of calls is what writes the answers.
    let writing = async { while calls.next().await.is_some() {} };
    let answered = async {
        running.drained().await;
        timer::sleep(FLUSH_TIME).await;
    };
    future::or(writing, answered).await;
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
