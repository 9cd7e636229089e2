//! Limits the number of open requests of each workspace at this entry.

use {
    crate::{entry::Entry, exchange::Exchange},
    ffw_protocol::error::{Error, Kind, Result},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Number of open requests of one workspace.
#[derive(Clone, Debug)]
struct Count {
    workspace: Arc<str>,
    open: u32,
}

/// Counts the open requests of each workspace. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Workspaces with open requests, sorted by name.
    counts: Arc<Mutex<Vec<Count>>>,
}

/// Counts one request of a workspace as open until dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Limiter,
    workspace: Arc<str>,
}

impl Limiter {
    /// Counts a request as open; `None` if the workspace has `max_open` open requests already.
    pub fn acquire(&self, workspace: &Arc<str>, max_open: u32) -> Option<Permit> {
        let mut counts = self.lock();
        let index = match counts.binary_search_by(|count| count.workspace.cmp(workspace)) {
            Ok(index) => index,
            Err(index) => {
                counts.insert(index, Count { workspace: workspace.clone(), open: 0 });
                index
            }
        };
        if counts[index].open >= max_open {
            return None;
        }
        counts[index].open += 1;
        Some(Permit { limiter: self.clone(), workspace: workspace.clone() })
    }

    fn release(&self, workspace: &Arc<str>) {
        let mut counts = self.lock();
        if let Ok(index) = counts.binary_search_by(|count| count.workspace.cmp(workspace)) {
            counts[index].open -= 1;
            if counts[index].open == 0 {
                counts.remove(index);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Count>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.release(&self.workspace);
    }
}

/// Counts the request as open, or rejects it.
///
/// # Errors
/// [`Kind::RateLimited`] if the workspace has its maximum of open requests.
pub fn apply(entry: &Arc<Entry>, exchange: &mut Exchange) -> Result<()> {
    let workspace = exchange.workspace()?;
    let permit = entry.limiter.acquire(&workspace.name, workspace.max_open).ok_or_else(|| {
        let message =
            format!("workspace `{}` has {} requests open", workspace.name, workspace.max_open);
        Error::new(Kind::RateLimited, message)
    })?;
    exchange.permit = Some(permit);
    Ok(())
}
