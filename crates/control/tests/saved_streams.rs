//! Guards against streams that cannot go on after a kill of all control VMs, as nobody knows any more which
//! software version began them.

mod support;

use dissemination::{BegunStreams, MemberState, StreamHash, Summary};
use policy::VersionHash;
use support::{Cluster, wait_until};

/// A file of the first format: it holds stream 1 and was saved far in the future, so that it never expires.
const LANDED_FILE: [u8; 29] = [
    1, 0, 0, 0, 21, 0, 0, 0, 222, 108, 54, 74, 128, 128, 132, 254, 166, 222, 225, 17, 1, 1, 1, 164,
    143, 233, 220, 148, 69,
];
const NODES: std::ops::RangeInclusive<usize> = 1..=3;

fn begun(number: u32) -> Vec<BegunStreams> {
    let stream = StreamHash::of(&format!("{number:016x}"));
    BegunStreams::group([(stream, VersionHash(number))])
}

/// Tells a node of a stream, and waits until the nodes `savers` have saved it.
fn tell(cluster: &Cluster, node: usize, number: u32, savers: impl Iterator<Item = usize>) {
    let saved_before: Vec<_> = savers.map(|it| (it, cluster.saved_streams(it))).collect();
    let told =
        Summary { begun_streams: begun(number), ..MemberState::new("router-1").empty_summary() };
    wait_until("a report", || cluster.exchange(node, &told));
    for (saver, before) in saved_before {
        wait_until("a save", || (cluster.saved_streams(saver) != before).then_some(()));
    }
}

/// Tells a node of a stream, and waits until each node has saved it.
fn tell_all(cluster: &Cluster, node: usize, number: u32) {
    tell(cluster, node, number, NODES);
}

fn check_known(cluster: &Cluster, numbers: &[u32]) {
    for node in NODES {
        for number in numbers {
            let stream_lookups = vec![begun(*number)[0].streams[0]];
            let empty = MemberState::new(&format!("asking-{node}")).empty_summary();
            let asking = Summary { stream_lookups, ..empty };
            let found = wait_until("an answer", || cluster.exchange(node, &asking)).found_streams;
            assert_eq!(found, begun(*number), "node {node}");
        }
    }
}

#[test]
fn all_killed() {
    let mut cluster = Cluster::start(3);
    tell_all(&cluster, 1, 1);
    for number in [2, 3] {
        NODES.for_each(|it| cluster.kill(it));
        NODES.for_each(|it| cluster.run(it));
        // What an earlier run saved is kept beside what this one learns.
        tell_all(&cluster, 2, number);
        check_known(&cluster, &(1..=number).collect::<Vec<_>>());
    }
}

/// A write that a crash has interrupted costs the streams in it, and nothing else.
#[test]
fn torn_save() {
    let mut cluster = Cluster::start(3);
    tell_all(&cluster, 1, 1);
    tell_all(&cluster, 1, 2);
    NODES.for_each(|it| cluster.kill(it));
    for node in NODES {
        let mut saved = cluster.saved_streams(node).expect("a file");
        saved.pop();
        cluster.replace_saved_streams(node, &saved);
    }
    NODES.for_each(|it| cluster.run(it));
    check_known(&cluster, &[1]);
}

/// A control VM serves without what it cannot read.
#[test]
fn unreadable_file() {
    let mut cluster = Cluster::start(3);
    tell_all(&cluster, 1, 1);
    cluster.kill(1);
    cluster.replace_saved_streams(1, b"no streams");
    cluster.run(1);
    tell_all(&cluster, 1, 2);
    check_known(&cluster, &[2]);
}

/// A file that an earlier build has saved is read after an upgrade.
#[test]
fn landed_file() {
    let mut cluster = Cluster::start(3);
    NODES.for_each(|it| cluster.kill(it));
    NODES.for_each(|it| cluster.replace_saved_streams(it, &LANDED_FILE));
    NODES.for_each(|it| cluster.run(it));
    check_known(&cluster, &[1]);
}

/// What could not be saved is saved once that works again, although no further stream begins.
#[test]
fn failed_saves() {
    let mut cluster = Cluster::start(3);
    cluster.block_saved_streams(1);
    for number in [1, 2] {
        tell(&cluster, 1, number, [2].into_iter());
    }
    assert_eq!(cluster.saved_streams(1), None);
    cluster.unblock_saved_streams(1);
    wait_until("a save", || cluster.saved_streams(1));
    cluster.kill(1);
    cluster.run(1);
    check_known(&cluster, &[1, 2]);
}
