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
const LEASE_SEEDS: u64 = 40;
const LEADER_SEEDS: u64 = 200;
const CLOCK_BOUND_PERMILLE: i64 = 200;

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

/// Cuts off the leader n1 under these clock rates; the cluster checks the leases at each step.
fn check_clock_rates(leader_permille: i64, others_permille: i64) {
    for seed in 0..LEASE_SEEDS {
        let mut cluster: Cluster<Journal> = Cluster::new(3, seed);
        cluster.settle();
        cluster.set_clock_rate(1, leader_permille);
        cluster.set_clock_rate(2, others_permille);
        cluster.set_clock_rate(3, others_permille);
        cluster.run(Duration::from_millis(500 + seed * 7));
        cluster.isolate(1);
        cluster.run(Duration::from_millis(2_000));
        assert!(cluster.leader().is_some_and(|it| it != 1), "seed {seed}: nobody took over");
    }
}

#[test]
fn slow_leader_clock() {
    check_clock_rates(-CLOCK_BOUND_PERMILLE, CLOCK_BOUND_PERMILLE);
}

#[test]
fn fast_leader_clock() {
    check_clock_rates(CLOCK_BOUND_PERMILLE, -CLOCK_BOUND_PERMILLE);
}

/// A voter restarts just after it answered a heartbeat that the leader still counts its lease from,
/// while another node that cannot hear the leader asks for votes.
#[test]
fn restarted_voter() {
    for seed in 0..LEASE_SEEDS {
        let mut cluster: Cluster<Journal> = Cluster::new(3, seed);
        cluster.settle();
        cluster.cut_pair(1, 3);
        cluster.run(Duration::from_millis(1_000 + seed * 7));
        assert_eq!(cluster.lease_holders(), [1], "seed {seed}");
        cluster.kill(2);
        cluster.start(2);
        cluster.cut_pair(1, 2);
        cluster.run(Duration::from_millis(2_000));
        assert!(cluster.leader().is_some_and(|it| it != 1), "seed {seed}: nobody took over");
    }
}

/// The fake time from a fault to the lease of the next leader, for many seeds, sorted.
fn times_to_new_leader(fault: impl Fn(&mut Cluster<Journal>)) -> Vec<Duration> {
    let time = |seed| {
        let mut cluster: Cluster<Journal> = Cluster::new(3, seed);
        cluster.settle();
        cluster.run(Duration::from_millis(seed * 7));
        fault(&mut cluster);
        let killed_at = cluster.elapsed;
        while cluster.leader().is_none() {
            cluster.run(Duration::from_millis(5));
        }
        cluster.elapsed - killed_at
    };
    let mut times: Vec<_> = (0..LEADER_SEEDS).map(time).collect();
    times.sort();
    times
}

fn check_times(times: &[Duration]) {
    let timeout = cluster::settings().election_timeout;
    let median = times[times.len() / 2];
    let worst = times[times.len() - 1];
    assert!(median <= timeout * 2, "median {median:?}");
    assert!(worst <= timeout * 4, "worst {worst:?}");
}

#[test]
fn new_leader_in_time() {
    check_times(&times_to_new_leader(|cluster| cluster.kill(1)));
}

/// All lose power and come back together: the times of recovery that the election timeout sets.
#[test]
fn leader_after_power_loss() {
    check_times(&times_to_new_leader(|cluster| {
        for member in 1..=3 {
            cluster.kill(member);
        }
        for member in 1..=3 {
            cluster.start(member);
        }
    }));
}
