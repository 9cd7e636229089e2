//! A short soak test with fixed seeds: daemon processes under faults that are injected from
//! outside.
//!
//! Guards against the violations that `ffw_soak::check` looks for, when faults coincide. A seed
//! that has failed stays here, with a line on the cause.

use {
    ffw_runtime::executor,
    ffw_soak::run::{self, Options},
    rstest::rstest,
    std::path::{Path, PathBuf},
};

/// Each seed draws a fixed plan of faults; see `ffw_soak::run`. Guards against a sequence of
/// faults after which a guarantee to the callers is broken.
#[rstest]
#[case::first(1, 10, false)]
#[case::second(2, 10, false)]
#[case::with_restores_of_the_store(3, 10, true)]
fn guarantees_hold_under_faults(#[case] seed: u64, #[case] steps: usize, #[case] restores: bool) {
    let base = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let options = Options {
        seed,
        steps,
        restores,
        daemons: 3,
        program: PathBuf::from(env!("CARGO_BIN_EXE_fireflyworks")),
        folder: run::folder(base, seed),
    };
    let folder = options.folder.clone();
    let verdict = executor::run(run::execute(options)).expect("the run ends").expect("it starts");
    assert!(
        verdict.violations.is_empty(),
        "seed {seed}, logs in {}: {verdict:#?}",
        folder.display()
    );
}
