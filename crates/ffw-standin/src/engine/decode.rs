//! The decode side of an engine: it reserves slots and memory, imports prefill results over a
//! rate-limited link, one at a time, and streams tokens.

use {
    super::{Engine, Faults},
    crate::{answer, handler},
    ffw_backend::engine::{Completion, Token},
    ffw_http::{
        body::{self, Writer},
        client::{self, Call},
        fault::Fault,
        server,
    },
    ffw_runtime::{executor, timer},
    http_types::{Method, Response},
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// A request that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) request_id: Arc<str>,
    pub(super) pieces: u32,
    is_imported: bool,
}

impl Engine {
    /// Reserves a slot and memory, and transfers the prefill result from its prefill engine.
    ///
    /// Status 429 means that the reservation failed, 410 that the prefill engine no longer has the
    /// result, 502 that the transfer failed for another reason, and 499 that the request was
    /// cancelled during the transfer.
    pub(super) async fn import(&self, completion: Completion) -> Response {
        let id = completion.request_id.clone();
        let Some(handoff) = completion.kv_transfer_params.clone() else {
            return handler::status_response(400, "kv_transfer_params is missing");
        };
        if !self.reserve(&completion) {
            return handler::status_response(
                429,
                "no free slot or memory, or the request was cancelled",
            );
        }
        let link_guard = self.link.lock().await;
        self.stall_transfer().await;
        let export = Call::new(handoff.remote_host, Method::Post, "/v1/kv/export")
            .json(&json!({ "request_id": handoff.remote_block }));
        let exported = client::fetch::<serde_json::Value>(&export).await;
        if let Err(fault) = exported {
            self.lock().running.retain(|running| running.request_id != id);
            let status =
                if matches!(fault, Fault::Refused { status: 410, .. }) { 410 } else { 502 };
            return handler::status_response(status, &fault.to_string());
        }
        let seconds = f64::from(completion.prompt_tokens) / f64::from(self.settings.link_rate);
        timer::sleep(Duration::from_secs_f64(seconds)).await;
        drop(link_guard);
        let mut data = self.lock();
        data.counters.transfers += 1;
        match data.running.iter_mut().find(|running| running.request_id == id) {
            Some(running) => running.is_imported = true,
            None => return handler::status_response(499, "cancelled"),
        }
        server::json_response(200, &json!({}))
    }

    fn reserve(&self, completion: &Completion) -> bool {
        let pieces = self.pieces_of(completion.prompt_tokens + completion.max_tokens);
        let mut data = self.lock();
        let used: u32 = data.running.iter().map(|running| running.pieces).sum();
        let has_room = (data.running.len() as u32) < self.settings.slots
            && used + pieces <= self.settings.pieces
            && !data.cancelled.contains(&completion.request_id);
        if !has_room {
            data.counters.refused += 1;
            return false;
        }
        let request_id = completion.request_id.clone();
        data.running.push(Running { request_id, pieces, is_imported: false });
        data.counters.peak_running = data.counters.peak_running.max(data.running.len() as u32);
        true
    }

    /// Applies [`Faults::stalled_transfers`]: waits until the prefill result has expired.
    async fn stall_transfer(&self) {
        let stalls = {
            let mut data = self.lock();
            let stalls = data.faults.stalled_transfers > 0;
            if stalls {
                data.faults.stalled_transfers -= 1;
            }
            stalls
        };
        if stalls {
            timer::sleep(self.settings.result_life + Duration::from_millis(100)).await;
        }
    }

    /// Streams the tokens of an imported request.
    pub(super) async fn decode(&self, completion: Completion) -> Response {
        let id = &completion.request_id;
        let is_imported = self
            .lock()
            .running
            .iter()
            .any(|running| running.request_id == *id && running.is_imported);
        if !is_imported {
            return handler::status_response(409, "the request has no imported prefill result");
        }
        let (writer, feed) = body::channel();
        let faults = self.take_stream_faults();
        executor::detach(self.clone().generate(completion, writer, faults));
        server::stream_response("text/event-stream", feed)
    }

    /// Returns the faults for one stream, and counts it against the numbers of streams to cut and
    /// to hang.
    fn take_stream_faults(&self) -> Faults {
        let mut data = self.lock();
        let faults = data.faults;
        data.faults.cut_streams = faults.cut_streams.saturating_sub(1);
        data.faults.hung_streams = faults.hung_streams.saturating_sub(1);
        faults
    }

    /// Generates the tokens. A cut or closed connection does not end the generation; only a cancel
    /// does.
    async fn generate(self, completion: Completion, writer: Writer, faults: Faults) {
        let id = &completion.request_id;
        let seed = answer::seed(&completion.prompt);
        let length = answer::length(&completion.prompt, completion.max_tokens);
        let mut writer = Some(writer);
        for position in completion.resume_from..length {
            timer::sleep(self.settings.token_time).await;
            if !self.lock().running.iter().any(|running| running.request_id == *id) {
                return;
            }
            self.lock().counters.tokens += 1;
            let sent = position - completion.resume_from;
            if faults.hung_streams > 0 && sent == faults.cut_after {
                self.wait_for_cancel(id).await;
                return;
            }
            if faults.cut_streams > 0 && sent == faults.cut_after {
                writer = None;
            }
            let is_last = position + 1 == length;
            let finish = if length == completion.max_tokens { "length" } else { "stop" };
            let token = Token {
                id: id.clone(),
                position,
                text: answer::token(seed, position),
                finish_reason: is_last.then(|| finish.into()),
            };
            if let Some(open) = &writer
                && send(open, &token, &faults).await.is_err()
            {
                writer = None;
            }
        }
        self.lock().running.retain(|running| running.request_id != *id);
        if let Some(writer) = writer {
            let ended = writer.write(b"data: [DONE]\n\n".to_vec()).await;
            if ended.is_ok() {
                writer.finish().await.ok();
            }
        }
    }

    async fn wait_for_cancel(&self, id: &Arc<str>) {
        while self.lock().running.iter().any(|running| running.request_id == *id) {
            timer::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn send(writer: &Writer, token: &Token, faults: &Faults) -> Result<(), body::Closed> {
    let line = |token: &Token| {
        format!("data: {}\n\n", serde_json::to_string(token).unwrap_or_default()).into_bytes()
    };
    writer.write(line(token)).await?;
    if faults.doubled {
        writer.write(line(token)).await?;
    }
    if faults.crossed && token.position % 5 == 4 {
        let text = " crossed".into();
        let crossed = Token { id: "other.1.1#1".into(), text, ..token.clone() };
        writer.write(line(&crossed)).await?;
    }
    Ok(())
}
