//! `apply`: puts the tables of two files in force.

use std::{io::Write, path::PathBuf, time::Duration};

use anyhow::{Context, bail};
use clap::ArgMatches;
use control_client::{CommandError, submit};
use control_state::{ChangeId, Command, ProposeTables, Response, TablesAnswer};
use tables::Revision;
use telemetry::Secret;

use crate::{Outcome, cli, control, files};

/// Longer than the control VM waits for a commit, so that its response comes before the timeout.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

pub(crate) async fn run(
    matches: &ArgMatches,
    args: &ArgMatches,
    out: &mut dyn Write,
) -> anyhow::Result<Outcome> {
    let text = files::read_tables(args)?;
    if let Err(faults) = tables::check(Revision(0), &text) {
        writeln!(out, "refused: the tables have faults; nothing has changed\n{faults}")?;
        return Ok(Outcome::Refused);
    }
    let token = read_token(matches)?;
    let connection = control::connect(&cli::control_addrs(matches)).await?;
    let base = match args.get_one::<u64>("base") {
        Some(base) => Revision(*base),
        None => control::fetch_tables(&connection).await?.revision,
    };
    let change = change_id(args);
    let command = Command::ProposeTables(ProposeTables { change: change.clone(), base, text });
    let result = submit(&connection.client, token.expose(), &command, SUBMIT_TIMEOUT).await;
    report(result, &change, out)
}

fn read_token(matches: &ArgMatches) -> anyhow::Result<Secret> {
    let path: &PathBuf = matches
        .get_one("token-file")
        .context("apply needs the operators' token: give --token-file")?;
    Secret::read(path)
}

fn change_id(args: &ArgMatches) -> ChangeId {
    let given = args.get_one::<String>("change-id").cloned();
    ChangeId(given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())))
}

fn report(
    result: Result<Response, CommandError>,
    change: &ChangeId,
    out: &mut dyn Write,
) -> anyhow::Result<Outcome> {
    match result {
        Ok(Response::Tables(TablesAnswer::Accepted { revision })) => {
            writeln!(out, "accepted revision={revision} change-id={change}")?;
            Ok(Outcome::Done)
        }
        Ok(Response::Tables(TablesAnswer::Conflict { current })) => {
            writeln!(out, "refused: revision {current} came first; compare with diff, then apply")?;
            Ok(Outcome::Refused)
        }
        Ok(Response::Tables(TablesAnswer::ChangeReused)) => {
            writeln!(out, "refused: change id {change} named other tables; choose another")?;
            Ok(Outcome::Refused)
        }
        Ok(other) => bail!("the control VM sent an unexpected response: {other:?}"),
        Err(CommandError::Refused { reason }) => {
            writeln!(out, "refused: {reason}")?;
            Ok(Outcome::Refused)
        }
        Err(CommandError::InDoubt { reason }) => {
            writeln!(out, "in doubt: {reason}; apply again with --change-id {change}")?;
            Ok(Outcome::InDoubt)
        }
    }
}
