//! Configuration versions. Each records who made the change, when and why, and the hash of the
//! previous version.

use {
    crate::{
        declaration::{Deployment, Problem},
        digest,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One accepted version, stored as one object together with the author, reason and time of its
/// change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version, starting at 1.
    pub number: u64,
    /// Unique id of the change, chosen by the client.
    pub change: Arc<str>,
    /// Who made the change.
    pub author: Arc<str>,
    /// Why the change was made.
    pub reason: Arc<str>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Hash of the previous version; empty for the first one.
    pub previous: Arc<str>,
    /// The declaration as text, as [`Deployment::parse`] reads it.
    pub declaration: Arc<str>,
    /// Names of the backend servers that operators have drained.
    #[serde(default)]
    pub drained: Vec<Arc<str>>,
}

impl Version {
    /// Hash of all fields.
    pub fn hash(&self) -> Arc<str> {
        digest::hex(serde_json::to_string(self).unwrap_or_default().as_bytes())
    }

    /// The declaration, parsed and checked.
    ///
    /// # Errors
    /// All problems of the declaration.
    pub fn deployment(&self) -> Result<Deployment, Vec<Problem>> {
        Deployment::parse(&self.declaration)
    }
}

/// Checks that each version in the list has the next number after the one before it and contains
/// its hash.
///
/// # Errors
/// Number of the first version that does not.
pub fn verify(history: &[Version]) -> Result<(), u64> {
    for pair in history.windows(2) {
        let follows = pair[1].number == pair[0].number + 1 && pair[1].previous == pair[0].hash();
        if !follows {
            return Err(pair[1].number);
        }
    }
    Ok(())
}

/// Lines that differ between two declarations: all lines between the common first lines and the
/// common last lines, those of `old` prefixed with `-` and then those of `new` prefixed with `+`.
pub fn difference(old: &str, new: &str) -> String {
    let old_lines: Vec<&str> = old.lines().collect();
    let new_lines: Vec<&str> = new.lines().collect();
    let common_head = old_lines.iter().zip(&new_lines).take_while(|(a, b)| a == b).count();
    let common_tail = old_lines[common_head..]
        .iter()
        .rev()
        .zip(new_lines[common_head..].iter().rev())
        .take_while(|(a, b)| a == b)
        .count();
    let removed = old_lines[common_head..old_lines.len() - common_tail]
        .iter()
        .map(|line| format!("-{line}\n"));
    let added = new_lines[common_head..new_lines.len() - common_tail]
        .iter()
        .map(|line| format!("+{line}\n"));
    removed.chain(added).collect()
}
