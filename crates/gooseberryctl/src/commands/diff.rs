//! `diff`: what would change if two files were put in force.

use std::io::Write;

use clap::ArgMatches;
use tables::{Delta, Row, RowChange, Rows};

use crate::{Verdict, cli, control, files};

pub(crate) async fn run(
    matches: &ArgMatches,
    args: &ArgMatches,
    out: &mut dyn Write,
) -> anyhow::Result<Verdict> {
    let new = Rows::parse(&files::read_tables(args)?)?;
    let connection = control::connect(&cli::control_addrs(matches)).await?;
    let held = control::held(&connection).await?;
    let old = Rows::parse(&held.text)?;
    let delta = Delta::between(held.revision, &old, held.revision, &new);
    writeln!(out, "# against revision={}", held.revision)?;
    for change in &delta.changes {
        print_change(change, old.table(change.table).get(&change.name), out)?;
    }
    Ok(Verdict::Done)
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
