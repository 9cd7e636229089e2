//! A model engine that either prefills or decodes: slots, memory pieces, short-lived prefill
//! results, a rate-limited link, lagging reports, and orders with or without fencing.

pub mod decode;
pub mod prefill;

use {
    crate::route,
    ffw_backend::engine::{CacheEvent, Completion, HeldRequest, Load, Loaded, Order},
    ffw_http::server::{self, CallerConnection, Handle, Limits},
    ffw_protocol::{
        error::{Error, Kind},
        instance::Role,
    },
    ffw_runtime::{executor, timer},
    http_types::{Method, Request, Response},
    serde::{Deserialize, Serialize},
    serde_json::json,
    smol::net::TcpListener,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Sizes and rates of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Whether it prefills or decodes.
    pub role: Role,
    /// Requests that it decodes at once.
    pub slots: u32,
    /// Pieces of memory.
    pub pieces: u32,
    /// Tokens in a piece.
    pub piece_tokens: u32,
    /// Prompt tokens that it prefills in a second.
    pub prefill_rate: u32,
    /// Prompt tokens whose KV cache its link takes in a second.
    pub link_rate: u32,
    /// Time between two tokens of a stream.
    pub token_time: Duration,
    /// Time for which a prefill result survives.
    pub result_life: Duration,
    /// Lag of the load report.
    pub report_lag: Duration,
    /// Prefixes that the cache holds.
    pub cache_prefixes: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fences: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            role: Role::Decode,
            slots: 20,
            pieces: 160,
            piece_tokens: 1024,
            prefill_rate: 20_000,
            link_rate: 200_000,
            token_time: Duration::from_millis(25),
            result_life: Duration::from_millis(800),
            report_lag: Duration::from_millis(300),
            cache_prefixes: 64,
            fences: false,
        }
    }
}

/// Faults to bring about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every token is sent twice.
    pub doubled: bool,
    /// After each fifth token comes one of another attempt.
    pub crossed: bool,
    /// Streams still to come that are cut.
    pub cut_streams: u32,
    /// Tokens before the cut.
    pub cut_after: u32,
    /// Streams still to come that fall silent without an end.
    pub hung_streams: u32,
    /// Cancels still to come that take effect without an answer, or get lost before.
    pub lost_cancels: u32,
    /// Transfers still to come that stall until the result has expired.
    pub stalled_transfers: u32,
    /// Prefills still to come that fail after their work.
    pub failed_prefills: u32,
    /// The engine says that it means to leave.
    pub leaving: bool,
}

/// What an engine counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Prefills started.
    pub prefills: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed whose result was never taken.
    pub wasted_tokens: u64,
    /// Transfers completed.
    pub transfers: u64,
    /// Output tokens generated.
    pub tokens: u64,
    /// Calls refused for want of room.
    pub refused: u64,
    /// Most requests that held a slot at once.
    pub peak_running: u32,
    /// Orders obeyed.
    pub orders: u64,
}

#[derive(Debug, Default)]
struct Data {
    faults: Faults,
    counters: Counters,
    blocks: Vec<prefill::Block>,
    running: Vec<decode::Running>,
    queued_tokens: u32,
    cancelled: Vec<Arc<str>>,
    cached: Vec<u64>,
    events: Vec<CacheEvent>,
    loaded: Loaded,
    reported: Load,
}

/// An engine's state, shared by its handlers.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Settings,
    address: SocketAddr,
    data: Arc<Mutex<Data>>,
    compute: Arc<smol::lock::Mutex<()>>,
    link: Arc<smol::lock::Mutex<()>>,
}

#[derive(Deserialize)]
struct Named {
    request_id: Arc<str>,
}

impl Engine {
    /// An idle engine that answers at `address`.
    pub fn new(settings: Settings, address: SocketAddr) -> Engine {
        Engine {
            settings,
            address,
            data: Arc::default(),
            compute: Arc::default(),
            link: Arc::default(),
        }
    }

    /// Serves until the handle stops.
    pub async fn serve(self, listener: TcpListener, handle: Handle) {
        let reporter = self.clone();
        let _reports = timer::run_periodically(self.settings.report_lag, move || {
            reporter.refresh_report();
            async {}
        });
        let handler = move |request, _: CallerConnection| self.clone().handle(request);
        server::serve(listener, Limits::default(), handle, handler).await;
    }

    /// Sets the faults to bring about.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// What was counted so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Attempts that hold memory.
    pub fn held(&self) -> Vec<HeldRequest> {
        let data = self.lock();
        let blocks = data.blocks.iter().map(|one| (&one.request_id, one.pieces));
        let running = data.running.iter().map(|one| (&one.request_id, one.pieces));
        blocks
            .chain(running)
            .map(|(id, pieces)| HeldRequest { request_id: id.clone(), pieces })
            .collect()
    }

    /// Ends an attempt's work as a crash of the engine would.
    pub fn drop_stream(&self, request_id: &Arc<str>) {
        self.lock().drop_work(request_id);
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refresh_report(&self) {
        let mut data = self.lock();
        data.reported = Load {
            running: (data.running.len() + data.blocks.len()) as u32,
            pieces: data.pieces(),
            queued_tokens: data.queued_tokens,
            leaving: data.faults.leaving,
        };
    }

    fn pieces_of(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.settings.piece_tokens.max(1)).max(1)
    }

    async fn handle(self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        let method = request.method();
        route::answer(self.call(&mut request, method, &path).await)
    }

    async fn call(
        &self,
        request: &mut Request,
        method: Method,
        path: &str,
    ) -> Result<Response, Error> {
        let done = || server::json_response(200, &json!({}));
        Ok(match (method, path) {
            (Method::Post, "/v1/completions") => {
                let completion: Completion = route::body(request).await?;
                // The work goes on when the caller leaves; only a cancel ends it.
                let engine = self.clone();
                executor::spawn(async move {
                    match completion.kv_transfer_params {
                        None => engine.prefill(completion).await,
                        Some(_) => engine.decode(completion).await,
                    }
                })
                .await
            }
            (Method::Post, "/v1/kv/import") => {
                let (engine, completion) = (self.clone(), route::body(request).await?);
                executor::spawn(async move { engine.import(completion).await }).await
            }
            (Method::Post, "/v1/kv/export") => {
                let named: Named = route::body(request).await?;
                self.export(&named.request_id)
            }
            (Method::Post, "/v1/cancel") => {
                let named: Named = route::body(request).await?;
                self.cancel(&named.request_id).await
            }
            (Method::Get, "/v1/load") => server::json_response(200, &self.lock().reported),
            (Method::Get, "/v1/held") => server::json_response(200, &self.held()),
            (Method::Get, "/v1/cache-events") => {
                let after = route::query(request, "after").and_then(|text| text.parse().ok());
                self.cache_events(after.unwrap_or(0))
            }
            (Method::Get, "/v1/orders") => server::json_response(200, &self.lock().loaded),
            (Method::Post, "/v1/orders") => self.order(route::body(request).await?),
            (Method::Get, "/control/counters") => server::json_response(200, &self.counters()),
            (Method::Post, "/control/faults") => {
                self.set_faults(route::body(request).await?);
                done()
            }
            _ => return Err(Error::new(Kind::NotFound, path)),
        })
    }

    async fn cancel(&self, request_id: &Arc<str>) -> Response {
        let is_lost = {
            let mut data = self.lock();
            let is_lost = data.faults.lost_cancels > 0;
            if is_lost {
                data.faults.lost_cancels -= 1;
            } else {
                data.drop_work(request_id);
            }
            is_lost
        };
        if is_lost {
            timer::sleep(Duration::from_secs(4)).await;
        }
        server::json_response(200, &json!({}))
    }

    fn cache_events(&self, after: u64) -> Response {
        let data = self.lock();
        // Every seventh event is never published: gaps are part of the protocol.
        let published = data.events.iter().filter(|one| one.number > after && one.number % 7 != 0);
        let events: Vec<CacheEvent> = published.cloned().collect();
        server::json_response(200, &events)
    }

    fn order(&self, order: Order) -> Response {
        let mut data = self.lock();
        if self.settings.fences && order.fence < data.loaded.fence {
            return route::status(409, "old fencing number");
        }
        let fence = data.loaded.fence.max(order.fence);
        data.loaded = Loaded { model: order.model, version: order.version, fence };
        data.counters.orders += 1;
        server::json_response(200, &data.loaded)
    }
}

impl Data {
    fn pieces(&self) -> u32 {
        let blocks = self.blocks.iter().map(|one| one.pieces);
        blocks.chain(self.running.iter().map(|one| one.pieces)).sum()
    }

    fn drop_work(&mut self, request_id: &Arc<str>) {
        let wasted = self.blocks.iter().filter(|one| one.request_id == *request_id && one.ready);
        self.counters.wasted_tokens += wasted.map(|one| u64::from(one.computed)).sum::<u64>();
        self.blocks.retain(|one| one.request_id != *request_id);
        self.running.retain(|one| one.request_id != *request_id);
        self.cancelled.push(request_id.clone());
        if self.cancelled.len() > 1_024 {
            self.cancelled.remove(0);
        }
    }
}
