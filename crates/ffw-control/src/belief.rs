//! What this daemon believes about the objects that it follows in the store, and how old that is.
//!
//! A reader of each kind waits for changes. Its silence is no evidence, as the connection on which it
//! waits may have gone silent for good; so the age of each belief is kept below a bound by calls that
//! don't wait, on connections of their own. The first daemon of a data centre in rendezvous order,
//! its checker, makes them on behalf of the others, which ask it. A reader that has not read what
//! such a call has found starts anew.

mod demand;

use {
    crate::{daemon::Daemon, relay},
    ffw_decide::belief::{self, Belief, Found, Step, Timeouts},
    ffw_peer::link::Answering,
    ffw_protocol::{
        belief::{Confirmation, Kind},
        error::Result,
        instance::Instance,
        time::Moment,
    },
    ffw_runtime::{clock, executor, timer},
    futures_lite::future,
    log::{debug, info, warn},
    prometheus::GaugeVec,
    smol::channel::{self, Receiver, Sender},
    std::{
        future::Future,
        mem,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::Poll,
        time::Duration,
    },
};

/// Bound on the age of a belief unless the deployment states one.
pub const BOUND_DEFAULT: Duration = Duration::from_secs(2);

/// Shortest bound, so that a wrong setting makes no flood of calls.
const BOUND_MIN: Duration = Duration::from_millis(500);

/// Parts of the bound: the longest pause without a look at the ages, and the time for an answer
/// before a question is asked again.
const PAUSES_PER_BOUND: u32 = 8;

/// Parts of the bound: the time in which the reader of a kind must have begun to read a change that
/// a call has found. Both may come at the same moment.
const LEADS_PER_BOUND: u32 = 32;

/// Parts of the bound: the pause after a question to the store or the checker.
const QUESTIONS_PER_BOUND: u32 = 16;

/// Longest pause of a reader between two reads.
pub const READER_PAUSE_MAX: Duration = Duration::from_millis(500);

/// What the store answers to the question whether there is anything newer than a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No object of the kind has changed.
    Unchanged {
        /// The store's revision, of all kinds.
        revision: u64,
        /// Its era.
        era: u64,
        /// When the call was sent, on the clock of [`clock::boot_time`].
        asked_at: Moment,
    },
    /// Objects have changed.
    Changed {
        /// Revision of the last change; if that is not known, an earlier one after the question's.
        revision: u64,
        /// What the response shows; `None` if its changes are not known.
        found: Option<Found>,
        /// When the call was sent, if the configuration that it brought was put in force.
        taken_over: Option<Moment>,
    },
    /// The store can't tell, as its history does not reach back so far.
    HistoryGone,
}

/// Future answer to such a question.
pub type Asked = Pin<Box<dyn Future<Output = Result<Answer>> + Send>>;

/// Asks the store whether objects of a kind have changed after a revision, without waiting for a
/// change, on a connection of its own. If that one falls silent, it asks again on another one.
pub type Ask = Box<dyn Fn(Kind, u64, Timeouts) -> Asked + Send + Sync>;

/// The beliefs of a daemon. Times are of [`clock::boot_time`], which also counts the time for which
/// the machine was suspended.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// In the order of [`Kind::ALL`].
    beliefs: [Mutex<Belief>; Kind::ALL.len()],
    /// In the same order.
    readers: [Reader; Kind::ALL.len()],
    /// Bound on the ages, in milliseconds; 0 for [`BOUND_DEFAULT`].
    bound_ms: AtomicU64,
    /// Time that the store's latest answer to a question took, in milliseconds.
    latency_ms: AtomicU64,
    /// Daemons that know the call for confirmations.
    answering: Answering,
    /// Requests for a younger confirmation of the list of servers.
    wanted: demand::Wanted,
}

/// The state of the task that reads one kind from the store.
#[derive(Debug)]
pub struct Reader {
    /// Revision up to which it has read; 0 before its first list.
    revision: AtomicU64,
    /// Whether it waits for the store to begin its answer to a watch.
    is_waiting: AtomicBool,
    restart: (Sender<()>, Receiver<()>),
}

impl Default for Reader {
    fn default() -> Reader {
        let restart = channel::bounded(1);
        Reader { revision: AtomicU64::default(), is_waiting: AtomicBool::default(), restart }
    }
}

impl Reader {
    /// Revision up to which it has read; 0 before its first list.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::SeqCst)
    }

    /// Records up to which revision it has read.
    pub fn record_read(&self, revision: u64) {
        self.revision.store(revision, Ordering::SeqCst);
    }

    /// Records whether it waits for the store to begin its answer to a watch.
    pub fn record_waiting(&self, is_waiting: bool) {
        self.is_waiting.store(is_waiting, Ordering::SeqCst);
    }

    /// Makes it list all objects of its kind again.
    pub fn restart(&self) {
        self.restart.0.try_send(()).ok();
    }

    /// A channel that receives a message when it has to list all objects again.
    pub fn restarts(&self) -> Receiver<()> {
        self.restart.1.clone()
    }

    fn is_waiting(&self) -> bool {
        self.is_waiting.load(Ordering::SeqCst)
    }
}

impl Beliefs {
    /// The belief about a kind.
    pub fn of(&self, kind: Kind) -> MutexGuard<'_, Belief> {
        self.beliefs[kind as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state of the task that reads a kind.
    pub fn reader(&self, kind: Kind) -> &Reader {
        &self.readers[kind as usize]
    }

    /// Time since the belief about a kind was last confirmed; `None` if it never was.
    pub fn age(&self, kind: Kind) -> Option<Duration> {
        self.of(kind).age(clock::boot_time())
    }

    /// Whether the belief about a kind is older than the bound, or there is none.
    pub fn is_overdue(&self, kind: Kind) -> bool {
        self.age(kind).is_none_or(|age| age > self.bound())
    }

    /// Sets the bound on the ages; a shorter one than [`BOUND_MIN`] counts as that.
    pub fn set_bound(&self, bound: Duration) {
        let millis = u64::try_from(bound.max(BOUND_MIN).as_millis()).unwrap_or(u64::MAX);
        self.bound_ms.store(millis, Ordering::SeqCst);
    }

    /// How old each belief is, for another daemon. Those that were never confirmed are left out.
    pub fn confirmations(&self) -> Vec<Confirmation> {
        let of_kind = |kind| {
            let belief = self.of(kind);
            let age = belief.age(clock::boot_time())?;
            Some(Confirmation { kind, span: belief.span(), age })
        };
        Kind::ALL.into_iter().filter_map(of_kind).collect()
    }

    /// Sets a gauge to the age of each belief, in seconds. A kind that was never confirmed has no
    /// series.
    pub fn record_ages(&self, gauge: &GaugeVec) {
        for kind in Kind::ALL {
            if let Some(age) = self.age(kind) {
                gauge.with_label_values(&[kind.name()]).set(age.as_secs_f64());
            }
        }
    }

    /// Bound on the ages.
    pub fn bound(&self) -> Duration {
        match self.bound_ms.load(Ordering::SeqCst) {
            0 => BOUND_DEFAULT,
            millis => Duration::from_millis(millis),
        }
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms.load(Ordering::Relaxed))
    }

    /// Records that the store has answered a question that was sent at `asked_at`.
    fn record_latency(&self, asked_at: Moment) {
        let millis = clock::boot_time().since(asked_at).as_millis();
        self.latency_ms.store(u64::try_from(millis).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Kinds whose reader waits for changes, with the ages of their beliefs, the oldest first. The
    /// other readers are about to read.
    fn waiting(&self) -> Vec<(Duration, Kind)> {
        let waiting = Kind::ALL.into_iter().filter(|kind| self.reader(*kind).is_waiting());
        let mut ages: Vec<(Duration, Kind)> =
            waiting.filter_map(|kind| Some((self.age(kind)?, kind))).collect();
        ages.sort_by(|a, b| b.cmp(a));
        ages
    }
}

/// Keeps the beliefs younger than their bound, and confirms the configuration when a request names
/// something that it lacks, and the list of servers when it is to tell where a stream began, for as
/// long as the daemon runs.
pub async fn run(daemon: Arc<Daemon>, ask: Ask) {
    let confirming = smol::future::or(keep_confirmed(&daemon, &ask), demand::run(&daemon, &ask));
    smol::future::or(confirming, log_overdue(&daemon)).await;
}

/// Logs each belief that has become older than the bound, and its next confirmation. Never returns.
async fn log_overdue(daemon: &Daemon) {
    let mut overdue = [false; Kind::ALL.len()];
    loop {
        let bound = daemon.beliefs.bound();
        for kind in Kind::ALL {
            let Some(age) = daemon.beliefs.age(kind) else { continue };
            let (age_ms, bound_ms) = (age.as_millis(), bound.as_millis());
            let reader = daemon.beliefs.reader(kind);
            let (revision, is_waiting) = (reader.revision(), reader.is_waiting());
            match (mem::replace(&mut overdue[kind as usize], age > bound), age > bound) {
                (false, true) => warn!(
                    "event=belief_overdue kind={kind} age_ms={age_ms} bound_ms={bound_ms} \
                     revision={revision} watch_open={is_waiting}"
                ),
                (true, false) => info!(
                    "event=belief_confirmed kind={kind} age_ms={age_ms} bound_ms={bound_ms} \
                     revision={revision}"
                ),
                _ => {}
            }
        }
        timer::sleep(bound / PAUSES_PER_BOUND).await;
    }
}

/// Asks the checker or the store each time that the oldest belief needs it.
async fn keep_confirmed(daemon: &Arc<Daemon>, ask: &Ask) {
    loop {
        let bound = daemon.beliefs.bound();
        let checker = find_checker(daemon);
        let oldest = daemon.beliefs.waiting().first().map_or(Duration::ZERO, |(age, _)| *age);
        let pause = match (belief::step(oldest, bound, checker.is_none()), checker) {
            (Step::Wait(pause), _) => pause.min(bound / PAUSES_PER_BOUND),
            (Step::AskChecker, Some(checker)) => {
                let has_answered = ask_checker(daemon, &checker, bound).await;
                match belief::is_asked_alone(oldest, bound, daemon.beliefs.latency()) {
                    true if !has_answered => check_and_pause(daemon, ask, bound).await,
                    _ => bound / QUESTIONS_PER_BOUND,
                }
            }
            (Step::AskStore | Step::AskChecker, _) => check_and_pause(daemon, ask, bound).await,
        };
        timer::sleep(pause).await;
    }
}

/// Asks the store, and returns the pause before the next look at the ages.
async fn check_and_pause(daemon: &Arc<Daemon>, ask: &Ask, bound: Duration) -> Duration {
    match check(daemon, ask, bound).await {
        Ok(()) => bound / QUESTIONS_PER_BOUND,
        Err(error) => {
            debug!("event=beliefs_unconfirmed error=\"{error}\"");
            bound / PAUSES_PER_BOUND * 2
        }
    }
}

/// The daemon that asks the store on behalf of this one; `None` if this daemon asks for itself.
fn find_checker(daemon: &Daemon) -> Option<Instance> {
    let first = relay::relays_of(daemon, &daemon.identity.data_centre).into_iter().next();
    first.filter(|first| first.name != daemon.identity.instance)
}

/// Takes over the confirmations of the checker; returns whether it has answered. A reader that has
/// not read what the checker has read starts anew.
async fn ask_checker(daemon: &Arc<Daemon>, checker: &Instance, bound: Duration) -> bool {
    let limit = bound / PAUSES_PER_BOUND;
    // The age that the answer states was taken later.
    let asked_at = clock::boot_time();
    let (answering, address) = (&daemon.beliefs.answering, checker.address);
    let asked = answering.call(&daemon.peers, address, limit, async move |peer, context| {
        peer.confirmations(context).await
    });
    let confirmations = match asked.await {
        Ok(confirmations) => confirmations,
        Err(error) => {
            debug!("event=checker_unreachable peer={} error=\"{error}\"", checker.name);
            return false;
        }
    };
    for Confirmation { kind, span, age } in confirmations {
        let confirmed_at = asked_at - age;
        let is_merged = daemon.beliefs.of(kind).merge(span, confirmed_at);
        if is_merged && kind == Kind::Configuration {
            daemon.freshness().record_confirmed_elsewhere(confirmed_at);
        }
        if daemon.beliefs.of(kind).is_behind(span) {
            check_reader_in_background(daemon, kind, span.since, bound);
        }
    }
    true
}

/// Asks the store about the kinds whose beliefs are old. An answer that names a revision up to which
/// another kind has been read confirms that one as well, so that mostly one call is enough.
async fn check(daemon: &Arc<Daemon>, ask: &Ask, bound: Duration) -> Result<()> {
    let mut asked: Vec<Kind> = Vec::new();
    loop {
        let mut kinds = kinds_to_ask(&daemon.beliefs, bound);
        // Each kind is asked about once; a change that was found has to be read first.
        kinds.retain(|kind| !asked.contains(kind));
        if kinds.is_empty() {
            return Ok(());
        }
        asked.extend_from_slice(&kinds);
        ask_about(daemon, ask, kinds, bound).await?;
    }
}

/// Kinds whose readers wait and whose beliefs are old, the oldest first; each with its age and
/// whether no answer about another kind confirms it, see [`Belief::is_before`].
fn due_kinds(beliefs: &Beliefs, bound: Duration) -> Vec<(Duration, Kind, bool)> {
    let spans = Kind::ALL.into_iter().map(|kind| beliefs.of(kind).span());
    let newest = spans.max_by_key(|span| (span.era, span.until)).unwrap_or_default();
    let is_due = |age: Duration| belief::step(age, bound, true) == Step::AskStore;
    let due = beliefs.waiting().into_iter().filter(|(age, _)| is_due(*age));
    due.map(|(age, kind)| (age, kind, beliefs.of(kind).is_before(newest))).collect()
}

/// Kinds to ask about while no question is open: those that no answer about another kind confirms,
/// or else the oldest one.
fn kinds_to_ask(beliefs: &Beliefs, bound: Duration) -> Vec<Kind> {
    let due = due_kinds(beliefs, bound);
    let before: Vec<Kind> =
        due.iter().filter(|(_, _, is_before)| *is_before).map(|(_, kind, _)| *kind).collect();
    if before.is_empty() {
        due.into_iter().take(1).map(|(_, kind, _)| kind).collect()
    } else {
        before
    }
}

/// Kinds to ask about while an answer is late that has been waited for since a time.
fn kinds_beside(beliefs: &Beliefs, bound: Duration, since: Moment) -> Vec<Kind> {
    let latency = beliefs.latency().max(clock::boot_time().since(since));
    let due = due_kinds(beliefs, bound).into_iter();
    let beside =
        due.filter(|(age, _, is_before)| belief::is_asked_beside(*age, bound, latency, *is_before));
    beside.map(|(_, kind, _)| kind).collect()
}

/// A question to the store that is open.
struct Question<'a> {
    kind: Kind,
    asking: Pin<Box<dyn Future<Output = Result<()>> + Send + 'a>>,
}

/// Asks the store about some kinds at the same time. While an answer is late, it also asks about
/// kinds that the answer won't confirm, or not in time: beside a slow store, their beliefs would
/// exceed the bound if they were asked about one after the other.
async fn ask_about(
    daemon: &Arc<Daemon>,
    ask: &Ask,
    kinds: Vec<Kind>,
    bound: Duration,
) -> Result<()> {
    let question = |kind| Question { kind, asking: Box::pin(ask_store(daemon, ask, kind, bound)) };
    let started_at = clock::boot_time();
    let mut open: Vec<Question<'_>> = kinds.into_iter().map(question).collect();
    let mut result = Ok(());
    loop {
        let answer = next_answer(&mut open);
        match timer::timeout(bound / QUESTIONS_PER_BOUND, answer).await {
            Some(Some(answer)) => result = result.and(answer),
            Some(None) => return result,
            None => {
                let mut further = kinds_beside(&daemon.beliefs, bound, started_at);
                further.retain(|kind| !open.iter().any(|question| question.kind == *kind));
                open.extend(further.into_iter().map(question));
            }
        }
    }
}

/// The next answer to one of the questions, which is removed; `None` if none is open.
async fn next_answer(open: &mut Vec<Question<'_>>) -> Option<Result<()>> {
    future::poll_fn(|cx| {
        if open.is_empty() {
            return Poll::Ready(None);
        }
        for index in 0..open.len() {
            if let Poll::Ready(answer) = open[index].asking.as_mut().poll(cx) {
                open.swap_remove(index);
                return Poll::Ready(Some(answer));
            }
        }
        Poll::Pending
    })
    .await
}

/// Asks the store whether a kind has changed, and sees to it that its reader reads the change.
async fn ask_store(daemon: &Arc<Daemon>, ask: &Ask, kind: Kind, bound: Duration) -> Result<()> {
    let since = daemon.beliefs.of(kind).span().until;
    match ask(kind, since, Timeouts::of_question(bound)).await? {
        Answer::Unchanged { revision, era, asked_at } => {
            daemon.beliefs.record_latency(asked_at);
            daemon.beliefs.of(kind).record_unchanged(era, since, revision, asked_at);
            for kind in Kind::ALL {
                let is_confirmed = daemon.beliefs.of(kind).record_revision(era, revision, asked_at);
                if is_confirmed && kind == Kind::Configuration {
                    daemon.record_config_confirmed(asked_at);
                }
            }
        }
        Answer::Changed { revision, found, taken_over } => {
            if let Some(found) = found {
                daemon.beliefs.record_latency(found.asked_at);
                daemon.beliefs.of(kind).record_found(found);
            }
            if let Some(asked_at) = taken_over {
                daemon.record_config_confirmed(asked_at);
            }
            check_reader_in_background(daemon, kind, revision, bound);
        }
        Answer::HistoryGone => daemon.beliefs.reader(kind).restart(),
    }
    Ok(())
}

fn check_reader_in_background(daemon: &Arc<Daemon>, kind: Kind, revision: u64, bound: Duration) {
    let (daemon, lead) = (daemon.clone(), bound / LEADS_PER_BOUND);
    executor::detach(async move { check_reader(&daemon, kind, revision, lead).await });
}

/// Restarts a reader that still waits after a time, although there is a change up to a revision.
async fn check_reader(daemon: &Daemon, kind: Kind, revision: u64, lead: Duration) {
    let reader = daemon.beliefs.reader(kind);
    timer::sleep(lead).await;
    if !reader.is_waiting() && reader.revision() < revision {
        // It pauses, and asks next, or it receives an answer.
        timer::sleep(READER_PAUSE_MAX + lead).await;
    }
    if reader.is_waiting() && reader.revision() < revision {
        warn!("event=watch_silent kind={kind} revision={revision}");
        reader.restart();
    }
}
