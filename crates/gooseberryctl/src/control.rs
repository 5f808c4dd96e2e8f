//! Asks control VMs, the first one that answers.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use rpc::{ByteCounters, Connection, RpcError, TablesUpdate, dial};
use tables::{Revision, Rows, TablesText};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CONFIRM_WAIT: Duration = Duration::from_secs(2);

/// The tables that a control VM holds.
pub(crate) struct Held {
    pub(crate) revision: Revision,
    pub(crate) text: TablesText,
    pub(crate) is_confirmed: bool,
}

/// Connects to the first of `addrs` that answers.
pub(crate) async fn connect(addrs: &[SocketAddr]) -> anyhow::Result<Connection> {
    let mut last = None;
    for addr in addrs {
        match answering(*addr).await {
            Ok(connection) => return Ok(connection),
            Err(err) => last = Some(err),
        }
    }
    let err = last.context("name at least one control VM with --control")?;
    Err(err).context("no control VM answers")
}

/// The system accepts connections for a frozen process too, so only an answer counts.
async fn answering(addr: SocketAddr) -> Result<Connection, RpcError> {
    let connection = dial(addr, CONNECT_TIMEOUT, &ByteCounters::default()).await?;
    connection.client.ping(CONNECT_TIMEOUT).await?;
    Ok(connection)
}

/// Reads the tables in force.
pub(crate) async fn held(connection: &Connection) -> anyhow::Result<Held> {
    match connection.client.fetch_tables(0, 0, CONFIRM_WAIT).await? {
        TablesUpdate::Snapshot { revision, routes, pools, confirmed } => Ok(Held {
            revision: Revision(revision),
            text: TablesText { routes, pools },
            is_confirmed: confirmed,
        }),
        TablesUpdate::Unchanged => {
            Ok(Held { revision: Revision(0), text: Rows::default().to_text(), is_confirmed: false })
        }
        TablesUpdate::Delta(_) => bail!("the control VM sent a change in place of whole tables"),
    }
}
