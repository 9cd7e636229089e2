//! Mutual authentication of daemons with the shared key, before the first call.
//!
//! Each side sends the protocol version and a random nonce, and then an HMAC-SHA256, keyed with the
//! shared key, over its own side of the connection, the other side's nonce and its own nonce. Each
//! side closes the connection if the other side's proof is wrong.

use {
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    hmac::{Hmac, KeyInit as _, Mac as _},
    sha2::Sha256,
    smol::net::TcpStream,
    std::{io, sync::Arc},
};

/// Both sides of a connection must have the same version.
const PROTOCOL_VERSION: u8 = 2;

const NONCE_BYTES: usize = 32;

const PROOF_BYTES: usize = 32;

/// Key that all daemons of a deployment share.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// The key from the text in the settings.
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
    /// The daemon that connected.
    Client,
    /// The daemon that accepted the connection.
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

/// Sends the proof of the shared key and verifies the other side's proof.
///
/// # Errors
/// The connection failed, the protocol versions differ, or the other side does not have the key.
pub async fn authenticate(stream: &mut TcpStream, secret: &Secret, side: Side) -> io::Result<()> {
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&[PROTOCOL_VERSION]).await?;
    stream.write_all(&own_nonce).await?;
    let mut version = [0];
    stream.read_exact(&mut version).await?;
    if version[0] != PROTOCOL_VERSION {
        return Err(permission_denied(&format!(
            "peer has protocol version {}, expected {PROTOCOL_VERSION}",
            version[0]
        )));
    }
    let mut peer_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await?;
    let own_proof = proof_mac(secret, side, &peer_nonce, &own_nonce)?.finalize().into_bytes();
    stream.write_all(&own_proof).await?;
    let mut peer_proof = [0; PROOF_BYTES];
    stream.read_exact(&mut peer_proof).await?;
    proof_mac(secret, side.other(), &own_nonce, &peer_nonce)?
        .verify_slice(&peer_proof)
        .map_err(|_| permission_denied("peer failed to prove the shared key"))
}

fn proof_mac(secret: &Secret, side: Side, first: &[u8], second: &[u8]) -> io::Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0)
        .map_err(|_| permission_denied("shared key is not usable for HMAC"))?;
    mac.update(side.label());
    mac.update(first);
    mac.update(second);
    Ok(mac)
}

fn permission_denied(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, message.to_owned())
}
