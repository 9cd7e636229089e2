//! Keys that authenticate operators. The settings contain only their digests, so that reading the
//! settings does not reveal a key.

use {
    ffw_protocol::digest,
    std::{str::FromStr, sync::Arc},
    subtle::ConstantTimeEq as _,
};

/// The name of an operator and the digest of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Name, recorded as the author of changes made with the key.
    pub name: Arc<str>,
    /// SHA-256 digest of the key, in lower-case hexadecimal.
    pub digest: Arc<str>,
}

impl FromStr for Key {
    type Err = String;

    fn from_str(text: &str) -> Result<Key, String> {
        let usage = "an operator key must have the form name=<SHA-256 of the key in hexadecimal>";
        let (name, digest) = text.split_once('=').ok_or(usage)?;
        let is_digest = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        if name.is_empty() || !is_digest {
            return Err(usage.to_owned());
        }
        Ok(Key { name: name.into(), digest: digest.to_ascii_lowercase().into() })
    }
}

/// Finds the entry for the key sent with a call; `None` if the key is unknown. Digests are compared
/// in constant time, so that the duration of a call reveals nothing about them.
pub fn find<'a>(keys: &'a [Key], sent_key: &str) -> Option<&'a Key> {
    let sent_digest = digest::hex(sent_key.as_bytes());
    keys.iter().find(|key| bool::from(key.digest.as_bytes().ct_eq(sent_digest.as_bytes())))
}
