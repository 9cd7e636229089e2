//! Streams of a server: their events, how they end, and the moves that stop them.

use {
    super::{CRASH_DELAY, EVENT_COUNT, Worker, oddity},
    crate::wire::{Exchange, IO_TIMEOUT},
    ffw_http::message::Response,
    ffw_runtime::timer,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
        time::Duration,
    },
};

/// Time between two events of a stream, unless [`Worker::set_event_interval`] sets another one.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Time by which a late answer to a move is late: longer than a daemon waits for it.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(1_200);

/// Period at which it is checked whether a stream that finishes has ended.
const FINISH_CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Prefix of the KV cache handle of a moved run.
const MOVED_PREFIX: &str = "moved-";

/// Whether a `Kv-Source` is that of a moved run.
pub(super) fn is_moved(source: &str) -> bool {
    source.contains(MOVED_PREFIX)
}

/// How the end of a stream is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamFraming {
    /// The body comes in chunks.
    #[default]
    Chunked,
    /// The body ends with the connection.
    UntilClose,
    /// As [`Chunked`](StreamFraming::Chunked) and [`UntilClose`](StreamFraming::UntilClose) in
    /// turn.
    Alternating,
}

/// How a server answers the order to move a run. It has stopped the run, unless it knows none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MoveAnswer {
    /// 200 with the handle of the copy.
    #[default]
    Copied,
    /// 503 with the handle of what stayed at the server.
    NotCopied,
    /// 404, as the run has come to its end when the order arrives.
    NotFound,
    /// 200 with the handle, too late.
    Late,
    /// The connection ends without an answer.
    Lost,
}

/// Streams of a server, and how it serves them. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(super) struct Streams(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    version: Option<String>,
    event_interval: Duration,
    framing: StreamFraming,
    move_answer: MoveAnswer,
    /// Targets of all moves.
    move_targets: Vec<SocketAddr>,
    /// Ids of the streams that are running.
    running: Vec<String>,
    /// Ids of the streams that are to stop because they move to another server.
    stopping: Vec<String>,
    /// Ids of the streams that come to their end without further pauses.
    finishing: Vec<String>,
    /// Number of streams that have begun.
    begun: usize,
    /// Whether a stream with the crashing part crashes the server after its first event.
    crashes_after_event: bool,
}

impl Default for State {
    fn default() -> State {
        State {
            version: None,
            event_interval: EVENT_INTERVAL,
            framing: StreamFraming::default(),
            move_answer: MoveAnswer::default(),
            move_targets: Vec::new(),
            running: Vec::new(),
            stopping: Vec::new(),
            finishing: Vec::new(),
            begun: 0,
            crashes_after_event: false,
        }
    }
}

impl Streams {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a stream is to stop, which is then done.
    fn take_stop(&self, id: &str) -> bool {
        let mut state = self.lock();
        let count = state.stopping.len();
        state.stopping.retain(|stopping| stopping != id);
        state.stopping.len() < count
    }

    pub(super) fn crashes_after_event(&self) -> bool {
        self.lock().crashes_after_event
    }

    /// Lets a stream come to its end, and waits until it has.
    async fn finish(&self, id: &str) {
        self.lock().finishing.push(id.to_owned());
        let is_running = || self.lock().running.iter().any(|running| running == id);
        while is_running() {
            timer::sleep(FINISH_CHECK_PERIOD).await;
        }
        self.lock().finishing.retain(|finishing| finishing != id);
    }

    /// Time until the next event of a stream.
    fn pause(&self, id: &str) -> Duration {
        let state = self.lock();
        let is_finishing = state.finishing.iter().any(|finishing| finishing == id);
        if is_finishing { Duration::ZERO } else { state.event_interval }
    }

    /// Whether the stream that begins comes in chunks.
    fn next_is_chunked(&self) -> bool {
        let mut state = self.lock();
        state.begun += 1;
        match state.framing {
            StreamFraming::Chunked => true,
            StreamFraming::UntilClose => false,
            StreamFraming::Alternating => state.begun % 2 == 1,
        }
    }
}

/// Removes the id of a run from its server's list of running ids when dropped.
struct RunningId {
    streams: Streams,
    id: String,
}

impl RunningId {
    fn new(streams: &Streams, id: &str) -> RunningId {
        streams.lock().running.push(id.to_owned());
        RunningId { streams: streams.clone(), id: id.to_owned() }
    }
}

impl Drop for RunningId {
    fn drop(&mut self) {
        self.streams.lock().running.retain(|id| *id != self.id);
    }
}

impl Worker {
    /// Sets the version of its software, which the events of its streams show.
    pub fn set_version(&self, version: Option<&str>) {
        self.streams.lock().version = version.map(str::to_owned);
    }

    /// Version of its software; `None` if it states none.
    pub fn version(&self) -> Option<String> {
        self.streams.lock().version.clone()
    }

    /// Sets whether a stream with the crashing part crashes it after its first event, and not before
    /// it.
    pub fn set_crashes_after_event(&self, crashes_after_event: bool) {
        self.streams.lock().crashes_after_event = crashes_after_event;
    }

    /// Sets the time between two events of a stream.
    pub fn set_event_interval(&self, interval: Duration) {
        self.streams.lock().event_interval = interval;
    }

    /// Sets how the end of new streams is told.
    pub fn set_framing(&self, framing: StreamFraming) {
        self.streams.lock().framing = framing;
    }

    /// Sets how it answers orders to move a run.
    pub fn set_move_answer(&self, answer: MoveAnswer) {
        self.streams.lock().move_answer = answer;
    }

    /// Targets of the moves that it was ordered to make, of whatever run.
    pub fn move_targets(&self) -> Vec<SocketAddr> {
        self.streams.lock().move_targets.clone()
    }

    /// Number of streams that it is running.
    pub fn stream_count(&self) -> usize {
        self.streams.lock().running.len()
    }

    /// Requests the end of a run that is to move to another server, and answers with the handle
    /// with which the run continues, or as [`set_move_answer`](Worker::set_move_answer) says.
    pub(super) async fn stop_run(self, mut exchange: Exchange) -> Option<Exchange> {
        let body: serde_json::Value = serde_json::from_slice(&exchange.body).ok()?;
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let (is_running, answer) = {
            let mut state = self.streams.lock();
            let target = body["target"].as_str().and_then(|text| text.parse::<SocketAddr>().ok());
            state.move_targets.extend(target);
            let is_running = state.running.contains(&id);
            let answer = if is_running { state.move_answer } else { MoveAnswer::NotFound };
            if answer != MoveAnswer::NotFound {
                state.stopping.push(id.clone());
            }
            (is_running, answer)
        };
        if is_running && answer == MoveAnswer::NotFound {
            self.streams.finish(&id).await;
        }
        let handle = format!(r#"{{"kvHandle":"{MOVED_PREFIX}{id}","created":0}}"#);
        let (status, body) = match answer {
            MoveAnswer::Copied | MoveAnswer::Late => (200, &*handle),
            MoveAnswer::NotCopied => (503, &*handle),
            MoveAnswer::NotFound => (404, "{}"),
            MoveAnswer::Lost => return None,
        };
        if answer == MoveAnswer::Late {
            timer::sleep(LATE_ANSWER_TIME).await;
        }
        exchange.answer(self.new_head(status), body.as_bytes()).await.ok()?;
        Some(exchange)
    }

    pub(super) async fn run_stream(
        self,
        mut exchange: Exchange,
        mut head: Response,
        id: &str,
        is_poisonous: bool,
    ) -> Option<Exchange> {
        let last = exchange.head.fields.text("Last-Event-Id").and_then(|text| text.parse().ok());
        let first: u32 = last.map_or(0, |last: u32| last + 1);
        if let Some((error, body)) = self.error_for(&head, first) {
            exchange.answer(error, body.as_bytes()).await.ok()?;
            return Some(exchange);
        }
        head.fields.set("Content-Type", "text/event-stream");
        if self.is_endless() {
            head.fields.set("Transfer-Encoding", "chunked");
            oddity::write_without_end(&mut exchange, &head.to_bytes()).await?;
        }
        let is_chunked = self.streams.next_is_chunked();
        match is_chunked {
            true => head.fields.set("Transfer-Encoding", "chunked"),
            false => {
                head.fields.set("Connection", "close");
                // Whatever ends the connection early must not look like the end of the stream.
                exchange.connection.reset_on_close();
            }
        }
        if is_poisonous {
            self.write_event(&mut exchange, head.to_bytes(), first, id, is_chunked).await?;
            timer::sleep(CRASH_DELAY).await;
            self.crash();
            return None;
        }
        self.write_events(&mut exchange, head.to_bytes(), first, id, is_chunked).await?;
        if !is_chunked {
            exchange.connection.end_on_close();
            return None;
        }
        exchange.connection.write(b"0\r\n\r\n", IO_TIMEOUT).await.ok()?;
        Some(exchange)
    }

    /// Writes the events from `first` on, after `bytes`. `None` if the stream ends before its last
    /// event.
    async fn write_events(
        &self,
        exchange: &mut Exchange,
        mut bytes: Vec<u8>,
        first: u32,
        id: &str,
        is_chunked: bool,
    ) -> Option<()> {
        if first >= EVENT_COUNT {
            return exchange.connection.write(&bytes, IO_TIMEOUT).await.ok();
        }
        let watcher = exchange.connection.close_watcher();
        let _running_id = RunningId::new(&self.streams, id);
        for number in first..EVENT_COUNT {
            if self.streams.take_stop(id) {
                exchange.connection.end_on_close();
                return None;
            }
            let head = std::mem::take(&mut bytes);
            self.write_event(exchange, head, number, id, is_chunked).await?;
            if self.aborts_responses.load(Ordering::SeqCst) && number > EVENT_COUNT / 2 {
                if !is_chunked {
                    // Without a part of an event, the end of the connection is that of the stream.
                    exchange.connection.write(b"id: ", IO_TIMEOUT).await.ok()?;
                    exchange.connection.end_on_close();
                }
                return None;
            }
            let interval = self.streams.pause(id);
            // A run ends when its caller has closed the connection.
            let closed_by_caller = async {
                watcher.closed().await;
                true
            };
            let pause = async {
                timer::sleep(interval).await;
                false
            };
            if smol::future::or(closed_by_caller, pause).await {
                return None;
            }
        }
        if self.streams.take_stop(id) {
            exchange.connection.end_on_close();
            return None;
        }
        Some(())
    }

    /// Writes an event after `bytes`.
    async fn write_event(
        &self,
        exchange: &mut Exchange,
        mut bytes: Vec<u8>,
        number: u32,
        id: &str,
        is_chunked: bool,
    ) -> Option<()> {
        let event = self.event(number, id);
        match is_chunked {
            true => bytes.extend(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()),
            false => bytes.extend_from_slice(event.as_bytes()),
        }
        exchange.connection.write(&bytes, IO_TIMEOUT).await.ok()
    }

    fn event(&self, number: u32, id: &str) -> String {
        match self.version() {
            Some(version) => format!("id: {number}\ndata: {id} {version}\n\n"),
            None => format!("id: {number}\ndata: {id}\n\n"),
        }
    }
}
