//! Writes the configuration files of a site, and serves its light backend servers.

use std::{fs, path::PathBuf};

use anyhow::Context;
use clap::{ArgMatches, Command};
use load::capacity::{SiteSize, serve_backends, tables_text, workspaces_text};

use crate::cli::args;

pub(crate) fn command() -> Command {
    Command::new("site")
        .about("Writes routes.ini, pools.ini and workspaces.ini of a site of any size")
        .arg(args::number("replicas", "10", "Replicas in the pool"))
        .arg(args::number("workspaces", "10", "Workspaces"))
        .arg(args::path("out", "The folder for the files").required(true))
}

pub(crate) fn backends_command() -> Command {
    Command::new("backends")
        .about("Serves the light backend servers of a site until it is ended")
        .arg(args::number("replicas", "10", "How many"))
}

pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let size = SiteSize {
        replicas: args::value::<u64>(matches, "replicas") as usize,
        workspaces: args::value::<u64>(matches, "workspaces") as usize,
    };
    let out: PathBuf = args::value(matches, "out");
    fs::create_dir_all(&out).with_context(|| format!("cannot create {}", out.display()))?;
    let tables = tables_text(size);
    args::write(&out.join("routes.ini"), &tables.routes)?;
    args::write(&out.join("pools.ini"), &tables.pools)?;
    args::write(&out.join("workspaces.ini"), &workspaces_text(size))
}

pub(crate) async fn run_backends(matches: &ArgMatches) -> anyhow::Result<()> {
    let replicas = args::value::<u64>(matches, "replicas") as usize;
    serve_backends(replicas).context("cannot listen; stop the other light backend servers")?;
    tracing::info!(event = "listening", replicas);
    std::future::pending().await
}
