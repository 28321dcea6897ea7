//! Generates `crates/wire/src/generated.rs` from `crates/wire/schema/inner.proto`.

use std::{error::Error, path::Path};

/// Compiles the schema with protox, which needs no installed `protoc`.
fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/wire");
    let schema = wire.join("schema");
    let descriptors = protox::compile([schema.join("inner.proto")], [&schema])?;
    let output = wire.join("src");
    prost_build::Config::new()
        .out_dir(&output)
        .compile_fds(descriptors)?;
    std::fs::rename(output.join("mastictrail.inner.rs"), output.join("generated.rs"))?;
    Ok(())
}
