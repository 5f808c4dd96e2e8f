//! A request that crashes servers is known to all routers soon, whichever control VM they exchange
//! their state with.

mod support;

use dissemination::{MemberState, PoolHash, QuarantineRow, Summary};
use policy::{CrashSite, QuarantineEntry};
use support::{Cluster, wait_until};

const POOL: PoolHash = PoolHash(7);
const REQUEST_HASH: u64 = 0xbad;

/// The summary of a router that saw the request crash the server.
fn summary(router: &str, server_hash: u64) -> Summary {
    let crashes = vec![CrashSite { server_hash, incarnation: 1, returns: 0 }];
    let entry = QuarantineEntry {
        request_hash: REQUEST_HASH,
        crashes,
        completed_ms_ago: None,
        is_confirmed: false,
        ttl_ms: 600_000,
    };
    let quarantine = vec![QuarantineRow { pool: POOL, entry }];
    Summary { quarantine, ..MemberState::new(router).empty_summary() }
}

/// The number of servers that the request crashed, as a router learns it from a node.
fn known_crashes(cluster: &Cluster, node: usize) -> Option<usize> {
    let asking = MemberState::new(&format!("asking-{node}")).empty_summary();
    let digest = cluster.exchange(node, &asking)?;
    let entry = digest.quarantine.iter().find(|it| it.entry.request_hash == REQUEST_HASH)?;
    Some(entry.entry.crashes.len())
}

/// Guards against a request that crashes two servers for each control VM, because routers tell
/// their crashes to their own control VM only.
#[test]
fn across_control_vms() {
    let cluster = Cluster::start(3);
    wait_until("a report to node 1", || cluster.exchange(1, &summary("router-1", 1)));
    wait_until("a report to node 2", || cluster.exchange(2, &summary("router-2", 2)));
    for node in 1..=3 {
        wait_until("both crashes at each node", || {
            known_crashes(&cluster, node).filter(|it| *it == 2)
        });
    }
}

/// Guards against a control VM that was restarted and whose routers then run the request again.
#[test]
fn after_restart() {
    let mut cluster = Cluster::start(3);
    for server in 1..=2 {
        wait_until("a report to node 1", || cluster.exchange(1, &summary("router-1", server)));
    }
    wait_until("the crashes at node 2", || known_crashes(&cluster, 2).filter(|it| *it == 2));
    cluster.kill(2);
    cluster.run(2);
    wait_until("the crashes at the restarted node", || {
        known_crashes(&cluster, 2).filter(|it| *it == 2)
    });
}
