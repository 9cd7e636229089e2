//! The command line: examples, settings and the pages made from them.

use {
    fireflyworks::{command, settings},
    std::{path::Path, process::Command},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fireflyworks");

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

#[test]
fn each_example_of_each_command_parses() {
    for entry in command::ALL {
        assert!(!entry.examples.is_empty(), "{} has no example", entry.name);
        for example in entry.examples {
            let words = example.line.split_whitespace();
            let parsed = command::build().try_get_matches_from(words);
            let matches = parsed.unwrap_or_else(|err| panic!("{}: {err}", example.line));
            assert_eq!(matches.subcommand_name(), Some(entry.name));
        }
    }
}

#[test]
fn the_bundled_declarations_check() {
    for name in ["examples/matariki.toml", "examples/port-louis.toml"] {
        let output = Command::new(BINARY).arg("check").arg(root().join(name)).output();
        let output = output.expect("the binary runs");
        assert!(output.status.success(), "{output:?}");
    }
}

#[test]
fn all_wrong_settings_are_named_in_one_message() {
    let arguments =
        ["serve", "--instance", "a b", "--platform", "nowhere", "--peer-secret", "short"];
    let output = Command::new(BINARY).args(arguments).args(["--max-connections", "0"]).output();
    let output = output.expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    let wrong = [
        "--instance",
        "--data-centre",
        "--deployment",
        "--platform",
        "--peer-secret",
        "--max-connections",
    ];
    for flag in wrong {
        assert!(text.contains(flag), "{flag} is not named: {text}");
    }
}

#[test]
fn settings_come_from_the_environment_too() {
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

#[test]
fn the_page_for_operators_has_the_settings_as_they_are() {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page");
    let table = settings::markdown();
    assert!(page.contains(&table), "docs/OPERATIONS.md must contain this table:\n{table}");
}
