//! Generates the code of the operators' RPC from `proto/operator.proto`. After a change of the
//! schema, run it from the root of the repository and commit the files that it writes:
//! `cargo run --manifest-path tools/generate/Cargo.toml`

use std::{error::Error, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let out = Path::new("crates/ffw-operator/src/generated");
    std::fs::create_dir_all(out)?;
    let descriptors = protox::compile(["proto/operator.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .emit_rerun_if_changed(false)
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}
