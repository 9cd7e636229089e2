//! Moves a run to another decode server when its own server leaves or the owner of the shard
//! requires it, while its events are still relayed.
//!
//! The state advances only between two events, so that no write to the caller is interrupted.
//!
//! The server ends a run that it was told to move by closing its stream without an end. If the end
//! of the stream is that of the connection, both look the same. A stream that ends with its
//! connection is therefore complete only if its server has stopped the run by no order. An order
//! that the server answers without having carried it out stopped nothing; one that stays open may
//! have stopped this run or a later one of the request at the same server.

mod order;

use {
    crate::router::Router,
    ffw_control::{
        admission::{self, Decision, Reservation},
        software,
    },
    ffw_protocol::{
        admission::{Ask, Server},
        error::Result,
    },
    ffw_runtime::{executor, timer},
    order::{MOVE_TIMEOUT, Outcome},
    smol::Task,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub(super) use order::{Continuation, Effect};

/// Time after a failed reservation or move before the next reservation is requested.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// State of a run that may have to be moved.
#[derive(Debug)]
pub(super) struct Mover {
    router: Arc<Router>,
    id: Arc<str>,
    pool: Arc<str>,
    server: Server,
    /// Whether an order to stop this run, or an earlier one of the request at this server, is open.
    has_open_order: bool,
    /// What is known of the orders that have been answered or given up.
    effect: Effect,
    state: State,
}

#[derive(Debug)]
enum State {
    Idle { reserve_after: Option<Instant> },
    Reserving(Task<Result<Decision>>),
    Moving(Task<Outcome>),
    Stopped(Box<Continuation>),
}

impl Mover {
    /// For a run at a server. `has_open_order` states whether an order to stop an earlier run of the
    /// request at this server is open; `is_moved`, whether this run goes on after a move, so that
    /// the next move follows only after a delay.
    pub(super) fn new(
        router: &Arc<Router>,
        id: &Arc<str>,
        pool: &Arc<str>,
        server: &Server,
        has_open_order: bool,
        is_moved: bool,
    ) -> Mover {
        let reserve_after = is_moved.then(|| Instant::now() + RESERVE_RETRY_DELAY);
        let effect = if has_open_order { Effect::Open } else { Effect::Unsent };
        let (router, id, pool) = (router.clone(), id.clone(), pool.clone());
        let state = State::Idle { reserve_after };
        Mover { router, id, pool, server: server.clone(), has_open_order, effect, state }
    }

    /// Advances to the next state, if possible. `build_ask` builds the admission request for a
    /// reservation to move to; `None` if it can't be built.
    pub(super) async fn advance(
        &mut self,
        reservation: &Reservation,
        build_ask: impl FnOnce() -> Option<Ask>,
    ) {
        let can_advance = match &self.state {
            State::Idle { reserve_after } => {
                let may_reserve = reserve_after.is_none_or(|time| Instant::now() >= time);
                may_reserve && (self.is_leaving() || reservation.must_move())
            }
            State::Reserving(task) => task.is_finished(),
            State::Moving(task) => task.is_finished(),
            State::Stopped(_) => false,
        };
        if !can_advance {
            return;
        }
        self.state = match self.take_state() {
            State::Idle { .. } if !self.has_target() => return,
            State::Idle { .. } => match build_ask() {
                Some(ask) => self.start_reserving(ask),
                None => return,
            },
            State::Reserving(task) => match task.await {
                Ok(Decision::Reservation(reservation))
                    if self.may_move_to(&reservation.grant.decode.name) =>
                {
                    self.start_move(reservation)
                }
                Ok(Decision::Reservation(_) | Decision::Refusal(_)) | Err(_) => return,
            },
            State::Moving(task) => return self.record_outcome(task.await),
            stopped @ State::Stopped(_) => stopped,
        };
    }

    /// Records what came of an order. Unless it has stopped the run, another one may follow.
    fn record_outcome(&mut self, outcome: Outcome) {
        let effect = match outcome {
            Outcome::Stopped(continuation) => {
                self.state = State::Stopped(continuation);
                Effect::Stopped
            }
            Outcome::Other(effect) => effect,
        };
        self.has_open_order |= effect == Effect::Open;
        self.effect = self.effect.max(effect);
    }

    /// The state; in its place stays one in which the next reservation is requested after a delay.
    fn take_state(&mut self) -> State {
        let idle = State::Idle { reserve_after: Some(Instant::now() + RESERVE_RETRY_DELAY) };
        std::mem::replace(&mut self.state, idle)
    }

    fn is_leaving(&self) -> bool {
        !self.router.daemon.view.takes_work(&self.server.name)
    }

    /// Whether another server may take the run over.
    fn has_target(&self) -> bool {
        let (router, pool) = (&self.router, &self.pool);
        let is_target = |name: &Arc<str>| *name != self.server.name && self.may_move_to(name);
        software::decode_servers(&router.daemon, pool).iter().any(is_target)
    }

    /// Whether a server takes work and has the software version of the run's server, whose KV cache
    /// it goes on from.
    fn may_move_to(&self, server: &str) -> bool {
        let software = &self.router.daemon.software;
        let version = software.of(&self.server.name);
        version.is_some() && version == software.of(server) && self.router.may_send(server)
    }

    fn start_reserving(&self, ask: Ask) -> State {
        let (router, pool) = (self.router.clone(), self.pool.clone());
        let reserving = async move { admission::reserve(&router.daemon, &pool, ask).await };
        State::Reserving(executor::spawn(reserving))
    }

    fn start_move(&self, reservation: Reservation) -> State {
        let (router, id, server) = (self.router.clone(), self.id.clone(), self.server.clone());
        let moving = async move { order::send(&router, &id, &server, reservation).await };
        State::Moving(executor::spawn(moving))
    }

    /// Waits for the answer to an order that is under way, and returns what is known of all orders.
    pub(super) async fn settle(&mut self) -> Effect {
        if let State::Moving(_) = self.state
            && let State::Moving(task) = self.take_state()
        {
            let unanswered = Outcome::Other(Effect::Open);
            let outcome = timer::timeout(MOVE_TIMEOUT, task).await.unwrap_or(unanswered);
            self.record_outcome(outcome);
        }
        self.effect
    }

    /// What is known of the orders now; one that is under way counts as open.
    pub(super) fn effect(&self) -> Effect {
        let is_moving = matches!(self.state, State::Moving(_));
        if is_moving { self.effect.max(Effect::Open) } else { self.effect }
    }

    /// Whether an order is open that the server may still carry out, on a later run of the request.
    pub(super) fn has_open_order(&self) -> bool {
        self.has_open_order
    }

    /// How the run continues after its server has ended it; `None` if no order has stopped it.
    pub(super) fn into_continuation(self) -> Option<Continuation> {
        match self.state {
            State::Stopped(continuation) => Some(*continuation),
            State::Idle { .. } | State::Reserving(_) | State::Moving(_) => None,
        }
    }
}
