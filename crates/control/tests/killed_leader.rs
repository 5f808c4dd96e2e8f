//! Guards against the loss of accepted tables, or a return to older ones, when nodes are killed,
//! frozen or stopped.

mod support;

use control_state::TablesAnswer;
use support::Cluster;
use tables::Revision;

const ALL: [usize; 3] = [1, 2, 3];

fn others(node: usize) -> [usize; 2] {
    let left: Vec<_> = ALL.into_iter().filter(|it| *it != node).collect();
    [left[0], left[1]]
}

fn accepted(revision: u64) -> TablesAnswer {
    TablesAnswer::Accepted { revision: Revision(revision) }
}

#[test]
fn killed_leader() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.await_leader(&ALL);
    assert_eq!(cluster.propose(leader, "a", 0, 1), Ok(accepted(1)));

    cluster.kill(leader);
    let rest = others(leader);
    cluster.await_leader(&rest);
    assert_eq!(cluster.propose_until_answered(rest[0], "b", 1, 2), accepted(2));
    // A change resent to another node after the change of leader gets its first answer.
    assert_eq!(cluster.propose_until_answered(rest[1], "a", 0, 1), accepted(1));

    cluster.run(leader);
    cluster.await_revision(leader, 2);
    let (_, text, _) = cluster.tables(leader).expect("the node returns its tables");
    assert_eq!(text, support::tables_text(2));
}

#[test]
fn frozen_leader() {
    let cluster = Cluster::start(3);
    let leader = cluster.await_leader(&ALL);
    assert_eq!(cluster.propose(leader, "a", 0, 1), Ok(accepted(1)));

    cluster.freeze(leader);
    let rest = others(leader);
    cluster.await_leader(&rest);
    assert_eq!(cluster.propose_until_answered(rest[0], "b", 1, 2), accepted(2));
    cluster.thaw(leader);

    // The old leader's lease expired while it was frozen, so it cannot accept a change alone: the
    // next change it receives is decided by the new leader's log.
    let answer = cluster.propose_until_answered(leader, "c", 1, 3);
    assert_eq!(answer, TablesAnswer::Conflict { current: Revision(2) });
}

#[test]
fn planned_stop() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.await_leader(&ALL);
    assert_eq!(cluster.propose(leader, "a", 0, 1), Ok(accepted(1)));

    assert!(cluster.stop(leader), "a graceful stop exits with status 0");
    let rest = others(leader);
    assert_eq!(cluster.propose_until_answered(rest[1], "b", 1, 2), accepted(2));
}

#[test]
fn all_killed() {
    let mut cluster = Cluster::start(3);
    for number in 0..150 {
        let change = format!("change-{number}");
        let answer = cluster.propose_until_answered(1, &change, number, number + 1);
        assert_eq!(answer, accepted(number + 1));
    }
    ALL.iter().for_each(|node| cluster.kill(*node));
    ALL.iter().for_each(|node| cluster.run(*node));

    cluster.await_leader(&ALL);
    ALL.iter().for_each(|node| cluster.await_revision(*node, 150));
    // The answers to changes from before the snapshot are still known.
    assert_eq!(cluster.propose_until_answered(2, "change-3", 3, 4), accepted(4));
}
