//! One budget for the memory that callers and servers can make the process hold.
//!
//! Addresses callers and servers that stay within each single limit and exceed the memory of the
//! machine together. Each connection is a [`Holder`] that is charged with what it really holds.
//! From [`RECLAIM_SHARE`] of the budget on, connections are closed: first those on which a large
//! response is unfinished, then those of callers that make no progress, each time those that hold
//! most first. A charge beyond the budget is refused. Responses have a part of the budget only, so
//! that requests find room whatever servers send.

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

/// Share of the budget that the connections to servers may hold together. With 0.75, the process
/// took 79 MB of 77 beside 1,000 chunked bodies without end.
const SERVER_SHARE: f64 = 0.5;

/// Bytes from which on an unfinished response gives way to others. Most responses are smaller, and
/// the outcome of one that is given up is unknown to its caller.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;

/// Connections whose bytes differ by less than this are closed in the order of their last progress.
const SIZE_STEP_BYTES: usize = 16 << 10;

/// Who can make a connection hold memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A caller, by its requests.
    Caller,
    /// A backend server, by its responses.
    Server,
}

impl Side {
    /// Both sides, in the order of declaration.
    pub const ALL: [Side; 2] = [Side::Caller, Side::Server];

    /// Name in log lines.
    fn name(self) -> &'static str {
        match self {
            Side::Caller => "caller",
            Side::Server => "server",
        }
    }
}

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

/// States of a holder: no request of it is served, a request of it is served, it must be closed. A
/// connection to a server is waiting until its response is complete.
const WAITING: u8 = 0;
const SERVING: u8 = 1;
const EVICTED: u8 = 2;

/// The memory that all connections of callers, and those to servers, may take together.
#[derive(Debug)]
pub struct Budget {
    bytes_max: AtomicUsize,
    sides: [Ledger; 2],
    /// Numbers the progress of all holders in order.
    progress: AtomicU64,
    holders: Mutex<Vec<Arc<Account>>>,
}

/// What the connections of one side hold, and what they were refused.
#[derive(Debug)]
struct Ledger {
    held: [AtomicUsize; 4],
    /// Charges that were refused, by kind.
    refused: [AtomicU64; 4],
    /// Connections that were closed to reclaim their memory.
    evicted: AtomicU64,
    is_binding: AtomicBool,
}

impl Ledger {
    const fn new() -> Ledger {
        Ledger {
            held: [const { AtomicUsize::new(0) }; 4],
            refused: [const { AtomicU64::new(0) }; 4],
            evicted: AtomicU64::new(0),
            is_binding: AtomicBool::new(false),
        }
    }

    fn total(&self) -> usize {
        self.held.iter().map(|held| held.load(Ordering::SeqCst)).sum()
    }
}

#[derive(Debug)]
struct Account {
    side: Side,
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
            sides: [const { Ledger::new() }; 2],
            progress: AtomicU64::new(0),
            holders: Mutex::default(),
        })
    }

    /// Changes the size.
    pub fn configure(&self, bytes_max: usize) {
        self.bytes_max.store(bytes_max, Ordering::SeqCst);
    }

    /// Bytes of a kind that are held.
    pub fn held(&self, side: Side, kind: Kind) -> usize {
        self.side(side).held[kind as usize].load(Ordering::SeqCst)
    }

    /// Charges of a kind that were refused so far.
    pub fn refused(&self, side: Side, kind: Kind) -> u64 {
        self.side(side).refused[kind as usize].load(Ordering::Relaxed)
    }

    /// Connections that were closed to reclaim their memory so far.
    pub fn evicted(&self, side: Side) -> u64 {
        self.side(side).evicted.load(Ordering::Relaxed)
    }

    fn side(&self, side: Side) -> &Ledger {
        &self.sides[side as usize]
    }

    /// An account for a new connection with a fixed cost; `None` if there is no memory for it.
    pub fn open(self: &Arc<Budget>, side: Side, bytes: usize) -> Option<Holder> {
        let (closing, evicted) = channel::bounded(1);
        let account = Arc::new(Account {
            side,
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
        self.sides.iter().map(Ledger::total).sum()
    }

    /// Bytes that a side may hold.
    fn bytes_max(&self, side: Side) -> usize {
        let bytes_max = self.bytes_max.load(Ordering::SeqCst);
        match side {
            Side::Caller => bytes_max,
            Side::Server => share(bytes_max, SERVER_SHARE),
        }
    }

    fn holders(&self) -> MutexGuard<'_, Vec<Arc<Account>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the bytes can be added to an account; closes connections if little is left.
    fn admit(&self, account: &Account, bytes: usize) -> bool {
        let total = self.total() + bytes;
        let is_within = self.make_room(account, &Side::ALL, total, self.bytes_max(Side::Caller));
        if account.side == Side::Caller {
            return is_within;
        }
        let held = self.side(Side::Server).total() + bytes;
        let bytes_max = self.bytes_max(Side::Server);
        self.make_room(account, &[Side::Server], held, bytes_max) && is_within
    }

    /// Closes connections of these sides if little is left for them of `bytes_max`; returns whether
    /// what they are to hold is within it.
    fn make_room(&self, account: &Account, sides: &[Side], held: usize, bytes_max: usize) -> bool {
        let reclaim_at = share(bytes_max, RECLAIM_SHARE);
        if held > reclaim_at {
            self.set_binding(account.side, true);
            self.reclaim(account, sides, held - reclaim_at);
        }
        held <= bytes_max
    }

    /// Closes connections until `bytes` are free: those with a large response that is not complete,
    /// then those of callers without a request in progress. Of each, the ones that hold most come
    /// first, of equal ones those whose last progress is longest ago. The response that is charged
    /// is not closed itself: it may use what is left.
    fn reclaim(&self, charged: &Account, sides: &[Side], bytes: usize) {
        let holders = self.holders();
        let mut freed: usize = 0;
        let mut waiting: Vec<&Arc<Account>> = Vec::new();
        for account in holders.iter().filter(|account| sides.contains(&account.side)) {
            match account.state.load(Ordering::SeqCst) {
                WAITING if account.gives_way_to(charged) => waiting.push(account),
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
            let is_caller = account.side == Side::Caller;
            (is_caller, usize::MAX - size, account.progress.load(Ordering::SeqCst))
        });
        for account in waiting {
            if freed >= bytes {
                return;
            }
            if account.change_state(WAITING, EVICTED) {
                freed += account.bytes.load(Ordering::SeqCst);
                account.closing.close();
                self.side(account.side).evicted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn set_binding(&self, side: Side, is_binding: bool) {
        let ledger = self.side(side);
        if ledger.is_binding.swap(is_binding, Ordering::SeqCst) == is_binding {
            return;
        }
        let (name, held, total) = (side.name(), ledger.total(), self.total());
        if is_binding {
            warn!("event=memory_budget_binds side={name} held={held} total={total}");
            return;
        }
        let refused = Kind::ALL.map(|kind| self.refused(side, kind));
        let closed = self.evicted(side);
        info!(
            "event=memory_budget_free side={name} held={held} total={total} refused={refused:?} closed={closed}"
        );
    }

    /// Records that the budget no longer binds for the sides that have much left.
    fn clear_binding(&self) {
        if self.total() >= share(self.bytes_max(Side::Caller), RELAXED_SHARE) {
            return;
        }
        self.set_binding(Side::Caller, false);
        let held = self.side(Side::Server).total();
        if held < share(self.bytes_max(Side::Server), RELAXED_SHARE) {
            self.set_binding(Side::Server, false);
        }
    }
}

fn share(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}

impl Account {
    /// Whether the connection, of which no request is served, may be closed for another one.
    fn gives_way_to(&self, charged: &Account) -> bool {
        let is_large = self.bytes.load(Ordering::SeqCst) >= LARGE_RESPONSE_BYTES;
        self.side == Side::Caller || is_large && !std::ptr::eq(self, charged)
    }

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
        let ledger = budget.side(self.account.side);
        if bytes > *held && !budget.admit(&self.account, bytes - *held) {
            ledger.refused[kind as usize].fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let total = &ledger.held[kind as usize];
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

    /// Side of the connection.
    pub fn side(&self) -> Side {
        self.account.side
    }

    /// Marks that a request is served from now on, or that a response is complete, so that the
    /// connection is not closed; returns `false` if it must be closed already.
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

    /// Whether the connection must be closed.
    pub fn is_evicted(&self) -> bool {
        self.account.state.load(Ordering::SeqCst) == EVICTED
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
        budget.clear_binding();
    }
}
