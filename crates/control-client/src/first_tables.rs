//! Fetches the first tables of a starting process.
//!
//! Tables that the leader confirmed are used at once. While no leader answers, the process asks
//! every control VM that it can reach; after the confirm timeout it uses the highest revision among
//! the answers, since a failure domain that is cut off must keep serving. It then reports that a
//! newer revision may exist elsewhere.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use rpc::{ByteCounters, TablesUpdate, dial};

/// How long a control VM may wait for its leader before it answers with unconfirmed tables.
pub(crate) const CONFIRM_WAIT: Duration = Duration::from_millis(800);
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Whether a newer revision may exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Freshness {
    /// No tables are held yet.
    #[default]
    #[display("none")]
    None,
    /// No leader confirmed the tables; newer ones may be in force elsewhere.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The leader confirmed the tables when they were fetched.
    #[display("confirmed")]
    Confirmed,
}

/// Tables as a control VM returned them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FirstTables {
    /// The revision.
    pub revision: u64,
    /// The table of routes.
    pub routes: String,
    /// The table of pools.
    pub pools: String,
    /// Whether a newer revision may exist.
    pub freshness: Freshness,
}

/// Fetches tables from `addrs` until the rule above accepts an answer.
pub(crate) async fn first_tables(
    addrs: &[SocketAddr],
    connect_timeout: Duration,
    confirm_timeout: Duration,
    counters: &ByteCounters,
) -> FirstTables {
    let mut best = FirstTables::default();
    let mut waited = Duration::ZERO;
    loop {
        for addr in addrs {
            let answer = fetch(*addr, connect_timeout, counters).await;
            best = newer(best, answer);
            if best.freshness == Freshness::Confirmed {
                return best;
            }
        }
        if waited >= confirm_timeout && best.freshness != Freshness::None {
            return best;
        }
        monoio::time::sleep(ROUND_PAUSE).await;
        waited += ROUND_PAUSE + CONFIRM_WAIT;
    }
}

/// Prefers the answer unless an earlier one has a higher revision.
fn newer(best: FirstTables, answer: Option<FirstTables>) -> FirstTables {
    match answer {
        Some(answer) if answer.revision >= best.revision => answer,
        _ => best,
    }
}

async fn fetch(
    addr: SocketAddr,
    connect_timeout: Duration,
    counters: &ByteCounters,
) -> Option<FirstTables> {
    let connection = dial(addr, connect_timeout, counters).await.ok()?;
    let update = connection.client.fetch_tables(0, 0, CONFIRM_WAIT).await.ok()?;
    let TablesUpdate::Snapshot { revision, routes, pools, confirmed } = update else { return None };
    let freshness = if confirmed { Freshness::Confirmed } else { Freshness::Unconfirmed };
    Some(FirstTables { revision, routes, pools, freshness })
}
