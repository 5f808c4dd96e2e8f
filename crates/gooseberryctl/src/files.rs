//! The operators' files.

use std::{fs, path::PathBuf};

use anyhow::Context;
use clap::ArgMatches;
use tables::TablesText;

/// Reads the two files that the arguments name.
pub(crate) fn read_tables(matches: &ArgMatches) -> anyhow::Result<TablesText> {
    Ok(TablesText { routes: read(matches, "routes")?, pools: read(matches, "pools")? })
}

fn read(matches: &ArgMatches, name: &str) -> anyhow::Result<String> {
    let path: &PathBuf = matches.get_one(name).context("the file is a required argument")?;
    fs::read_to_string(path).with_context(|| format!("read {}: check the path", path.display()))
}
