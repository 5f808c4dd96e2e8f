//! `status`: prints the state of each control VM.

use std::io::Write;

use clap::ArgMatches;

use crate::{Outcome, cli, control};

pub(crate) async fn run(matches: &ArgMatches, out: &mut dyn Write) -> anyhow::Result<Outcome> {
    let mut outcome = Outcome::Refused;
    for addr in cli::control_addrs(matches) {
        match fetch_status(addr).await {
            Ok(status) => {
                writeln!(out, "{addr} {status}")?;
                outcome = Outcome::Done;
            }
            Err(err) => writeln!(out, "{addr} unreachable: {err:#}")?,
        }
    }
    Ok(outcome)
}

async fn fetch_status(addr: std::net::SocketAddr) -> anyhow::Result<String> {
    let connection = control::connect(&[addr]).await?;
    Ok(connection.client.status().await?)
}
