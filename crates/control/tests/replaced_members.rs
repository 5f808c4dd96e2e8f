//! Guards against a control plane that ends when a VM fails right after a planned replacement: the
//! VM that left still had its vote, so that two of three voters were gone.

mod support;

use control_state::DocumentAnswer;
use support::{Cluster, Start, wait_until};

const SEEDS: [usize; 3] = [1, 2, 3];

/// Waits until the leader reports the node as a learner that lacks nothing.
fn await_synced_learner(cluster: &Cluster, node: usize) {
    let member = wait_until("the node's member", || {
        Some(cluster.status(node)?["member"].as_str()?.to_owned())
    });
    wait_until("a synced learner", || {
        let leader = cluster.await_leader(&SEEDS);
        let status = cluster.status(leader)?;
        let is_learner = status["learners"].as_array()?.iter().any(|it| *it == member.as_str());
        let peers = status["peers"].as_array()?;
        let is_synced =
            |it: &serde_json::Value| it["member"] == member.as_str() && it["is-synced"] == true;
        (is_learner && peers.iter().any(is_synced)).then_some(())
    });
}

fn replaced_cluster() -> Cluster {
    let mut cluster = Cluster::unnumbered(4);
    for node in SEEDS {
        cluster.run_seeded(node, &SEEDS, Start::First);
    }
    cluster.await_voters(3);
    cluster.put_until_answered(1, 7);
    cluster.run_seeded(4, &SEEDS, Start::Later);
    await_synced_learner(&cluster, 4);
    cluster
}

/// Loses one more VM at once and expects the state and further changes on the two that remain.
fn lose_and_check(mut cluster: Cluster, lost: usize, remaining: usize) {
    cluster.kill(lost);
    cluster.lose_disk(lost);
    assert_eq!(cluster.confirmed_document(remaining).version, 7);
    let answer = cluster.put_until_answered(4, 8);
    assert_eq!(answer, DocumentAnswer::Accepted { version: 8 });
}

#[test]
fn loss_after_leader_left() {
    let mut cluster = replaced_cluster();
    let leader = cluster.await_leader(&SEEDS);
    assert!(cluster.stop(leader));
    let others: Vec<_> = SEEDS.into_iter().filter(|it| *it != leader).collect();
    lose_and_check(cluster, others[0], others[1]);
}

#[test]
fn loss_after_follower_left() {
    let mut cluster = replaced_cluster();
    let leader = cluster.await_leader(&SEEDS);
    let others: Vec<_> = SEEDS.into_iter().filter(|it| *it != leader).collect();
    assert!(cluster.stop(others[0]));
    lose_and_check(cluster, leader, others[1]);
}
