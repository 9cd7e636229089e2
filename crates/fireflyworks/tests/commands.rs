//! The command line: examples, bundled declarations, settings, and the table of settings in the
//! operators' page. Guards against help texts, examples and pages that no longer match the
//! code.

use {
    fireflyworks::{command, settings},
    std::{path::Path, process::Command},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Guards against an example in the help text that the command line rejects, or that belongs to
/// another command.
#[test]
fn each_example_of_each_command_parses() {
    for entry in command::ALL {
        assert!(!entry.examples.is_empty(), "{} has no example", entry.name);
        for example in entry.examples {
            let arguments = example.line.split_whitespace();
            let parsed = command::build().try_get_matches_from(arguments);
            let matches = parsed.unwrap_or_else(|err| panic!("{}: {err}", example.line));
            assert_eq!(matches.subcommand_name(), Some(entry.name));
        }
    }
}

/// Guards against a bundled declaration that `fireflyworks check` rejects after a change of the
/// format.
#[test]
fn the_bundled_declarations_pass_the_check() {
    for name in ["examples/matariki.toml", "examples/port-louis.toml"] {
        let output = Command::new(BINARY).arg("check").arg(root().join(name)).output();
        let output = output.expect("the binary runs");
        assert!(output.status.success(), "{output:?}");
    }
}

/// Guards against an error that reports only the first invalid setting, so that an operator
/// needs a start for each of them.
#[test]
fn all_invalid_settings_are_reported_in_one_message() {
    let arguments =
        ["serve", "--instance", "a b", "--platform", "nowhere", "--peer-secret", "short"];
    let output = Command::new(BINARY).args(arguments).args(["--max-connections", "0"]).output();
    let output = output.expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    let invalid_flags = [
        "--instance",
        "--data-centre",
        "--deployment",
        "--platform",
        "--peer-secret",
        "--max-connections",
    ];
    for flag in invalid_flags {
        assert!(text.contains(flag), "{flag} is not reported: {text}");
    }
}

/// Guards against settings that are read from flags only. One value is invalid, so that the
/// daemon ends with an error that shows which settings it has read.
#[test]
fn settings_are_read_from_the_environment_too() {
    let output = Command::new(BINARY)
        .arg("serve")
        .env("FIREFLYWORKS_INSTANCE", "entry-1")
        .env("FIREFLYWORKS_DATA_CENTRE", "a")
        .env("FIREFLYWORKS_DEPLOYMENT", "d")
        .env("FIREFLYWORKS_PLATFORM", "not an address")
        .env("FIREFLYWORKS_PEER_SECRET", "0123456789abcdef")
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("--platform") && !text.contains("--instance"), "{text}");
}

/// Guards against a setting that was changed in the code but not in `docs/OPERATIONS.md`.
#[test]
fn the_operators_page_contains_the_current_table_of_settings() {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page");
    let table = settings::markdown();
    assert!(page.contains(&table), "docs/OPERATIONS.md must contain this table:\n{table}");
}
