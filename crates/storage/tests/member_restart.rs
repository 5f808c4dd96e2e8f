//! After a crash, a member with a real log file returns every command again that it returned as
//! committed before the crash.

#[path = "support/simulated_disk.rs"]
mod simulated_disk;

use std::time::Instant;

use consensus::{
    DiskId, Entry, Members, Node, NodeId, Payload, Peer, Settings, Snapshot, Storage, StorageError,
};
use proptest::{prelude::*, test_runner::RngSeed};
use simulated_disk::SimulatedDisk;
use storage::LogFile;

const ME: Peer = Peer { node: NodeId(1), disk: DiskId(7) };
const COMPACT_EVERY_ENTRIES: u64 = 5;

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn open(disk: SimulatedDisk) -> LogFile {
    LogFile::with_backend(disk, &storage::Settings::default(), ME.disk).expect("the log opens")
}

/// Starts the only voter of a cluster and lets it elect itself.
fn start(log: &LogFile) -> (Node, Instant) {
    let begin = Instant::now();
    let settings = Settings { kept_entries: 2, ..Settings::default() };
    let mut node = Node::new(settings, ME, log.load().expect("the log is undamaged"), begin);
    let now = node.next_tick();
    node.tick(now);
    (node, now)
}

/// Carries out all work of the node; the application's state is the list of its commands.
fn drive(
    node: &mut Node,
    log: &mut LogFile,
    now: Instant,
    commands: &mut Vec<u8>,
) -> Result<(), StorageError> {
    loop {
        let ready = node.ready();
        if ready.is_empty() {
            return Ok(());
        }
        if let Some(snapshot) = ready.restore {
            commands.clone_from(&snapshot.data);
        }
        if let Some(writes) = ready.writes {
            log.save(&writes)?;
            node.persisted(now, writes.id);
        }
        for entry in ready.committed {
            apply(node, entry, commands);
        }
    }
}

fn apply(node: &mut Node, entry: Entry, commands: &mut Vec<u8>) {
    if let Payload::Command(command) = entry.payload {
        commands.extend(command);
    }
    if entry.index.0.is_multiple_of(COMPACT_EVERY_ENTRIES) {
        node.compact(entry.index, commands.clone());
    }
}

proptest! {
    #![proptest_config(config())]

    /// A crash must not lose a command that was returned as committed.
    #[test]
    fn committed_commands_survive(
        calls_before_crash in 0..300_u64,
        kept_changes in proptest::collection::vec(any::<bool>(), 1..64),
    ) {
        let disk = SimulatedDisk::default();
        let mut log = open(disk.clone());
        log.bootstrap(Snapshot::bootstrap(Members::of_voters([ME]))).expect("the disk is empty");
        let (mut node, now) = start(&log);
        disk.fail_after(calls_before_crash);
        let mut before = Vec::new();
        let mut number = 0;
        // The simulated power loss interrupts one of the writes.
        while drive(&mut node, &mut log, now, &mut before).is_ok() {
            number += 1;
            node.propose(now, vec![number]).expect("the only voter is the leader");
        }

        let mut keeps = kept_changes.iter().cycle();
        let mut log = open(disk.after_crash(|| *keeps.next().expect("a cycle has no end")));
        let (mut node, now) = start(&log);
        let mut after = Vec::new();
        drive(&mut node, &mut log, now, &mut after).expect("the disk accepts writes after the crash");
        prop_assert!(after.starts_with(&before), "before {before:?}\nafter {after:?}");
        prop_assert!(after.len() <= before.len() + 1, "before {before:?}\nafter {after:?}");
    }
}
