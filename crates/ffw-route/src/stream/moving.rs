//! Moves a run to another decode server when its own server leaves or the owner of the shard
//! requires it, while its events are still relayed.
//!
//! The state advances only between two events, so that no write to the caller is interrupted.
//!
//! The server ends a run that it was told to move by closing its stream without an end. If the end
//! of the stream is that of the connection, both look the same. A stream that ends with its
//! connection is therefore never complete once its server was, or may have been, told to stop the
//! run.

use {
    crate::{
        dialect::{Move, Source},
        router::Router,
        transport::{self, Failure},
    },
    ffw_control::{
        admission::{self, Decision, Reservation},
        software,
    },
    ffw_protocol::{
        admission::{Ask, Server},
        error::Result,
    },
    ffw_runtime::{executor, timer},
    log::info,
    smol::Task,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which a server must stop a run and copy its KV cache.
const MOVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after a failed reservation before the next one is requested.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How a moved run continues.
#[derive(Debug)]
pub(super) struct Continuation {
    /// Reservation under which the run continues; `None` if it continues under its present one.
    pub(super) reservation: Option<Reservation>,
    /// Location of the run's KV cache.
    pub(super) source: Source,
}

/// An order to stop a run, which its server has got or may have got.
#[derive(Debug)]
struct Order {
    /// How the run continues; `None` if it can't continue from its KV cache.
    continuation: Option<Box<Continuation>>,
    /// Whether the server has answered. If not, it may still carry the order out.
    is_answered: bool,
}

/// State of a run that may have to be moved.
#[derive(Debug)]
pub(super) struct Mover {
    router: Arc<Router>,
    id: Arc<str>,
    pool: Arc<str>,
    server: Server,
    /// Whether an order to stop an earlier run of the request at this server is unanswered, which
    /// the server may carry out late and so on this run.
    has_open_order: bool,
    state: State,
}

#[derive(Debug)]
enum State {
    Idle {
        reserve_after: Option<Instant>,
    },
    Reserving(Task<Result<Decision>>),
    /// The task returns `None` if the server was not reached.
    Moving(Task<Option<Order>>),
    Ordered(Order),
}

impl Mover {
    /// For a run at a server. `is_moved` states whether it goes on after a move, so that the next
    /// move follows only after a delay; for `has_open_order` see the field.
    pub(super) fn new(
        router: &Arc<Router>,
        id: &Arc<str>,
        pool: &Arc<str>,
        server: &Server,
        has_open_order: bool,
        is_moved: bool,
    ) -> Mover {
        let reserve_after = is_moved.then(|| Instant::now() + RESERVE_RETRY_DELAY);
        let state = State::Idle { reserve_after };
        let (router, id, pool) = (router.clone(), id.clone(), pool.clone());
        Mover { router, id, pool, server: server.clone(), has_open_order, state }
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
            State::Ordered(_) => false,
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
            State::Moving(task) => match task.await {
                Some(order) => State::Ordered(order),
                None => return,
            },
            ordered @ State::Ordered(_) => ordered,
        };
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
        State::Moving(executor::spawn(
            async move { move_run(&router, &id, &server, reservation).await },
        ))
    }

    /// Whether the server is being told to stop the run, or may have been.
    pub(super) fn is_moving(&self) -> bool {
        self.has_open_order || matches!(self.state, State::Moving(_) | State::Ordered(_))
    }

    /// Waits for the end of a move that is under way; returns whether the server may have stopped
    /// the run because of a move.
    pub(super) async fn may_have_stopped_run(&mut self) -> bool {
        if let State::Moving(_) = self.state
            && let State::Moving(task) = self.take_state()
        {
            let unanswered = Some(Order { continuation: None, is_answered: false });
            let order = timer::timeout(MOVE_TIMEOUT, task).await.unwrap_or(unanswered);
            self.state = match order {
                Some(order) => State::Ordered(order),
                None => State::Idle { reserve_after: None },
            };
        }
        self.is_moving()
    }

    /// Whether an order to stop the run stays unanswered.
    pub(super) fn leaves_open_order(&self) -> bool {
        self.has_open_order
            || matches!(self.state, State::Ordered(Order { is_answered: false, .. }))
    }

    /// How the run continues after its server has ended it; `None` if no move was under way, or it
    /// failed.
    pub(super) fn into_continuation(self) -> Option<Continuation> {
        match self.state {
            State::Ordered(order) => order.continuation.map(|continuation| *continuation),
            State::Idle { .. } | State::Reserving(_) | State::Moving(_) => None,
        }
    }
}

/// Makes a server stop a run and copy its KV cache to the decode server of a reservation.
/// `None` if the server was not reached.
async fn move_run(
    router: &Router,
    id: &str,
    from: &Server,
    reservation: Reservation,
) -> Option<Order> {
    let target = reservation.grant.decode.clone();
    let order = Move { server: &from.name, id, target: target.address };
    let (head, body) = (router.dialect.write_move)(&order);
    let result = transport::control_call(router, from, &head, &body, MOVE_TIMEOUT).await;
    let (status, handle) = match &result {
        Ok(response) => {
            (response.head.status, (router.dialect.parse_handle)(&response.body.bytes()).ok())
        }
        Err(failure) => {
            info!("event=move_failed request={id} from={} error=\"{failure}\"", from.name);
            let is_sent = !matches!(failure, Failure::Unreached(_) | Failure::Withheld(_));
            return is_sent.then_some(Order { continuation: None, is_answered: false });
        }
    };
    let to = &target.name;
    info!("event=run_moved request={id} from={} to={to} status={status}", from.name);
    // With any other status, the run has stopped and its KV cache is still at the old server.
    let reservation = (status == 200).then_some(reservation);
    let continuation = handle.map(|handle| {
        let source = Source { address: from.address, handle };
        Box::new(Continuation { reservation, source })
    });
    Some(Order { continuation, is_answered: true })
}
