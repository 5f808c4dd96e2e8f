//! Random schedules of faults over a simulated cluster, with all invariants checked at each step.

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
const FAILOVER_SEEDS: u64 = 200;
const CLOCK_BOUND_PERMILLE: i64 = 200;

proptest! {
    #![proptest_config(schedule::config())]

    #[test]
    fn invariants_hold(
        size in prop_oneof![Just(3_u64), Just(5)],
        seed in any::<u64>(),
        events in proptest::collection::vec(schedule::event(), 1..EVENTS),
    ) {
        check_schedule(size, seed, &events);
    }
}

/// Runs the events, then ends all faults. All nodes must end in the same state, in which every
/// committed command is applied exactly once.
fn check_schedule(size: u64, seed: u64, events: &[Event]) {
    let mut cluster: Cluster<Journal> = Cluster::new(size, seed);
    cluster.elect_n1();
    let mut accepted = Vec::new();
    for (number, event) in events.iter().enumerate() {
        if matches!(event, Event::Propose) {
            let line = format!("line {number}");
            accepted.extend(schedule::propose_anywhere(&mut cluster, line.as_bytes()));
        }
        schedule::inject(&mut cluster, event);
        cluster.run(Duration::from_millis(30));
    }
    schedule::recover_cluster(&mut cluster);
    let lines: Vec<_> = cluster.hosts[&1].app.lines().map(str::to_owned).collect();
    for host in cluster.hosts.values() {
        assert!(host.app.lines().eq(lines.iter()), "the nodes end in different states");
    }
    let mut unique_lines = lines.clone();
    unique_lines.sort();
    unique_lines.dedup();
    assert_eq!(unique_lines.len(), lines.len(), "a command is applied twice");
    for proposal in accepted {
        if let Some(Ok(line)) = cluster.response(proposal.0, proposal.1) {
            let line = String::from_utf8(line).expect("lines are UTF-8");
            assert!(lines.contains(&line), "the committed command `{line}` is lost");
        }
    }
}

/// Isolates the leader n1 under these clock rates. At each step the cluster checks that leases do
/// not overlap.
fn check_leases(leader_permille: i64, others_permille: i64) {
    for seed in 0..LEASE_SEEDS {
        let mut cluster: Cluster<Journal> = Cluster::new(3, seed);
        cluster.elect_n1();
        cluster.set_clock_rate(1, leader_permille);
        cluster.set_clock_rate(2, others_permille);
        cluster.set_clock_rate(3, others_permille);
        cluster.run(Duration::from_millis(500 + seed * 7));
        cluster.isolate(1);
        cluster.run(Duration::from_millis(2_000));
        assert!(cluster.leader().is_some_and(|it| it != 1), "seed {seed}: no other node took over");
    }
}

#[test]
fn lease_with_slow_leader() {
    check_leases(-CLOCK_BOUND_PERMILLE, CLOCK_BOUND_PERMILLE);
}

#[test]
fn lease_with_fast_leader() {
    check_leases(CLOCK_BOUND_PERMILLE, -CLOCK_BOUND_PERMILLE);
}

/// A voter that restarts must not vote for another node while the leader's lease, which counts
/// from a heartbeat that the voter answered before the restart, is still valid. The other node is
/// cut off from the leader and asks for votes.
#[test]
fn lease_after_voter_restart() {
    for seed in 0..LEASE_SEEDS {
        let mut cluster: Cluster<Journal> = Cluster::new(3, seed);
        cluster.elect_n1();
        cluster.cut_pair(1, 3);
        cluster.run(Duration::from_millis(1_000 + seed * 7));
        assert_eq!(cluster.lease_holders(), [1], "seed {seed}");
        cluster.kill(2);
        cluster.start(2);
        cluster.cut_pair(1, 2);
        cluster.run(Duration::from_millis(2_000));
        assert!(cluster.leader().is_some_and(|it| it != 1), "seed {seed}: no other node took over");
    }
}

/// The sorted simulated times from a fault to the lease of the next leader, one for each seed.
fn failover_times(fault: impl Fn(&mut Cluster<Journal>)) -> Vec<Duration> {
    let time = |seed| {
        let mut cluster: Cluster<Journal> = Cluster::new(3, seed);
        cluster.elect_n1();
        cluster.run(Duration::from_millis(seed * 7));
        fault(&mut cluster);
        let fault_at = cluster.elapsed;
        while cluster.leader().is_none() {
            cluster.run(Duration::from_millis(5));
        }
        cluster.elapsed - fault_at
    };
    let mut times: Vec<_> = (0..FAILOVER_SEEDS).map(time).collect();
    times.sort();
    times
}

/// Fails unless the median is within two election timeouts and the worst time within four.
fn check_failover_times(times: &[Duration]) {
    let timeout = cluster::settings().election_timeout;
    let median = times[times.len() / 2];
    let worst = times[times.len() - 1];
    assert!(median <= timeout * 2, "median {median:?}");
    assert!(worst <= timeout * 4, "worst {worst:?}");
}

#[test]
fn failover_after_kill() {
    check_failover_times(&failover_times(|cluster| cluster.kill(1)));
}

/// All nodes lose power and restart together; the election timeout determines the time until the
/// next leader.
#[test]
fn failover_after_power_loss() {
    check_failover_times(&failover_times(|cluster| {
        for member in 1..=3 {
            cluster.kill(member);
        }
        for member in 1..=3 {
            cluster.start(member);
        }
    }));
}
