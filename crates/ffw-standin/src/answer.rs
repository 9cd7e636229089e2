//! The text that a stand-in engine generates. It is a pure function of the prompt and `max_tokens`,
//! so that a test can distinguish a complete response from one that is truncated, has repeated
//! tokens, or contains tokens of another attempt.

use {ffw_protocol::digest, std::sync::Arc};

const WORDS: [&str; 16] = [
    "orbit", "comet", "lens", "dome", "star", "tide", "moon", "field", "spring", "bale", "coil",
    "foam", "press", "yard", "truck", "steel",
];

/// Number of tokens of the complete response: between half of `max_tokens` and `max_tokens`, but
/// at least 1.
pub fn length(prompt: &str, max_tokens: u32) -> u32 {
    let half = max_tokens / 2;
    let spread = u64::from(max_tokens - half) + 1;
    (half + (digest::hash64(&["length", prompt]) % spread) as u32).max(1)
}

/// Text of the token at `position`, counted from 0; `seed` is that of the prompt.
pub fn token(seed: u64, position: u32) -> Arc<str> {
    let mixed = mix(seed ^ u64::from(position).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    format!(" {}{}", WORDS[(mixed % 16) as usize], mixed >> 4 & 0xff).into()
}

/// Seed from which [`token`] derives the tokens of a prompt.
pub fn seed(prompt: &str) -> u64 {
    digest::hash64(&["tokens", prompt])
}

/// Text of the complete response.
pub fn text(prompt: &str, max_tokens: u32) -> String {
    let seed = seed(prompt);
    (0..length(prompt, max_tokens)).map(|position| token(seed, position).to_string()).collect()
}

/// Bit mixer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
