//! Guards against two concurrent proposals that are both accepted on the same base revision.

mod support;

use std::thread;

use control_state::TablesAnswer;
use support::Cluster;

#[test]
fn single_winner() {
    let cluster = Cluster::start(3);
    for round in 0..5_u64 {
        let answers: Vec<_> = thread::scope(|scope| {
            let propose = |node: usize| {
                let (cluster, change) = (&cluster, format!("round-{round}-node-{node}"));
                let tables = 10 * round + node as u64;
                scope.spawn(move || cluster.propose_until_answered(node, &change, round, tables))
            };
            let threads: Vec<_> = (1..=3).map(propose).collect();
            threads.into_iter().map(|it| it.join().expect("the thread does not panic")).collect()
        });
        let wins = answers.iter().filter(|it| matches!(it, TablesAnswer::Accepted { .. })).count();
        assert_eq!(wins, 1, "round {round}: {answers:?}");
    }
}
