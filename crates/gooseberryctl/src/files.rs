//! Reads the files of the tables.

use std::{fs, path::PathBuf};

use anyhow::Context;
use clap::ArgMatches;
use tables::TablesText;

/// Reads the files given with `--routes` and `--pools`.
pub(crate) fn read_tables(matches: &ArgMatches) -> anyhow::Result<TablesText> {
    Ok(TablesText { routes: read(matches, "routes")?, pools: read(matches, "pools")? })
}

fn read(matches: &ArgMatches, name: &str) -> anyhow::Result<String> {
    let path: &PathBuf =
        matches.get_one(name).context("--routes and --pools are required arguments")?;
    fs::read_to_string(path)
        .with_context(|| format!("cannot read {}: check the path", path.display()))
}
