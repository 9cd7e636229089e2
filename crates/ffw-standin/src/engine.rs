//! A stand-in for a model engine that either prefills or decodes. It models slots, memory pieces,
//! prefill results that expire after a short time, a rate-limited link, load reports that are out
//! of date, and orders with or without fencing.

pub mod decode;
pub mod prefill;

use {
    crate::handler,
    ffw_backend::engine::{CacheEvent, Completion, HeldRequest, Load, Loaded, Order},
    ffw_http::server::{self, CallerConnection, Limits},
    ffw_protocol::{
        error::{Error, Kind},
        instance::Role,
    },
    ffw_runtime::{executor, listener::Tracker, timer},
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
    /// Maximum number of requests that a decode engine holds at once.
    pub slots: u32,
    /// Memory pieces of a decode engine.
    pub pieces: u32,
    /// Tokens in a memory piece.
    pub piece_tokens: u32,
    /// Prompt tokens that a prefill engine computes per second.
    pub prefill_rate: u32,
    /// Prompt tokens whose KV cache the link of a decode engine transfers per second.
    pub link_rate: u32,
    /// Time between two tokens of a stream.
    pub token_time: Duration,
    /// Time for which a prefill engine keeps a result.
    pub result_life: Duration,
    /// Period at which the load report is refreshed; the report can be out of date by this time.
    pub report_lag: Duration,
    /// Maximum number of prefixes in the prefix cache.
    pub cache_prefixes: usize,
    /// Whether it refuses orders whose fencing number is below the highest that it has received.
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

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every token is sent twice.
    pub doubled: bool,
    /// After the token at each fifth position, a token of another attempt is sent.
    pub crossed: bool,
    /// Number of next streams whose connection is closed before the end, after `cut_after` tokens.
    /// The engine goes on generating.
    pub cut_streams: u32,
    /// Number of tokens that a stream sends before it is cut or hangs.
    pub cut_after: u32,
    /// Number of next streams that send nothing more after `cut_after` tokens and stay open until
    /// they are cancelled.
    pub hung_streams: u32,
    /// Number of next cancels that have no effect and whose response is delayed by 4 s, which is
    /// longer than a daemon waits for it.
    pub lost_cancels: u32,
    /// Number of next transfers that stall until the prefill result has expired.
    pub stalled_transfers: u32,
    /// Number of next prefills that fail after the computation.
    pub failed_prefills: u32,
    /// The load report announces that the engine will leave.
    pub leaving: bool,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Prefills started, including those cancelled before.
    pub prefills: u64,
    /// Prompt tokens computed, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Prompt tokens computed whose result was not exported: it expired, or the prefill failed or
    /// was cancelled.
    pub wasted_tokens: u64,
    /// Transfers completed.
    pub transfers: u64,
    /// Output tokens generated.
    pub tokens: u64,
    /// Imports refused because no slot or memory was free, or because the request was cancelled
    /// before.
    pub refused: u64,
    /// Maximum number of requests that held a slot at once.
    pub peak_running: u32,
    /// Orders accepted.
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

/// A model engine; clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Settings,
    address: SocketAddr,
    data: Arc<Mutex<Data>>,
    compute: Arc<smol::lock::Mutex<()>>,
    link: Arc<smol::lock::Mutex<()>>,
}

#[derive(Deserialize)]
struct AttemptRef {
    request_id: Arc<str>,
}

impl Engine {
    /// Makes an idle engine; `address` is where decode engines can fetch its prefill results.
    pub fn new(settings: Settings, address: SocketAddr) -> Engine {
        Engine {
            settings,
            address,
            data: Arc::default(),
            compute: Arc::default(),
            link: Arc::default(),
        }
    }

    /// Serves until the tracker is closed.
    pub async fn serve(self, listener: TcpListener, tracker: Tracker) {
        let engine = self.clone();
        let _refresh_task = timer::run_periodically(self.settings.report_lag, move || {
            engine.refresh_report();
            async {}
        });
        let handler = move |request, _: CallerConnection| self.clone().handle(request);
        server::serve(listener, Limits::default(), tracker, handler).await;
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// The faults that are left to inject.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Attempts that hold memory, with the number of pieces.
    pub fn held(&self) -> Vec<HeldRequest> {
        let data = self.lock();
        let blocks = data.blocks.iter().map(|block| (&block.request_id, block.pieces));
        let running = data.running.iter().map(|running| (&running.request_id, running.pieces));
        blocks
            .chain(running)
            .map(|(id, pieces)| HeldRequest { request_id: id.clone(), pieces })
            .collect()
    }

    /// Ends an attempt's work and frees its memory, as a crash of the engine would: a stream ends
    /// without `[DONE]`.
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
        handler::response(self.call(&mut request, method, &path).await)
    }

    async fn call(
        &self,
        request: &mut Request,
        method: Method,
        path: &str,
    ) -> Result<Response, Error> {
        let empty_response = || server::json_response(200, &json!({}));
        Ok(match (method, path) {
            (Method::Post, "/v1/completions") => {
                let completion: Completion = handler::json_body(request).await?;
                // The task continues when the client closes the connection; only a cancel ends it.
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
                let (engine, completion) = (self.clone(), handler::json_body(request).await?);
                executor::spawn(async move { engine.import(completion).await }).await
            }
            (Method::Post, "/v1/kv/export") => {
                let attempt: AttemptRef = handler::json_body(request).await?;
                self.export(&attempt.request_id)
            }
            (Method::Post, "/v1/cancel") => {
                let attempt: AttemptRef = handler::json_body(request).await?;
                self.cancel(&attempt.request_id).await
            }
            (Method::Get, "/v1/load") => server::json_response(200, &self.lock().reported),
            (Method::Get, "/v1/held") => server::json_response(200, &self.held()),
            (Method::Get, "/v1/cache-events") => {
                let after =
                    handler::query_parameter(request, "after").and_then(|text| text.parse().ok());
                self.cache_events(after.unwrap_or(0))
            }
            (Method::Get, "/v1/orders") => server::json_response(200, &self.lock().loaded),
            (Method::Post, "/v1/orders") => self.order(handler::json_body(request).await?),
            (Method::Get, "/control/counters") => server::json_response(200, &self.counters()),
            (Method::Post, "/control/faults") => {
                self.set_faults(handler::json_body(request).await?);
                empty_response()
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
        // Every seventh event is never published, because the protocol allows gaps in the numbers.
        let published =
            data.events.iter().filter(|event| event.number > after && event.number % 7 != 0);
        let events: Vec<CacheEvent> = published.cloned().collect();
        server::json_response(200, &events)
    }

    fn order(&self, order: Order) -> Response {
        let mut data = self.lock();
        if self.settings.fences && order.fence < data.loaded.fence {
            return handler::status_response(409, "the order has an old fencing number");
        }
        let fence = data.loaded.fence.max(order.fence);
        data.loaded = Loaded { model: order.model, version: order.version, fence };
        data.counters.orders += 1;
        server::json_response(200, &data.loaded)
    }
}

impl Data {
    fn pieces(&self) -> u32 {
        let blocks = self.blocks.iter().map(|block| block.pieces);
        blocks.chain(self.running.iter().map(|running| running.pieces)).sum()
    }

    /// Frees the attempt's memory and records it as cancelled; the last 1,024 such ids are kept.
    fn drop_work(&mut self, request_id: &Arc<str>) {
        let wasted =
            self.blocks.iter().filter(|block| block.request_id == *request_id && block.is_ready);
        self.counters.wasted_tokens +=
            wasted.map(|block| u64::from(block.computed_tokens)).sum::<u64>();
        self.blocks.retain(|block| block.request_id != *request_id);
        self.running.retain(|running| running.request_id != *request_id);
        self.cancelled.push(request_id.clone());
        if self.cancelled.len() > 1_024 {
            self.cancelled.remove(0);
        }
    }
}
