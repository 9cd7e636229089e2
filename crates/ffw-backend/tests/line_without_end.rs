//! A token stream whose line never ends. Guards against a daemon that reads it into its memory for
//! as long as the engine sends.

use {
    ffw_backend::engine::{self, Completion},
    ffw_http::fault::Fault,
    ffw_runtime::{executor, timer},
    smol::{
        io::AsyncWriteExt as _,
        net::{TcpListener, TcpStream},
    },
    std::{net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn send_without_end(mut stream: TcpStream) {
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
        Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n";
    let chunk = [&b"1000\r\n"[..], &[b'x'; 0x1000], b"\r\n"].concat();
    let mut sent = stream.write_all(head).await;
    while sent.is_ok() {
        sent = stream.write_all(&chunk).await;
    }
}

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            executor::detach(send_without_end(stream));
        }
    });
    address
}

#[test]
fn a_line_without_end_breaks_a_token_stream_off() {
    smol::block_on(async {
        let completion = Completion {
            request_id: "r#1".into(),
            model: "m".into(),
            prompt: "text".into(),
            prompt_tokens: 1,
            max_tokens: 10,
            priority: 0,
            resume_from: 0,
            cache_salt: "w".into(),
            kv_transfer_params: None,
        };
        let address = start().await;
        let mut stream = engine::decode(address, &completion, TIMEOUT).await.expect("a head");
        let next = timer::timeout(TIMEOUT, stream.next()).await.expect("an end in time");
        assert!(matches!(next, Err(Fault::Broken(_))), "{next:?}");
    });
}
