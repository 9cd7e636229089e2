//! Proof on both sides that the other knows the shared key, before the first call.
//!
//! Each side sends a version and a random nonce, then an HMAC over the other's nonce and its own
//! role. A side that can't prove the key is closed.

use {
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    hmac::{Hmac, KeyInit as _, Mac as _},
    sha2::Sha256,
    smol::net::TcpStream,
    std::{io, sync::Arc},
};

/// Version of the protocol between daemons.
const VERSION: u8 = 1;

const NONCE_LENGTH: usize = 32;

const PROOF_LENGTH: usize = 32;

/// Key that all daemons of a deployment share.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// The key as given in the settings.
    pub fn new(text: &str) -> Secret {
        Secret(text.as_bytes().into())
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It connected.
    Client,
    /// It accepted.
    Server,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Client => b"client",
            Side::Server => b"server",
        }
    }

    fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// Proves the key to the other side and checks its proof.
///
/// # Errors
/// The connection failed, the versions differ, or the other side does not know the key.
pub async fn prove(stream: &mut TcpStream, secret: &Secret, side: Side) -> io::Result<()> {
    let own_nonce: [u8; NONCE_LENGTH] = rand::random();
    stream.write_all(&[VERSION]).await?;
    stream.write_all(&own_nonce).await?;
    let mut version = [0];
    stream.read_exact(&mut version).await?;
    if version[0] != VERSION {
        return Err(denied(&format!("peer speaks version {}, not {VERSION}", version[0])));
    }
    let mut their_nonce = [0; NONCE_LENGTH];
    stream.read_exact(&mut their_nonce).await?;
    let own_proof = mac(secret, side, &their_nonce, &own_nonce)?.finalize().into_bytes();
    stream.write_all(&own_proof).await?;
    let mut their_proof = [0; PROOF_LENGTH];
    stream.read_exact(&mut their_proof).await?;
    mac(secret, side.other(), &own_nonce, &their_nonce)?
        .verify_slice(&their_proof)
        .map_err(|_| denied("peer does not know the shared key"))
}

fn mac(secret: &Secret, side: Side, first: &[u8], second: &[u8]) -> io::Result<Hmac<Sha256>> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&secret.0).map_err(|_| denied("bad shared key"))?;
    mac.update(side.label());
    mac.update(first);
    mac.update(second);
    Ok(mac)
}

fn denied(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, message.to_owned())
}
