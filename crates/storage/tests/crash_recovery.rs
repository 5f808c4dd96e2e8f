//! After a crash at any write, the saved state is complete and the interrupted change is either
//! saved as a whole or not at all.

#[path = "support/sample.rs"]
mod sample;
#[path = "support/simulated_disk.rs"]
mod simulated_disk;

use consensus::{DiskId, HardState, LogIndex, Recovered, Snapshot, Storage, Term, Writes};
use proptest::{prelude::*, test_runner::RngSeed};
use sample::{append, truncate};
use simulated_disk::SimulatedDisk;
use storage::{CommitPhases, LogFile, Settings};

const DISK: DiskId = DiskId(7);

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn settings(commit_phases: CommitPhases) -> Settings {
    Settings { commit_phases, ..Settings::default() }
}

fn phases() -> impl Strategy<Value = CommitPhases> {
    prop_oneof![Just(CommitPhases::One), Just(CommitPhases::Two)]
}

/// The change with this number: mostly appended entries, sometimes a truncation or a compaction.
fn change(number: u64, last: &mut u64) -> Writes {
    let mut writes = match number % 4 {
        3 if *last > 2 => {
            *last -= 2;
            truncate(*last + 1, number, *last + 1..=*last + 1)
        }
        _ => append(number, *last + 1..=*last + 3),
    };
    *last += writes.append.len() as u64;
    writes.hard_state = Some(HardState { term: Term(number), voted_for: None });
    if number % 5 == 4 {
        let index = LogIndex(*last - 2);
        let snapshot = Snapshot { index, term: Term(1), ..Snapshot::default() };
        writes.snapshot = Some(snapshot.into());
        writes.compact_to = Some(index);
    }
    writes
}

proptest! {
    #![proptest_config(config())]

    /// A crash must not lose a saved change nor leave a part of the interrupted one.
    #[test]
    fn crash_between_writes(
        calls_before_crash in 0..400_u64,
        kept_changes in proptest::collection::vec(any::<bool>(), 1..64),
        phases in phases(),
    ) {
        let disk = SimulatedDisk::default();
        let mut log = LogFile::with_backend(disk.clone(), &settings(phases), DISK).unwrap();
        disk.fail_after(calls_before_crash);
        let mut saved = Recovered::default();
        let mut last = 0;
        let mut number = 1;
        // Saves one change per iteration, until the simulated power loss interrupts one.
        while log.save(&change(number, &mut last)).is_ok() {
            saved = log.load().unwrap();
            number += 1;
        }
        let mut keeps = kept_changes.iter().cycle();
        let disk = disk.after_crash(|| *keeps.next().unwrap());
        let recovered = LogFile::with_backend(disk, &settings(phases), DISK).unwrap().load().unwrap();
        let has_interrupted_change = recovered.hard_state.term == Term(number);
        prop_assert!(recovered == saved || has_interrupted_change, "saved {saved:?}\nrecovered {recovered:?}");
    }
}
