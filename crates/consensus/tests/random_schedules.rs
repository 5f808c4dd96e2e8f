//! Random schedules of faults over a cluster, with all invariants checked at each step.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/history.rs"]
mod history;
#[path = "support/journal.rs"]
mod journal;
#[path = "support/schedule.rs"]
mod schedule;

use std::time::Duration;

use cluster::Cluster;
use journal::Journal;
use proptest::prelude::*;
use schedule::Event;

const EVENTS: usize = 80;

proptest! {
    #![proptest_config(schedule::config())]

    #[test]
    fn promises_hold(
        size in prop_oneof![Just(3_u64), Just(5)],
        seed in any::<u64>(),
        events in proptest::collection::vec(schedule::event(), 1..EVENTS),
    ) {
        check_schedule(size, seed, &events);
    }
}

/// Runs the events then ends all faults and expects full recovery.
fn check_schedule(size: u64, seed: u64, events: &[Event]) {
    let mut cluster: Cluster<Journal> = Cluster::new(size, seed);
    cluster.settle();
    let mut accepted = Vec::new();
    for (number, event) in events.iter().enumerate() {
        if matches!(event, Event::Propose) {
            let line = format!("line {number}");
            accepted.extend(schedule::propose_anywhere(&mut cluster, line.as_bytes()));
        }
        schedule::cause(&mut cluster, event);
        cluster.run(Duration::from_millis(30));
    }
    schedule::end_all_faults(&mut cluster);
    let lines: Vec<_> = cluster.hosts[&1].app.lines().map(str::to_owned).collect();
    for host in cluster.hosts.values() {
        assert!(host.app.lines().eq(lines.iter()), "all nodes end in the same state");
    }
    let mut once = lines.clone();
    once.sort();
    once.dedup();
    assert_eq!(once.len(), lines.len(), "a command is applied twice");
    for proposal in accepted {
        if let Some(Ok(line)) = cluster.answer(proposal.0, proposal.1) {
            let line = String::from_utf8(line).expect("lines are text");
            assert!(lines.contains(&line), "the committed command `{line}` is lost");
        }
    }
}
