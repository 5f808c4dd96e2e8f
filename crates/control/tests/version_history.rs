//! Which pools have had a single software version for longer than streams last, across restarts. Guards
//! against streams that go on at another version because an older one was forgotten.

use control::VersionHistory;
use directory::{ListedVm, VmState};

const START_MS: u64 = 1_790_000_000_000;
const SECOND_MS: u64 = 1_000;

fn listed(port: u16, version: &str) -> ListedVm {
    ListedVm {
        addr: ([127, 0, 0, 1], port).into(),
        failure_domain: String::new(),
        pool: "svc".to_owned(),
        incarnation: 0,
        label: format!("i-{port}"),
        software_version: version.to_owned(),
        slots: 4,
        state: VmState::Live,
        is_spot: false,
        leaves_in_ms: None,
    }
}

/// Reads the same list once a second up to a time.
fn run_to(history: &mut VersionHistory, from_s: u64, to_s: u64, list: &[ListedVm]) {
    for second in from_s..=to_s {
        history.record(START_MS + second * SECOND_MS, Some(list));
    }
}

fn sole(history: &VersionHistory, at_s: u64) -> Option<String> {
    let now_ms = START_MS + at_s * SECOND_MS;
    history.sole_versions(now_ms).map(|(pool, version)| format!("{pool} {version}")).next()
}

fn v1() -> Option<String> {
    Some("svc v1".to_owned())
}

#[test]
fn since_the_beginning() {
    let mut history = VersionHistory::beginning(START_MS);
    run_to(&mut history, 1, 3, &[listed(1, "v1"), listed(2, "v1")]);
    assert_eq!(sole(&history, 3), v1());
    // All processes are killed, and the list is read again some seconds later.
    run_to(&mut history, 8, 8, &[listed(1, "v1")]);
    assert_eq!(sole(&history, 8), v1());
}

#[test]
fn after_a_release() {
    let mut history = VersionHistory::beginning(START_MS);
    run_to(&mut history, 1, 3, &[listed(1, "v0")]);
    run_to(&mut history, 4, 5, &[listed(1, "v0"), listed(2, "v1")]);
    assert_eq!(sole(&history, 5), None);
    run_to(&mut history, 6, 40, &[listed(2, "v1")]);
    assert_eq!(sole(&history, 40), None, "streams of 35 s before may be of the old version");
    run_to(&mut history, 41, 41, &[listed(2, "v1")]);
    assert_eq!(sole(&history, 41), v1());
}

#[test]
fn after_a_gap() {
    let mut history = VersionHistory::beginning(START_MS);
    run_to(&mut history, 1, 3, &[listed(1, "v1")]);
    // Servers of another version may have come and gone while no list was read.
    run_to(&mut history, 14, 48, &[listed(1, "v1")]);
    assert_eq!(sole(&history, 48), None);
    run_to(&mut history, 49, 49, &[listed(1, "v1")]);
    assert_eq!(sole(&history, 49), v1());
}

/// A member that has joined knows nothing of the versions before.
#[test]
fn without_a_beginning() {
    let mut history = VersionHistory::default();
    run_to(&mut history, 1, 35, &[listed(1, "v1")]);
    assert_eq!(sole(&history, 35), None);
    run_to(&mut history, 36, 36, &[listed(1, "v1")]);
    assert_eq!(sole(&history, 36), v1());
}

#[test]
fn clock_set_back() {
    let mut history = VersionHistory::beginning(START_MS);
    run_to(&mut history, 11, 12, &[listed(1, "v0"), listed(2, "v1")]);
    run_to(&mut history, 13, 13, &[listed(2, "v1")]);
    run_to(&mut history, 2, 40, &[listed(2, "v1")]);
    assert_eq!(sole(&history, 40), None);
}

/// The history does not grow with the versions that have been there.
#[test]
fn old_versions_forgotten() {
    let mut history = VersionHistory::beginning(START_MS);
    for second in 0..500 {
        run_to(&mut history, second, second, &[listed(1, &format!("v{second}"))]);
    }
    let mut steady = history.clone();
    run_to(&mut history, 500, 600, &[listed(1, "v1")]);
    steady.record(START_MS + 600 * SECOND_MS, Some(&[]));
    assert_eq!(sole(&history, 600), v1());
    assert!(format!("{steady:?}").len() < 3_000, "the history keeps {steady:?}");
}
