//! Prints the settings table of `docs/OPERATIONS.md`.

fn main() {
    print!("{}", fireflyworks::settings::markdown());
}
