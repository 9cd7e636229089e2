//! The answer of a stand-in engine: a pure function of the prompt, so that a test can tell a whole
//! answer from a cut, doubled or crossed one.

use {ffw_protocol::digest, std::sync::Arc};

const WORDS: [&str; 16] = [
    "orbit", "comet", "lens", "dome", "star", "tide", "moon", "field", "spring", "bale", "coil",
    "foam", "press", "yard", "truck", "steel",
];

/// Number of tokens of the whole answer: between half of `max_tokens` and all of it.
pub fn length(prompt: &str, max_tokens: u32) -> u32 {
    let half = max_tokens / 2;
    let spread = u64::from(max_tokens - half) + 1;
    (half + (digest::hash64(&["length", prompt]) % spread) as u32).max(1)
}

/// Text of the token at `position`.
pub fn token(seed: u64, position: u32) -> Arc<str> {
    let mixed = mix(seed ^ u64::from(position).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    format!(" {}{}", WORDS[(mixed % 16) as usize], mixed >> 4 & 0xff).into()
}

/// Seed of a prompt's tokens.
pub fn seed(prompt: &str) -> u64 {
    digest::hash64(&["tokens", prompt])
}

/// The whole text of the answer.
pub fn text(prompt: &str, max_tokens: u32) -> String {
    let seed = seed(prompt);
    (0..length(prompt, max_tokens)).map(|position| token(seed, position).to_string()).collect()
}

fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
