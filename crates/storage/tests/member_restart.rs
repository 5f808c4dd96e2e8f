//! A member on a real store keeps every command that it has handed out as committed.

#[path = "support/medium.rs"]
mod medium;

use std::time::Instant;

use consensus::{
    DiskId, Entry, Members, Node, NodeId, Payload, Peer, Settings, Snapshot, Storage, StorageError,
};
use medium::Medium;
use proptest::{prelude::*, test_runner::RngSeed};
use storage::LogFile;

const ME: Peer = Peer { node: NodeId(1), disk: DiskId(7) };
const COMPACT_EVERY: u64 = 5;

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn open(medium: Medium) -> LogFile {
    LogFile::with_backend(medium, &storage::Settings::default(), ME.disk).expect("the store opens")
}

/// Starts the only voter of a cluster and lets it elect itself.
fn start(log: &LogFile) -> (Node, Instant) {
    let begin = Instant::now();
    let settings = Settings { kept_entries: 2, ..Settings::default() };
    let mut node = Node::new(settings, ME, log.load().expect("the store is whole"), begin);
    let now = node.next_tick();
    node.tick(now);
    (node, now)
}

/// Carries out all work; the state of the application is the list of its commands.
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
    if entry.index.0.is_multiple_of(COMPACT_EVERY) {
        node.compact(entry.index, commands.clone());
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn committed_survives(
        calls in 0..300_u64,
        kept in proptest::collection::vec(any::<bool>(), 1..64),
    ) {
        let medium = Medium::default();
        let mut log = open(medium.clone());
        log.bootstrap(Snapshot::bootstrap(Members::of_voters([ME]))).expect("the store is new");
        let (mut node, now) = start(&log);
        medium.fail_after(calls);
        let mut before = Vec::new();
        let mut number = 0;
        // The power goes in the middle of some write.
        while drive(&mut node, &mut log, now, &mut before).is_ok() {
            number += 1;
            node.propose(now, vec![number]).expect("the only voter leads");
        }

        let mut choice = kept.iter().cycle();
        let mut log = open(medium.after_crash(|| *choice.next().expect("endless")));
        let (mut node, now) = start(&log);
        let mut after = Vec::new();
        drive(&mut node, &mut log, now, &mut after).expect("the disk works again");
        prop_assert!(after.starts_with(&before), "before {before:?}\nafter {after:?}");
        prop_assert!(after.len() <= before.len() + 1, "before {before:?}\nafter {after:?}");
    }
}
