//! The subcommands, one per module.

mod args;
mod capacity;
mod once;
mod overhead;
mod plot;
mod run;

use clap::Command;
use monoio::{LegacyDriver, RuntimeBuilder};

/// Parses the command line and runs the subcommand.
pub(crate) fn run() -> anyhow::Result<()> {
    let matches = Command::new("gooseberry-load")
        .about("Load, experiments and reports for gooseberrygw; loopback only")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(once::command())
        .subcommand(run::command())
        .subcommand(plot::command())
        .subcommand(overhead::command())
        .subcommand(capacity::command())
        .get_matches();
    match matches.subcommand() {
        Some(("once", args)) => block_on(once::run(args)),
        Some(("run", args)) => block_on(run::run(args)),
        Some(("plot", args)) => plot::run(args),
        Some(("overhead", args)) => block_on(overhead::run(args)),
        Some(("capacity", args)) => block_on(capacity::run(args)),
        _ => unreachable!("a subcommand is required, and all are listed"),
    }
}

fn block_on<F: Future<Output = anyhow::Result<()>>>(task: F) -> anyhow::Result<()> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?.block_on(task)
}
