//! Accepts connections of peers and serves their calls.

use {
    crate::{
        handler::{Handlers, Service},
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

/// Time for the handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message, in bytes.
pub(crate) const MAX_FRAME: usize = 4 << 20;

/// Serves peers until the listener fails for good.
pub async fn serve(listener: TcpListener, secret: Secret, handlers: Handlers) {
    let service = Service::new(handlers);
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

async fn serve_peer(mut stream: TcpStream, secret: Secret, service: Service) {
    stream.set_nodelay(true).ok();
    let proving = handshake::prove(&mut stream, &secret, Side::Server);
    match timer::timeout(HANDSHAKE_TIMEOUT, proving).await {
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
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}
