//! Seeds and lengths of randomised test runs. The defaults are fixed, so that CI runs are
//! repeatable; environment variables replace them for longer runs.

/// Number in an environment variable, or `default` if it is not set or not a number.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Seeds of a test: only `FIREFLYWORKS_TEST_SEED` if it is set, otherwise the fixed ones.
pub fn seeds(fixed: &[u64]) -> Vec<u64> {
    match number("FIREFLYWORKS_TEST_SEED", u64::MAX) {
        u64::MAX => fixed.to_vec(),
        seed => vec![seed],
    }
}

/// Steps of a test: `FIREFLYWORKS_TEST_STEPS` if it is set, otherwise the default.
pub fn steps(default: u64) -> u64 {
    number("FIREFLYWORKS_TEST_STEPS", default)
}
