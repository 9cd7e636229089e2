//! A short soak with fixed seeds: real daemons under faults from outside them. Seeds that ever
//! failed stay here, each with a line on the cause.

use {
    ffw_runtime::executor,
    ffw_soak::run::{self, Options},
    rstest::rstest,
    std::path::{Path, PathBuf},
};

#[rstest]
#[case::first(1, 10)]
#[case::second(2, 10)]
fn promises_hold_under_faults(#[case] seed: u64, #[case] steps: usize) {
    let base = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let options = Options {
        seed,
        steps,
        daemons: 3,
        program: PathBuf::from(env!("CARGO_BIN_EXE_fireflyworks")),
        folder: run::folder(base, seed),
    };
    let folder = options.folder.clone();
    let verdict = executor::run(run::play(options)).expect("the run ends").expect("it starts");
    assert!(verdict.broken.is_empty(), "seed {seed}, logs in {}: {verdict:#?}", folder.display());
}
