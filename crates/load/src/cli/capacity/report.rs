//! Fits lines to the samples and writes tables and plots.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context;
use clap::{ArgMatches, Command};
use load::capacity::{CapacityReport, Sample, line_file_name, line_svg, markdown};

use crate::cli::args;

pub(crate) fn command() -> Command {
    Command::new("report")
        .about("Fits lines through samples and writes JSON, a Markdown table and plots")
        .arg(args::path("samples", "The file of samples").required(true))
        .arg(args::word("commit", "unknown", "The commit that was measured"))
        .arg(args::path("out", "The folder for the results").required(true))
}

pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let samples = samples(&args::value::<PathBuf>(matches, "samples"))?;
    let report = CapacityReport::new(&args::value::<String>(matches, "commit"), &samples)?;
    let out: PathBuf = args::value(matches, "out");
    fs::create_dir_all(&out).with_context(|| format!("cannot create {}", out.display()))?;
    args::write(&out.join("capacity.json"), &args::to_json(&report)?)?;
    args::write(&out.join("capacity.md"), &markdown(&report))?;
    for line in &report.lines {
        args::write(&out.join(line_file_name(line)), &line_svg(line)?)?;
    }
    print!("{}", markdown(&report));
    Ok(())
}

fn samples(path: &Path) -> anyhow::Result<Vec<Sample>> {
    let text = args::read(path)?;
    let lines = text.lines().filter(|it| !it.trim().is_empty());
    let samples: Result<Vec<Sample>, _> = lines.map(serde_json::from_str).collect();
    samples.with_context(|| format!("{} contains a line that is not a sample", path.display()))
}
