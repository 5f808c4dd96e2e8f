//! Random schedules of faults, and the recovery from them, for any application.

use std::time::Duration;

use consensus::{Peer, Proposal, RepairStep};
use proptest::{prelude::*, test_runner::RngSeed};

use crate::cluster::{App, Cluster};

const FIXED_SEED: u64 = 5;

/// One fault, repair or pause; node numbers are taken modulo the cluster's size.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Propose,
    Run(u64),
    Cut(u64, u64),
    CutOneWay(u64, u64),
    Isolate(u64),
    Heal,
    Freeze(u64),
    Resume(u64),
    Kill(u64),
    KillAfterSync(u64),
    Start(u64),
    Restart(u64),
    LoseDisk(u64),
    SlowDisk(u64, u64),
    ClockRate(u64, i64),
    Repeat(u32),
    Transfer(u64),
    Repair,
}

/// Uses a fixed seed, so that runs are reproducible, unless proptest's environment variables set
/// another one.
pub(crate) fn config() -> ProptestConfig {
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    match config.rng_seed {
        RngSeed::Random => ProptestConfig { rng_seed: RngSeed::Fixed(FIXED_SEED), ..config },
        RngSeed::Fixed(_) => config,
    }
}

pub(crate) fn event() -> impl Strategy<Value = Event> {
    let node = || 0..5_u64;
    prop_oneof![
        8 => Just(Event::Propose),
        6 => (0..600_u64).prop_map(Event::Run),
        2 => (node(), node()).prop_map(|(a, b)| Event::Cut(a, b)),
        2 => (node(), node()).prop_map(|(a, b)| Event::CutOneWay(a, b)),
        2 => node().prop_map(Event::Isolate),
        3 => Just(Event::Heal),
        2 => node().prop_map(Event::Freeze),
        3 => node().prop_map(Event::Resume),
        2 => node().prop_map(Event::Kill),
        2 => node().prop_map(Event::KillAfterSync),
        4 => node().prop_map(Event::Start),
        4 => node().prop_map(Event::Restart),
        2 => node().prop_map(Event::LoseDisk),
        2 => (node(), 0..120_u64).prop_map(|(a, b)| Event::SlowDisk(a, b)),
        3 => (node(), -200..=200_i64).prop_map(|(a, b)| Event::ClockRate(a, b)),
        1 => (0..1_000_u32).prop_map(Event::Repeat),
        2 => node().prop_map(Event::Transfer),
        4 => Just(Event::Repair),
    ]
}

/// Applies an event to the cluster; proposals are left to the caller.
pub(crate) fn inject<A: App>(cluster: &mut Cluster<A>, event: &Event) {
    let size = cluster.hosts.len() as u64;
    let id = |number: u64| number % size + 1;
    match *event {
        Event::Propose => {}
        Event::Run(time_ms) => cluster.run(Duration::from_millis(time_ms)),
        Event::Cut(a, b) => cluster.cut_pair(id(a), id(b)),
        Event::CutOneWay(a, b) => _ = cluster.cuts.insert((id(a), id(b))),
        Event::Isolate(a) => cluster.isolate(id(a)),
        Event::Heal => cluster.cuts.clear(),
        Event::Freeze(a) => cluster.host(id(a)).is_frozen = true,
        Event::Resume(a) => cluster.host(id(a)).is_frozen = false,
        Event::Kill(a) => cluster.kill(id(a)),
        Event::KillAfterSync(a) => cluster.kill_after_sync(id(a)),
        Event::Start(a) => cluster.start(id(a)),
        Event::Restart(a) => {
            cluster.kill(id(a));
            cluster.start(id(a));
        }
        Event::LoseDisk(a) => lose_disk_if_minority(cluster, id(a)),
        Event::SlowDisk(a, time_ms) => {
            cluster.host(id(a)).sync_time = Duration::from_millis(time_ms);
        }
        Event::ClockRate(a, permille) => cluster.set_clock_rate(id(a), permille),
        Event::Repeat(permille) => cluster.repeat_permille = permille,
        Event::Transfer(to) => {
            if let Some(leader) = cluster.leader() {
                _ = cluster.transfer(leader, id(to));
            }
        }
        Event::Repair => cluster.repair(),
    }
}

/// Proposes at one node after another until one accepts, which only the leader does; gives its id
/// and the proposal.
pub(crate) fn propose_anywhere<A: App>(
    cluster: &mut Cluster<A>,
    command: &[u8],
) -> Option<(u64, Proposal)> {
    let ids: Vec<_> = cluster.hosts.keys().copied().collect();
    let is_responsive = |it: &u64| !cluster.hosts[it].is_frozen;
    let ids: Vec<_> = ids.into_iter().filter(is_responsive).collect();
    ids.into_iter().find_map(|id| Some((id, cluster.propose(id, command).ok()?)))
}

/// Ends all faults, repairs until the leader reports that the repair is finished, and lets all
/// nodes catch up.
pub(crate) fn recover_cluster<A: App>(cluster: &mut Cluster<A>) {
    cluster.cuts.clear();
    cluster.repeat_permille = 0;
    let ids: Vec<_> = cluster.hosts.keys().copied().collect();
    for id in ids {
        cluster.host(id).is_frozen = false;
        cluster.host(id).sync_time = Duration::ZERO;
        cluster.start(id);
    }
    for _ in 0..100 {
        cluster.run(Duration::from_millis(200));
        cluster.repair();
        if matches!(cluster.repair_step(), Some((_, RepairStep::Finished))) {
            cluster.run(Duration::from_millis(500));
            return;
        }
    }
    panic!("no recovery within 20 s: {:?}", cluster.repair_step());
}

/// Loses a disk only if the voters that have then lost theirs are a minority.
///
/// Counts the losses from the hosts, since the leader's status may not show the latest loss yet.
fn lose_disk_if_minority<A: App>(cluster: &mut Cluster<A>, id: u64) {
    let Some(leader) = cluster.leader() else { return };
    let now = cluster.local_now(leader);
    let node = cluster.hosts[&leader].node.as_ref().expect("the leader is running");
    let status = node.status(now);
    let voters = &status.members.voters;
    let is_lost = |voter: &&Peer| cluster.hosts[&voter.node.0].peer != **voter;
    let lost = voters.iter().filter(is_lost).count();
    let is_minority = lost < (voters.len() - 1) / 2;
    if status.members_committed && is_minority {
        cluster.lose_disk(id);
    }
}
