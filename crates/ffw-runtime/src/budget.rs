//! One budget for the memory that callers can make the process hold.
//!
//! Addresses callers that stay within each single limit and exceed the memory of the machine
//! together. Each connection is a [`Holder`] that is charged with what it really holds. From
//! [`RECLAIM_SHARE`] of the budget on, connections that make no progress are closed, those that
//! hold most first; a charge beyond the budget is refused.

use {
    log::{info, warn},
    smol::channel::{self, Receiver, Sender},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
};

/// Share of the budget from which on connections are closed to keep room for new ones.
const RECLAIM_SHARE: f64 = 0.85;

/// Share of the budget below which it no longer binds. The distance to [`RECLAIM_SHARE`] keeps the
/// log from a pair of lines for each connection.
const RELAXED_SHARE: f64 = 0.6;

/// Connections whose bytes differ by less than this are closed in the order of their last progress.
const SIZE_STEP_BYTES: usize = 16 << 10;

/// What is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A connection itself: its task and its state.
    Connection,
    /// Bytes that were received and not consumed, with their spare capacity.
    Buffer,
    /// Parsed heads.
    Head,
    /// Bodies, with their spare capacity.
    Body,
}

impl Kind {
    /// All kinds, in the order of declaration.
    pub const ALL: [Kind; 4] = [Kind::Connection, Kind::Buffer, Kind::Head, Kind::Body];

    /// Value of the label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Connection => "connection",
            Kind::Buffer => "buffer",
            Kind::Head => "head",
            Kind::Body => "body",
        }
    }
}

/// States of a holder: no request of it is served, a request of it is served, it must be closed.
const WAITING: u8 = 0;
const SERVING: u8 = 1;
const EVICTED: u8 = 2;

/// The memory that all connections of callers may take together.
#[derive(Debug)]
pub struct Budget {
    bytes_max: AtomicUsize,
    held: [AtomicUsize; 4],
    /// Charges that were refused, by kind.
    refused: [AtomicU64; 4],
    /// Connections that were closed to reclaim their memory.
    evicted: AtomicU64,
    is_binding: AtomicBool,
    /// Numbers the progress of all holders in order.
    progress: AtomicU64,
    holders: Mutex<Vec<Arc<Account>>>,
}

#[derive(Debug)]
struct Account {
    bytes: AtomicUsize,
    state: AtomicU8,
    progress: AtomicU64,
    /// Closed, without a message, when the connection must be closed.
    closing: Sender<()>,
}

/// What one connection holds; released when it is dropped.
#[derive(Debug)]
pub struct Holder {
    budget: Arc<Budget>,
    account: Arc<Account>,
    held: [usize; 4],
    evicted: Receiver<()>,
}

impl Budget {
    /// A budget of this size, of which nothing is used.
    pub fn new(bytes_max: usize) -> Arc<Budget> {
        Arc::new(Budget {
            bytes_max: AtomicUsize::new(bytes_max),
            held: [const { AtomicUsize::new(0) }; 4],
            refused: [const { AtomicU64::new(0) }; 4],
            evicted: AtomicU64::new(0),
            is_binding: AtomicBool::new(false),
            progress: AtomicU64::new(0),
            holders: Mutex::default(),
        })
    }

    /// Changes the size.
    pub fn configure(&self, bytes_max: usize) {
        self.bytes_max.store(bytes_max, Ordering::SeqCst);
    }

    /// Bytes of a kind that are held.
    pub fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize].load(Ordering::SeqCst)
    }

    /// Charges of a kind that were refused so far.
    pub fn refused(&self, kind: Kind) -> u64 {
        self.refused[kind as usize].load(Ordering::Relaxed)
    }

    /// Connections that were closed to reclaim their memory so far.
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// An account for a new connection with a fixed cost; `None` if there is no memory for it.
    pub fn open(self: &Arc<Budget>, bytes: usize) -> Option<Holder> {
        let (closing, evicted) = channel::bounded(1);
        let account = Arc::new(Account {
            bytes: AtomicUsize::new(0),
            state: AtomicU8::new(WAITING),
            progress: AtomicU64::new(self.next_progress()),
            closing,
        });
        let mut holder = Holder { budget: self.clone(), account, held: [0; 4], evicted };
        let is_charged = holder.set(Kind::Connection, bytes);
        self.holders().push(holder.account.clone());
        is_charged.then_some(holder)
    }

    fn next_progress(&self) -> u64 {
        self.progress.fetch_add(1, Ordering::Relaxed)
    }

    fn total(&self) -> usize {
        self.held.iter().map(|held| held.load(Ordering::SeqCst)).sum()
    }

    fn holders(&self) -> MutexGuard<'_, Vec<Arc<Account>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the bytes can be added; closes connections if little is left.
    fn admit(&self, bytes: usize) -> bool {
        let (total, bytes_max) = (self.total() + bytes, self.bytes_max.load(Ordering::SeqCst));
        let reclaim_at = (bytes_max as f64 * RECLAIM_SHARE) as usize;
        if total > reclaim_at {
            self.set_binding(true, total);
            self.reclaim(total - reclaim_at);
        }
        total <= bytes_max
    }

    /// Closes connections without a request in progress until `bytes` are free: the ones that hold
    /// most first, of equal ones those whose last progress is longest ago.
    fn reclaim(&self, bytes: usize) {
        let holders = self.holders();
        let state = |account: &Account| account.state.load(Ordering::SeqCst);
        let mut freed: usize = 0;
        let mut waiting: Vec<&Arc<Account>> = Vec::new();
        for account in holders.iter() {
            match state(account) {
                WAITING => waiting.push(account),
                // Its memory is free as soon as its task has run.
                EVICTED => freed += account.bytes.load(Ordering::SeqCst),
                _ => {}
            }
        }
        if freed >= bytes {
            return;
        }
        waiting.sort_by_cached_key(|account| {
            let size = account.bytes.load(Ordering::SeqCst) / SIZE_STEP_BYTES;
            (usize::MAX - size, account.progress.load(Ordering::SeqCst))
        });
        for account in waiting {
            if freed >= bytes {
                return;
            }
            if account.change_state(WAITING, EVICTED) {
                freed += account.bytes.load(Ordering::SeqCst);
                account.closing.close();
                self.evicted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn set_binding(&self, is_binding: bool, total: usize) {
        if self.is_binding.swap(is_binding, Ordering::SeqCst) == is_binding {
            return;
        }
        let (refused, evicted) = (Kind::ALL.map(|kind| self.refused(kind)), self.evicted());
        if is_binding {
            warn!("event=memory_budget_binds held={total}");
        } else {
            info!("event=memory_budget_free held={total} refused={refused:?} closed={evicted}");
        }
    }
}

impl Account {
    fn change_state(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}

impl Holder {
    /// Sets what the connection holds of a kind; returns `false`, and changes nothing, if there is
    /// no memory for more.
    pub fn set(&mut self, kind: Kind, bytes: usize) -> bool {
        let (held, budget) = (&mut self.held[kind as usize], &self.budget);
        if bytes == *held {
            return true;
        }
        if bytes > *held && !budget.admit(bytes - *held) {
            budget.refused[kind as usize].fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let total = &budget.held[kind as usize];
        if bytes > *held {
            total.fetch_add(bytes - *held, Ordering::SeqCst);
            self.account.bytes.fetch_add(bytes - *held, Ordering::SeqCst);
        } else {
            total.fetch_sub(*held - bytes, Ordering::SeqCst);
            self.account.bytes.fetch_sub(*held - bytes, Ordering::SeqCst);
        }
        *held = bytes;
        true
    }

    /// Marks that a request is served from now on, so that the connection is not closed; returns
    /// `false` if it must be closed already.
    pub fn begin_request(&self) -> bool {
        self.account.change_state(WAITING, SERVING)
            || self.account.state.load(Ordering::SeqCst) == SERVING
    }

    /// Marks that no request is served any more, and releases the request's memory.
    pub fn end_request(&mut self) {
        self.account.change_state(SERVING, WAITING);
        self.account.progress.store(self.budget.next_progress(), Ordering::SeqCst);
        self.set(Kind::Head, 0);
        self.set(Kind::Body, 0);
    }

    /// A signal that arrives, as the end of the channel, when the connection must be closed.
    pub fn evicted(&self) -> Receiver<()> {
        self.evicted.clone()
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        for kind in Kind::ALL {
            self.set(kind, 0);
        }
        let budget = &self.budget;
        let mut holders = budget.holders();
        holders.retain(|account| !Arc::ptr_eq(account, &self.account));
        drop(holders);
        let (total, bytes_max) = (budget.total(), budget.bytes_max.load(Ordering::SeqCst));
        if total < (bytes_max as f64 * RELAXED_SHARE) as usize {
            budget.set_binding(false, total);
        }
    }
}
