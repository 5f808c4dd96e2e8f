//! Connects to the first control VM that responds and reads its tables.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use rpc::{ByteCounters, Connection, RpcError, TablesUpdate, dial};
use tables::{Revision, Rows, TablesText};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// The tables that a control VM holds.
pub(crate) struct CurrentTables {
    pub(crate) revision: Revision,
    pub(crate) text: TablesText,
    pub(crate) is_confirmed: bool,
}

/// Connects to the first of `addrs` that responds.
pub(crate) async fn connect(addrs: &[SocketAddr]) -> anyhow::Result<Connection> {
    let mut last = None;
    for addr in addrs {
        match connect_to(*addr).await {
            Ok(connection) => return Ok(connection),
            Err(err) => last = Some(err),
        }
    }
    let err = last.context("name at least one control VM with --control")?;
    Err(err).context("no control VM answers")
}

/// Connects and waits for the response to a ping: the operating system accepts connections even for
/// a frozen process.
async fn connect_to(addr: SocketAddr) -> Result<Connection, RpcError> {
    let connection = dial(addr, CONNECT_TIMEOUT, &ByteCounters::default()).await?;
    connection.client.ping(CONNECT_TIMEOUT).await?;
    Ok(connection)
}

/// Reads the tables in force.
pub(crate) async fn fetch_tables(connection: &Connection) -> anyhow::Result<CurrentTables> {
    match connection.client.fetch_tables(0, 0, CONFIRM_TIMEOUT).await? {
        TablesUpdate::Snapshot { revision, routes, pools, confirmed } => Ok(CurrentTables {
            revision: Revision(revision),
            text: TablesText { routes, pools },
            is_confirmed: confirmed,
        }),
        TablesUpdate::Unchanged => Ok(CurrentTables {
            revision: Revision(0),
            text: Rows::default().to_text(),
            is_confirmed: false,
        }),
        TablesUpdate::Delta(_) => {
            bail!("the control VM sent a delta instead of a snapshot of the tables")
        }
    }
}
