//! Keys of operators. Only their digests are in the settings.

use {
    ffw_protocol::digest,
    std::{str::FromStr, sync::Arc},
    subtle::ConstantTimeEq as _,
};

/// An operator's name and the digest of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Name, which becomes the author of changes.
    pub name: Arc<str>,
    /// SHA-256 of the key, in hexadecimal.
    pub digest: Arc<str>,
}

impl FromStr for Key {
    type Err = String;

    fn from_str(text: &str) -> Result<Key, String> {
        let help = "an operator key is given as name=<SHA-256 of the key in hexadecimal>";
        let (name, digest) = text.split_once('=').ok_or(help)?;
        let is_digest = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        if name.is_empty() || !is_digest {
            return Err(help.to_owned());
        }
        Ok(Key { name: name.into(), digest: digest.to_ascii_lowercase().into() })
    }
}

/// The operator whose key was sent.
pub fn find<'a>(keys: &'a [Key], sent: &str) -> Option<&'a Key> {
    let sent = digest::hex(sent.as_bytes());
    keys.iter().find(|key| bool::from(key.digest.as_bytes().ct_eq(sent.as_bytes())))
}
