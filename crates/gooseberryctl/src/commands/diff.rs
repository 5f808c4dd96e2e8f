//! `diff`: prints the changes that applying two files would make.

use std::io::Write;

use clap::ArgMatches;
use tables::{Delta, Row, RowChange, Rows};

use crate::{Outcome, cli, control, files};

pub(crate) async fn run(
    matches: &ArgMatches,
    args: &ArgMatches,
    out: &mut dyn Write,
) -> anyhow::Result<Outcome> {
    let new = Rows::parse(&files::read_tables(args)?)?;
    let connection = control::connect(&cli::control_addrs(matches)).await?;
    let current = control::fetch_tables(&connection).await?;
    let old = Rows::parse(&current.text)?;
    let delta = Delta::between(current.revision, &old, current.revision, &new);
    writeln!(out, "# against revision={}", current.revision)?;
    for change in &delta.changes {
        print_change(change, old.table(change.table).get(&change.name), out)?;
    }
    Ok(Outcome::Done)
}

fn print_change(change: &RowChange, old: Option<&Row>, out: &mut dyn Write) -> std::io::Result<()> {
    writeln!(out, "{} [{}]", change.table, change.name)?;
    let empty = Row::new();
    let old = old.unwrap_or(&empty);
    let new = change.row.as_ref().unwrap_or(&empty);
    let removed = old.iter().filter(|(key, value)| new.get(*key) != Some(value));
    for (key, value) in removed {
        writeln!(out, "- {key} = {value}")?;
    }
    let added = new.iter().filter(|(key, value)| old.get(*key) != Some(value));
    for (key, value) in added {
        writeln!(out, "+ {key} = {value}")?;
    }
    Ok(())
}
