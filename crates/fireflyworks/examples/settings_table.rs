//! Prints the settings table of `docs/OPERATIONS.md`; a test compares the page with it.

fn main() {
    print!("{}", fireflyworks::settings::markdown());
}
