//! Accepts connections from peers and serves their calls after the handshake.

use {
    crate::{
        handler::{Handlers, PeerService},
        handshake::{self, Secret, Side},
        service::Peer as _,
    },
    async_compat::Compat,
    ffw_runtime::{
        executor,
        meter::{Metered, Wire},
        timer,
    },
    futures_lite::StreamExt as _,
    log::warn,
    smol::net::{TcpListener, TcpStream},
    std::time::Duration,
    tarpc::{
        server::{BaseChannel, Channel as _},
        tokio_serde::formats::Bincode,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
};

/// Time within which the handshake of a connection must finish.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message between daemons.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;

/// Serves peers; never returns. A failed accept is logged and retried after 50 ms.
pub async fn serve(listener: TcpListener, secret: Secret, handlers: Handlers) {
    let service = PeerService::new(handlers);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                executor::detach(serve_peer(stream, secret.clone(), service.clone()));
            }
            Err(err) => {
                warn!("event=peer_accept_failed error={err}");
                timer::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_peer(mut stream: TcpStream, secret: Secret, service: PeerService) {
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
        let mut calls = Box::pin(channel.execute(service.serve()));
        while let Some(call) = calls.next().await {
            executor::detach(Compat::new(call));
        }
    };
    Compat::new(serving).await;
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
