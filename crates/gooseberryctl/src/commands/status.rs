//! `status`: the state of each control VM that answers.

use std::io::Write;

use clap::ArgMatches;

use crate::{Verdict, cli, control};

pub(crate) async fn run(matches: &ArgMatches, out: &mut dyn Write) -> anyhow::Result<Verdict> {
    let mut verdict = Verdict::Refused;
    for addr in cli::control_addrs(matches) {
        match status_of(addr).await {
            Ok(status) => {
                writeln!(out, "{addr} {status}")?;
                verdict = Verdict::Done;
            }
            Err(err) => writeln!(out, "{addr} unreachable: {err:#}")?,
        }
    }
    Ok(verdict)
}

async fn status_of(addr: std::net::SocketAddr) -> anyhow::Result<String> {
    let connection = control::connect(&[addr]).await?;
    Ok(connection.client.status().await?)
}
