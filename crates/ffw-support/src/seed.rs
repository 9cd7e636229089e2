//! Seeds and lengths of randomised runs: fixed in CI, and set by the environment for longer ones.

/// Value of a number in the environment, or the given one.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Seeds of a run: `FIREFLYWORKS_TEST_SEED` alone if it is set, else the fixed ones.
pub fn seeds(fixed: &[u64]) -> Vec<u64> {
    match number("FIREFLYWORKS_TEST_SEED", u64::MAX) {
        u64::MAX => fixed.to_vec(),
        seed => vec![seed],
    }
}

/// Steps of a run: `FIREFLYWORKS_TEST_STEPS` if it is set.
pub fn steps(default: u64) -> u64 {
    number("FIREFLYWORKS_TEST_STEPS", default)
}
