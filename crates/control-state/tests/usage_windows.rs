//! The settled usage of windows in the replicated state.

use control_state::{Command, Response, State, USAGE_WINDOWS_MAX, UsageAnswer};
use duties::{UsageReport, WindowId};

fn report(window: u64, count: u64) -> UsageReport {
    let counts = [("hule930".to_owned(), count)].into();
    UsageReport { window: WindowId(window), counts }
}

fn settle(state: &mut State, report: UsageReport) -> UsageAnswer {
    let response = state.apply(Command::SettleUsage(report));
    let Response::Usage(answer) = response else { panic!("{response:?}") };
    answer
}

/// Guards against two holders that report a window with different counts.
#[test]
fn first_wins() {
    let mut state = State::default();
    assert!(!state.is_usage_settled(WindowId(7)));
    assert_eq!(settle(&mut state, report(7, 412)), UsageAnswer::Settled(report(7, 412)));
    assert_eq!(settle(&mut state, report(7, 500)), UsageAnswer::Settled(report(7, 412)));
    assert!(state.is_usage_settled(WindowId(7)));
    assert_eq!(state.open_usage(), [report(7, 412)]);
}

/// Guards against windows that are sent for ever, or with new counts once they were accepted.
#[test]
fn closed_windows() {
    let mut state = State::default();
    for window in [7, 8] {
        settle(&mut state, report(window, window));
    }
    let close = Command::CloseUsage { window: WindowId(7) };
    assert_eq!(state.apply(close.clone()), Response::Applied);
    assert_eq!(state.apply(close), Response::Applied);
    assert_eq!(state.open_usage(), [report(8, 8)]);
    assert_eq!(settle(&mut state, report(7, 9)), UsageAnswer::Settled(report(7, 7)));
    assert_eq!(state.open_usage(), [report(8, 8)]);
    let settled: Vec<_> = state.settled_usage().map(|it| (it.0.window.0, it.1)).collect();
    assert_eq!(settled, [(7, true), (8, false)]);
}

/// Guards against a close of a window that was never settled, which must not settle it.
#[test]
fn unknown_window_closed() {
    let mut state = State::default();
    state.apply(Command::CloseUsage { window: WindowId(7) });
    assert!(!state.is_usage_settled(WindowId(7)));
    assert_eq!(settle(&mut state, report(7, 1)), UsageAnswer::Settled(report(7, 1)));
}

/// Guards against a state that grows with each window, and against a dropped window that is settled anew with
/// other counts.
#[test]
fn bounded_windows() {
    let mut state = State::default();
    let windows = USAGE_WINDOWS_MAX as u64;
    for window in 1..=windows + 2 {
        settle(&mut state, report(window, 1));
    }
    assert_eq!(state.open_usage().len(), USAGE_WINDOWS_MAX);
    for dropped in [0, 1, 2] {
        assert!(state.is_usage_settled(WindowId(dropped)));
        assert_eq!(settle(&mut state, report(dropped, 9)), UsageAnswer::TooOld);
    }
    assert_eq!(settle(&mut state, report(3, 9)), UsageAnswer::Settled(report(3, 1)));
}

/// Guards against settled windows that are lost with the log that a snapshot replaces.
#[test]
fn kept_by_snapshot() {
    let mut state = State::default();
    for window in 1..=USAGE_WINDOWS_MAX as u64 + 1 {
        settle(&mut state, report(window, window));
    }
    state.apply(Command::CloseUsage { window: WindowId(5) });
    let mut restored = State::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored.open_usage(), state.open_usage());
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(settle(&mut restored, report(1, 9)), UsageAnswer::TooOld);
}

/// Guards against a deployment without metering whose snapshots change, so that earlier builds can't read them.
#[test]
fn absent_without_usage() {
    let mut state = State::default();
    state.apply(Command::AcquireFencing { holder: "vm-1".to_owned() });
    let earlier = state.snapshot();
    settle(&mut state, report(7, 1));
    let later = state.snapshot();
    // A build without usage reads the base and skips the extension behind it.
    assert!(later.starts_with(&earlier) && later.len() > earlier.len());
}

/// Guards against a snapshot of a build without usage that is refused or read as something else.
#[test]
fn earlier_snapshot() {
    let mut state = State::default();
    state.apply(Command::AcquireFencing { holder: "vm-1".to_owned() });
    let mut restored = State::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored.fencing_holder(), "vm-1");
    assert!(restored.open_usage().is_empty());
    assert!(!restored.is_usage_settled(WindowId(0)));
    assert_eq!(settle(&mut restored, report(7, 1)), UsageAnswer::Settled(report(7, 1)));
}
