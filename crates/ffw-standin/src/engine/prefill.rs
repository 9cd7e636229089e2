//! The prefill side of an engine: it computes one prompt at a time, keeps the result for
//! [`result_life`](super::Settings::result_life) or until it is exported, and caches prefixes.

use {
    super::Engine,
    crate::handler,
    ffw_backend::engine::{CacheEvent, Completion, Handoff},
    ffw_http::server,
    ffw_protocol::prefix,
    ffw_runtime::{executor, timer},
    http_types::Response,
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// Maximum time of computation between two checks for a cancel.
const MAX_STEP: Duration = Duration::from_millis(20);

/// Memory of one prompt, during its prefill and until its result is exported or expires.
#[derive(Clone, Debug)]
pub(super) struct Block {
    pub(super) request_id: Arc<str>,
    pub(super) pieces: u32,
    pub(super) computed_tokens: u32,
    pub(super) is_ready: bool,
}

impl Engine {
    pub(super) async fn prefill(&self, completion: Completion) -> Response {
        let id = completion.request_id.clone();
        self.begin_prefill(&completion);
        let compute_guard = self.compute.lock().await;
        let cached = self.cached_tokens(&completion);
        let computed = completion.prompt_tokens - cached;
        let mut left =
            Duration::from_secs_f64(f64::from(computed) / f64::from(self.settings.prefill_rate));
        let total = left;
        while !left.is_zero() && self.lock().blocks.iter().any(|block| block.request_id == id) {
            let step = left.min(MAX_STEP);
            timer::sleep(step).await;
            left -= step;
        }
        drop(compute_guard);
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
        data.blocks.push(Block { request_id, pieces, computed_tokens: 0, is_ready: false });
    }

    fn end_prefill(&self, completion: &Completion, cached: u32, computed: u32) -> Response {
        let id = &completion.request_id;
        let mut data = self.lock();
        data.queued_tokens -= completion.prompt_tokens;
        data.counters.prefill_tokens += u64::from(computed);
        if data.faults.failed_prefills > 0 {
            data.faults.failed_prefills -= 1;
            data.blocks.retain(|block| block.request_id != *id);
        }
        let Some(block) = data.blocks.iter_mut().find(|block| block.request_id == *id) else {
            data.counters.wasted_tokens += u64::from(computed);
            return handler::status_response(499, "cancelled");
        };
        block.is_ready = true;
        block.computed_tokens = computed;
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
        if let Some(index) = data.blocks.iter().position(|block| block.request_id == id) {
            let block = data.blocks.remove(index);
            data.counters.wasted_tokens += u64::from(block.computed_tokens);
        }
    }

    /// Sends a result to a decode engine and frees its memory; status 410 if there is none.
    pub(super) fn export(&self, id: &Arc<str>) -> Response {
        let mut data = self.lock();
        let found = data.blocks.iter().position(|block| block.request_id == *id && block.is_ready);
        let Some(index) = found else {
            return handler::status_response(
                410,
                "the prefill result has expired or does not exist",
            );
        };
        data.blocks.remove(index);
        server::json_response(200, &json!({}))
    }

    /// Number of leading prompt tokens in the prefix cache. It is less than the prompt's length, so
    /// that at least one token is computed.
    fn cached_tokens(&self, completion: &Completion) -> u32 {
        let data = self.lock();
        let prefixes = prefixes(completion, self.settings.piece_tokens);
        let leading =
            prefixes.iter().take_while(|prefix| data.cached.contains(prefix)).count() as u32;
        (leading * self.settings.piece_tokens).min(completion.prompt_tokens.saturating_sub(1))
    }

    /// Adds the prompt's prefixes to the cache. For each one above `cache_prefixes`, the prefix
    /// that was added first is removed.
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

/// Hashes of the prompt's prefixes that consist of whole memory pieces.
fn prefixes(completion: &Completion, piece_tokens: u32) -> Vec<u64> {
    let bytes_per_token =
        completion.prompt.len().div_ceil(completion.prompt_tokens.max(1) as usize);
    let piece_bytes = piece_tokens as usize * bytes_per_token;
    prefix::hashes(&completion.cache_salt, &completion.prompt, piece_bytes)
}
