//! The capacity experiment: subcommands that take samples, and the report over all samples.

mod report;
mod routers;
mod sample;
mod site;
mod streams;

use clap::{ArgMatches, Command};

pub(crate) fn command() -> Command {
    Command::new("capacity")
        .about("Samples daemons at several sizes and projects their cost to the target size")
        .subcommand_required(true)
        .subcommand(sample::command())
        .subcommand(report::command())
        .subcommand(routers::routers_command())
        .subcommand(routers::changes_command())
        .subcommand(streams::command())
        .subcommand(site::command())
        .subcommand(site::backends_command())
}

pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("sample", args)) => sample::run(args).await,
        Some(("report", args)) => report::run(args),
        Some(("routers", args)) => routers::run_routers(args).await,
        Some(("changes", args)) => routers::run_changes(args).await,
        Some(("streams", args)) => streams::run(args).await,
        Some(("site", args)) => site::run(args),
        Some(("backends", args)) => site::run_backends(args).await,
        _ => unreachable!("a subcommand is required, and all are listed"),
    }
}
