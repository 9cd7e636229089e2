//! A configuration version and the account of the change that made it.

use {
    crate::{
        declaration::{Deployment, Problem},
        digest,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One accepted version, stored as one object with the account of its change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version, from 1.
    pub number: u64,
    /// Unique id of the change, chosen by the client.
    pub change: Arc<str>,
    /// Who made the change.
    pub author: Arc<str>,
    /// Why the change was made.
    pub reason: Arc<str>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Hash of the version before; empty for the first.
    pub previous: Arc<str>,
    /// The declaration as TOML text.
    pub declaration: Arc<str>,
    /// Backend servers that operators have told to leave.
    #[serde(default)]
    pub drained: Vec<Arc<str>>,
}

impl Version {
    /// Hash over every field.
    pub fn hash(&self) -> Arc<str> {
        digest::hex(serde_json::to_string(self).unwrap_or_default().as_bytes())
    }

    /// The declaration, parsed and checked.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn deployment(&self) -> Result<Deployment, Vec<Problem>> {
        Deployment::parse(&self.declaration)
    }
}

/// Checks that each version in the list follows the one before it.
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

/// Lines that differ between two declarations, with `-` and `+` before them.
pub fn difference(old: &str, new: &str) -> String {
    let old_lines: Vec<&str> = old.lines().collect();
    let new_lines: Vec<&str> = new.lines().collect();
    let head = old_lines.iter().zip(&new_lines).take_while(|(a, b)| a == b).count();
    let tail = old_lines[head..]
        .iter()
        .rev()
        .zip(new_lines[head..].iter().rev())
        .take_while(|(a, b)| a == b)
        .count();
    let removed = old_lines[head..old_lines.len() - tail].iter().map(|line| format!("-{line}\n"));
    let added = new_lines[head..new_lines.len() - tail].iter().map(|line| format!("+{line}\n"));
    removed.chain(added).collect()
}
