//! Guards against a control VM that stays away from its cluster after its log was damaged, or that
//! votes with the state that it has lost.

mod support;

use support::{Cluster, Start, wait_until};

fn member(cluster: &Cluster, node: usize) -> String {
    wait_until("the node's member", || Some(cluster.status(node)?["member"].as_str()?.to_owned()))
}

/// Guards against a first member that founds its cluster again: its settings still allow that, but the
/// id of its disk has voted.
#[test]
fn rejoins_under_new_id() {
    let mut cluster = Cluster::unnumbered(3);
    for node in 1..=3 {
        cluster.run_seeded(node, &[1, 2, 3], Start::First);
    }
    cluster.await_voters(3);
    cluster.put_until_answered(1, 7);
    let before = member(&cluster, 2);
    cluster.kill(2);
    cluster.empty_log(2);
    cluster.run_seeded(2, &[1, 2, 3], Start::First);
    let after = member(&cluster, 2);
    assert_ne!(after, before);
    cluster.await_repair(&after);
    // The new member holds the state, so the loss of another VM loses no data.
    cluster.kill(1);
    assert_eq!(cluster.confirmed_document(2).version, 7);
}
