//! The rule by which a starting process takes its first tables.
//!
//! Tables that the leader confirmed are taken at once. While no leader answers, the process asks
//! every control VM that it can reach; when its patience is over it takes the highest revision
//! among the answers, since a failure domain that is cut off has to serve on. It then says that a
//! newer revision may exist elsewhere.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use rpc::{ByteCounters, TablesUpdate, dial};

/// How long one control VM may look for its leader before it answers unconfirmed.
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
    /// The leader confirmed the tables when they were asked for.
    #[display("confirmed")]
    Confirmed,
}

/// Tables as a control VM gave them.
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

/// Asks `addrs` until the rule above gives tables.
pub(crate) async fn first_tables(
    addrs: &[SocketAddr],
    connect_timeout: Duration,
    patience: Duration,
    counters: &ByteCounters,
) -> FirstTables {
    let mut best = FirstTables::default();
    let mut waited = Duration::ZERO;
    loop {
        for addr in addrs {
            let answer = ask(*addr, connect_timeout, counters).await;
            best = better(best, answer);
            if best.freshness == Freshness::Confirmed {
                return best;
            }
        }
        if waited >= patience && best.freshness != Freshness::None {
            return best;
        }
        monoio::time::sleep(ROUND_PAUSE).await;
        waited += ROUND_PAUSE + CONFIRM_WAIT;
    }
}

/// A confirmed answer wins unless another VM gave a higher revision before.
fn better(best: FirstTables, answer: Option<FirstTables>) -> FirstTables {
    match answer {
        Some(answer) if answer.revision >= best.revision => answer,
        _ => best,
    }
}

async fn ask(
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
