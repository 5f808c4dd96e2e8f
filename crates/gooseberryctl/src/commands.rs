//! The subcommands.

mod apply;
mod diff;
mod status;

use std::io::Write;

use clap::ArgMatches;
use tables::{Revision, TablesText};

use crate::{Verdict, cli, control, files};

/// Runs the subcommand.
pub(crate) async fn run(matches: &ArgMatches, out: &mut dyn Write) -> anyhow::Result<Verdict> {
    match matches.subcommand() {
        Some(("check", args)) => check(&files::read_tables(args)?, out),
        Some(("diff", args)) => diff::run(matches, args, out).await,
        Some(("apply", args)) => apply::run(matches, args, out).await,
        Some(("show", _)) => show(matches, out).await,
        _ => status::run(matches, out).await,
    }
}

/// Prints every fault of the tables, or that there is none.
fn check(text: &TablesText, out: &mut dyn Write) -> anyhow::Result<Verdict> {
    match tables::check(Revision(0), text) {
        Ok(tables) => {
            let (routes, pools) = (tables.routes.len(), tables.pools.len());
            writeln!(out, "ok routes={routes} pools={pools}")?;
            Ok(Verdict::Done)
        }
        Err(faults) => {
            writeln!(out, "{faults}")?;
            Ok(Verdict::Refused)
        }
    }
}

async fn show(matches: &ArgMatches, out: &mut dyn Write) -> anyhow::Result<Verdict> {
    let connection = control::connect(&cli::control_addrs(matches)).await?;
    let held = control::held(&connection).await?;
    writeln!(out, "# revision={} confirmed={}", held.revision, held.is_confirmed)?;
    writeln!(out, "# routes\n{}\n# pools\n{}", held.text.routes, held.text.pools)?;
    Ok(Verdict::Done)
}
