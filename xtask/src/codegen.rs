//! Generates the committed Rust code of the capnp schemas.

use anyhow::Context;

const SCHEMA_DIR: &str = "crates/rpc/schema";
const OUTPUT_DIR: &str = "crates/rpc/src";

/// Generates `control_capnp.rs`.
pub(crate) fn run() -> anyhow::Result<()> {
    capnpc::CompilerCommand::new()
        .src_prefix(SCHEMA_DIR)
        .file(format!("{SCHEMA_DIR}/control.capnp"))
        .output_path(OUTPUT_DIR)
        .run()
        .context("cannot run `capnp`: install the Cap'n Proto compiler (Debian: capnproto)")
}
