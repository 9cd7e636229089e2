//! Counts the bytes that are looked at for each byte received, with messages in pieces of all
//! sizes. Guards against work that grows with the square of a message, by which a sender of small
//! pieces takes the processor from all other requests.

use {
    ffw_http::{
        connection::{Connection, Fault},
        framing::{Decoder, Framing},
    },
    ffw_runtime::{executor, meter::Wire},
    futures_lite::AsyncWriteExt as _,
    smol::net::{TcpListener, TcpStream},
    std::time::Duration,
};

/// Most bytes that are looked at for a byte received.
const LOOKS_MAX: u64 = 8;

/// Kind of the connections; nothing else in this process uses it.
const WIRE: Wire = Wire::Report;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head, in bytes.
const HEAD_BYTES_MAX: usize = 32 << 10;

#[derive(Clone, Copy)]
enum Message {
    RequestHead,
    ResponseHead,
    Body(Framing),
}

/// A connection on which `bytes` arrive in pieces.
async fn connection(bytes: Vec<u8>, piece: usize) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    executor::detach(async move {
        let mut sender = TcpStream::connect(address).await.expect("a connection");
        sender.set_nodelay(true).ok();
        for piece in bytes.chunks(piece) {
            if sender.write_all(piece).await.is_err() {
                return;
            }
            smol::future::yield_now().await;
        }
        smol::Timer::after(TIMEOUT).await;
    });
    let (stream, _) = listener.accept().await.expect("a connection");
    Connection::new(stream, WIRE, TIMEOUT)
}

async fn read(mut connection: Connection, message: Message) -> Result<(), Fault> {
    match message {
        Message::RequestHead => connection.read_request(HEAD_BYTES_MAX).await.map(drop),
        Message::ResponseHead => connection.read_response(HEAD_BYTES_MAX).await.map(drop),
        Message::Body(framing) => {
            let mut decoder = Decoder::new(framing);
            connection.read_body(&mut decoder, 1 << 20).await.map(drop)
        }
    }
}

#[test]
fn each_byte_is_looked_at_a_few_times() {
    let head = |first: &str| {
        let fields = "Field-Name: some value of it\r\n".repeat(100);
        format!("{first}\r\n{fields}\r\n").into_bytes()
    };
    let extension = format!("1;{}\r\nx\r\n", "e".repeat(900)).repeat(20);
    let trailer = format!("0\r\n{}\r\n", format!("Trailer: {}\r\n", "t".repeat(900)).repeat(8));
    let cases = [
        ("a request's head", Message::RequestHead, head("POST /x HTTP/1.1")),
        ("a response's head", Message::ResponseHead, head("HTTP/1.1 200 OK")),
        ("a head without end", Message::ResponseHead, b"HTTP/1.1 200 ".repeat(3_000)),
        ("a line without end", Message::RequestHead, vec![b'x'; 40_000]),
        ("empty lines without end", Message::ResponseHead, b"\r\n".repeat(20_000)),
        ("chunks of one byte", Message::Body(Framing::Chunked), {
            let mut bytes = b"1\r\nx\r\n".repeat(10_000);
            bytes.extend(b"0\r\n\r\n");
            bytes
        }),
        ("extensions of chunks", Message::Body(Framing::Chunked), {
            format!("{extension}0\r\n\r\n").into_bytes()
        }),
        ("a trailer", Message::Body(Framing::Chunked), trailer.into_bytes()),
        ("a size without end", Message::Body(Framing::Chunked), vec![b'1'; 40_000]),
        ("a body with a length", Message::Body(Framing::Length(40_000)), vec![b'x'; 40_000]),
    ];
    smol::block_on(async {
        for (name, message, bytes) in cases {
            for piece in [1, 7, 100, 8_192, 1 << 20] {
                let (received, examined) = (WIRE.bytes(), WIRE.examined());
                let result = read(connection(bytes.clone(), piece).await, message).await;
                let received = WIRE.bytes() - received;
                let looks = (WIRE.examined() - examined).div_ceil(received.max(1));
                let outcome = result.map_or_else(|fault| fault.to_string(), |()| "read".into());
                assert!(
                    looks <= LOOKS_MAX,
                    "{name} in pieces of {piece} bytes ({outcome}): {looks} looks a byte"
                );
            }
        }
    });
}
