//! Guards against control VMs that need an operator to bootstrap a cluster, to join it or to
//! replace one another, or that bootstrap a second cluster.

mod support;

use control_state::DocumentAnswer;
use support::{Cluster, Start};

fn member(cluster: &Cluster, node: usize) -> String {
    support::wait_until("the node's member", || {
        Some(cluster.status(node)?["member"].as_str()?.to_owned())
    })
}

#[test]
fn joint_bootstrap() {
    let mut cluster = Cluster::unnumbered(3);
    for node in [3, 1, 2] {
        cluster.run_seeded(node, &[1, 2, 3], Start::First);
    }
    cluster.await_voters(3);
    assert_eq!(cluster.put_until_answered(2, 7), DocumentAnswer::Accepted { version: 7 });
    for node in 1..=3 {
        assert_eq!(cluster.confirmed_document(node).version, 7);
    }
}

#[test]
fn lost_disk() {
    let mut cluster = Cluster::unnumbered(3);
    for node in 1..=3 {
        cluster.run_seeded(node, &[1, 2, 3], Start::First);
    }
    cluster.await_voters(3);
    cluster.put_until_answered(1, 7);
    cluster.kill(2);
    cluster.lose_disk(2);
    cluster.run_seeded(2, &[1, 2, 3], Start::Later);
    cluster.await_repair(&member(&cluster, 2));
    // The new member holds the state, so the loss of another VM loses no data.
    cluster.kill(1);
    assert_eq!(cluster.confirmed_document(2).version, 7);
}

#[test]
fn replaced_vm() {
    let mut cluster = Cluster::unnumbered(4);
    for node in 1..=3 {
        cluster.run_seeded(node, &[1, 2, 3], Start::First);
    }
    cluster.await_voters(3);
    cluster.put_until_answered(1, 7);
    // The new node knows only one seed, which may not be the leader; the lost VM stays down.
    cluster.kill(3);
    cluster.run_seeded(4, &[2], Start::Later);
    cluster.await_repair(&member(&cluster, 4));
    cluster.kill(1);
    assert_eq!(cluster.confirmed_document(4).version, 7);
}

#[test]
fn no_later_bootstrap() {
    let mut cluster = Cluster::unnumbered(2);
    cluster.run_seeded(1, &[1, 2], Start::Later);
    cluster.run_seeded(2, &[1, 2], Start::Later);
    let voters =
        support::wait_until("the status", || Some(cluster.status(1)?["voters"].as_array()?.len()));
    assert_eq!(voters, 0, "an empty disk bootstrapped a cluster after the first start");
}
