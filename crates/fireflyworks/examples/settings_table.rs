//! Prints the settings table of `docs/OPERATING.md`.

fn main() {
    print!("{}", fireflyworks::settings::markdown());
}
