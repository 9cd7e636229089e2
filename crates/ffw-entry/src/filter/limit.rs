//! Bounds the open requests of each workspace at this entry.

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::error::{Error, Kind, Result},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

#[derive(Clone, Debug)]
struct Open {
    workspace: Arc<str>,
    count: u32,
}

/// Open requests by workspace, in order of name.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    open: Arc<Mutex<Vec<Open>>>,
}

/// Counts one open request while it lives.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    workspace: Arc<str>,
}

impl Gate {
    /// Lets a request in, unless the workspace has `most` open already.
    pub fn enter(&self, workspace: &Arc<str>, most: u32) -> Option<Permit> {
        let mut open = self.lock();
        let at = match open.binary_search_by(|one| one.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                open.insert(at, Open { workspace: workspace.clone(), count: 0 });
                at
            }
        };
        if open[at].count >= most {
            return None;
        }
        open[at].count += 1;
        Some(Permit { gate: self.clone(), workspace: workspace.clone() })
    }

    fn leave(&self, workspace: &Arc<str>) {
        let mut open = self.lock();
        if let Ok(at) = open.binary_search_by(|one| one.workspace.cmp(workspace)) {
            open[at].count -= 1;
            if open[at].count == 0 {
                open.remove(at);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.leave(&self.workspace);
    }
}

/// Counts the request, or refuses it.
///
/// # Errors
/// [`Kind::RateLimited`].
pub fn apply(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    let workspace = exchange.workspace()?;
    let permit = entry.gate.enter(&workspace.name, workspace.max_open).ok_or_else(|| {
        let message =
            format!("workspace `{}` has {} requests open", workspace.name, workspace.max_open);
        Error::new(Kind::RateLimited, message)
    })?;
    exchange.permit = Some(permit);
    Ok(())
}
