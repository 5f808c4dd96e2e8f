//! After a crash between any two writes, saved state is whole and the last change all or nothing.

#[path = "support/medium.rs"]
mod medium;
#[path = "support/sample.rs"]
mod sample;

use consensus::{DiskId, HardState, LogIndex, Recovered, Snapshot, Storage, Term, Writes};
use medium::Medium;
use proptest::{prelude::*, test_runner::RngSeed};
use sample::{append, truncate};
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

/// The change with a number: mostly entries, now and then a truncation or a compaction.
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

    #[test]
    fn power_loss(
        calls in 0..400_u64,
        kept in proptest::collection::vec(any::<bool>(), 1..64),
        phases in phases(),
    ) {
        let medium = Medium::default();
        let mut log = LogFile::with_backend(medium.clone(), &settings(phases), DISK).unwrap();
        medium.fail_after(calls);
        let mut saved = Recovered::default();
        let mut last = 0;
        let mut number = 1;
        // Each round saves one change, until the power goes in the middle of one.
        while log.save(&change(number, &mut last)).is_ok() {
            saved = log.load().unwrap();
            number += 1;
        }
        let mut choice = kept.iter().cycle();
        let medium = medium.after_crash(|| *choice.next().unwrap());
        let found = LogFile::with_backend(medium, &settings(phases), DISK).unwrap().load().unwrap();
        let is_last_change = found.hard_state.term == Term(number);
        prop_assert!(found == saved || is_last_change, "saved {saved:?}\nfound {found:?}");
    }
}
