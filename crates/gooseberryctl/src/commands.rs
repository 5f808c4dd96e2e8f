//! The subcommands.

mod apply;
mod diff;
mod status;

use std::io::Write;

use clap::ArgMatches;
use tables::{Revision, TablesText};

use crate::{Outcome, cli, control, files};

/// Runs the subcommand given by `matches`.
pub(crate) async fn run(matches: &ArgMatches, out: &mut dyn Write) -> anyhow::Result<Outcome> {
    match matches.subcommand() {
        Some(("check", args)) => check(&files::read_tables(args)?, out),
        Some(("diff", args)) => diff::run(matches, args, out).await,
        Some(("apply", args)) => apply::run(matches, args, out).await,
        Some(("show", _)) => show(matches, out).await,
        _ => status::run(matches, out).await,
    }
}

/// Prints all faults of the tables, or `ok` if there are none.
fn check(text: &TablesText, out: &mut dyn Write) -> anyhow::Result<Outcome> {
    match tables::check(Revision(0), text) {
        Ok(tables) => {
            let (routes, pools) = (tables.routes.len(), tables.pools.len());
            writeln!(out, "ok routes={routes} pools={pools}")?;
            Ok(Outcome::Done)
        }
        Err(faults) => {
            writeln!(out, "{faults}")?;
            Ok(Outcome::Refused)
        }
    }
}

async fn show(matches: &ArgMatches, out: &mut dyn Write) -> anyhow::Result<Outcome> {
    let connection = control::connect(&cli::control_addrs(matches)).await?;
    let current = control::fetch_tables(&connection).await?;
    writeln!(out, "# revision={} confirmed={}", current.revision, current.is_confirmed)?;
    writeln!(out, "# routes\n{}\n# pools\n{}", current.text.routes, current.text.pools)?;
    Ok(Outcome::Done)
}
