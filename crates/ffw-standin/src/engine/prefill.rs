//! Prefill: one prompt at a time, a result that survives for a short while, a prefix cache.

use {
    super::Engine,
    crate::route,
    ffw_backend::engine::{CacheEvent, Completion, Handoff},
    ffw_http::server,
    ffw_protocol::prefix,
    ffw_runtime::{executor, timer},
    http_types::Response,
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// Longest step of the computation between two looks for a cancel.
const STEP: Duration = Duration::from_millis(20);

/// Memory of one prompt, during and after its prefill.
#[derive(Clone, Debug)]
pub(super) struct Block {
    pub(super) request_id: Arc<str>,
    pub(super) pieces: u32,
    pub(super) computed: u32,
    pub(super) ready: bool,
}

impl Engine {
    pub(super) async fn prefill(&self, completion: Completion) -> Response {
        let id = completion.request_id.clone();
        self.begin_prefill(&completion);
        let turn = self.compute.lock().await;
        let cached = self.cached_tokens(&completion);
        let computed = completion.prompt_tokens - cached;
        let mut left =
            Duration::from_secs_f64(f64::from(computed) / f64::from(self.settings.prefill_rate));
        let total = left;
        while !left.is_zero() && self.lock().blocks.iter().any(|one| one.request_id == id) {
            let step = left.min(STEP);
            timer::sleep(step).await;
            left -= step;
        }
        drop(turn);
        let done = 1.0 - left.as_secs_f64() / total.as_secs_f64().max(1e-9);
        self.end_prefill(&completion, cached, (f64::from(computed) * done) as u32)
    }

    fn begin_prefill(&self, completion: &Completion) {
        let mut data = self.lock();
        data.counters.prefills += 1;
        data.queued_tokens += completion.prompt_tokens;
        if data.cancelled.contains(&completion.request_id) {
            return;
        }
        let pieces = self.pieces_of(completion.prompt_tokens);
        let request_id = completion.request_id.clone();
        data.blocks.push(Block { request_id, pieces, computed: 0, ready: false });
    }

    fn end_prefill(&self, completion: &Completion, cached: u32, computed: u32) -> Response {
        let id = &completion.request_id;
        let mut data = self.lock();
        data.queued_tokens -= completion.prompt_tokens;
        data.counters.prefill_tokens += u64::from(computed);
        if data.faults.failed_prefills > 0 {
            data.faults.failed_prefills -= 1;
            data.blocks.retain(|one| one.request_id != *id);
        }
        let Some(block) = data.blocks.iter_mut().find(|one| one.request_id == *id) else {
            data.counters.wasted_tokens += u64::from(computed);
            return route::status(499, "cancelled");
        };
        block.ready = true;
        block.computed = computed;
        drop(data);
        self.store_prefixes(completion);
        executor::detach(self.clone().expire_block(id.clone()));
        server::json_response(
            200,
            &Handoff {
                remote_host: self.address,
                remote_block: id.clone(),
                expires_ms: self.settings.result_life.as_millis() as u64,
                cached_tokens: cached,
            },
        )
    }

    async fn expire_block(self, id: Arc<str>) {
        timer::sleep(self.settings.result_life).await;
        let mut data = self.lock();
        if let Some(at) = data.blocks.iter().position(|one| one.request_id == id) {
            let block = data.blocks.remove(at);
            data.counters.wasted_tokens += u64::from(block.computed);
        }
    }

    /// Hands a result to a decode engine and forgets it.
    pub(super) fn export(&self, id: &Arc<str>) -> Response {
        let mut data = self.lock();
        let found = data.blocks.iter().position(|one| one.request_id == *id && one.ready);
        let Some(at) = found else {
            return route::status(410, "the prefill result is gone");
        };
        data.blocks.remove(at);
        server::json_response(200, &json!({}))
    }

    fn cached_tokens(&self, completion: &Completion) -> u32 {
        let data = self.lock();
        let prefixes = prefixes(completion, self.settings.piece_tokens);
        let leading = prefixes.iter().take_while(|one| data.cached.contains(one)).count() as u32;
        (leading * self.settings.piece_tokens).min(completion.prompt_tokens.saturating_sub(1))
    }

    fn store_prefixes(&self, completion: &Completion) {
        let mut data = self.lock();
        for prefix in prefixes(completion, self.settings.piece_tokens) {
            if data.cached.contains(&prefix) {
                continue;
            }
            data.cached.push(prefix);
            let number = data.events.len() as u64 + 1;
            data.events.push(CacheEvent { number, prefix, stored: true });
            if data.cached.len() > self.settings.cache_prefixes {
                let prefix = data.cached.remove(0);
                let number = number + 1;
                data.events.push(CacheEvent { number, prefix, stored: false });
            }
        }
    }
}

/// Hashes of the prompt's whole leading pieces.
fn prefixes(completion: &Completion, piece_tokens: u32) -> Vec<u64> {
    let bytes_per_token =
        completion.prompt.len().div_ceil(completion.prompt_tokens.max(1) as usize);
    let piece_bytes = piece_tokens as usize * bytes_per_token;
    prefix::hashes(&completion.cache_salt, &completion.prompt, piece_bytes)
}
