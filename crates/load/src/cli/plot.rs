//! Draws the latency curves of a stored report.

use std::path::PathBuf;

use anyhow::Context;
use clap::{ArgMatches, Command};
use load::report::{Report, latency_svg};

use super::args;

pub(crate) fn command() -> Command {
    Command::new("plot")
        .about("Draws the latency curves of a report")
        .arg(args::path("report", "A report as JSON").required(true))
        .arg(args::path("svg", "Where to write the SVG").required(true))
}

pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let path: PathBuf = args::value(matches, "report");
    let report: Report = serde_json::from_str(&args::read(&path)?).with_context(|| {
        format!("{} is not a report; write one with `run --json`", path.display())
    })?;
    args::write(&args::value::<PathBuf>(matches, "svg"), &latency_svg(&report)?)
}
