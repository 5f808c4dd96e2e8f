//! Guards against commands that are reported as refused although they may still run.

use consensus::{LogIndex, Proposal, Term};
use control::Pending;
use futures::FutureExt;
use rpc::SubmitResult;

fn wait_at(pending: &mut Pending, index: u64) -> impl FnOnce() -> Option<SubmitResult> + use<> {
    let proposal = Proposal { index: LogIndex(index), term: Term(2) };
    let answer = pending.wait_for(proposal);
    move || answer.now_or_never()?.ok()
}

#[test]
fn same_term() {
    let mut pending = Pending::default();
    let answer = wait_at(&mut pending, 5);
    pending.applied(LogIndex(5), Term(2), vec![1]);
    assert_eq!(answer(), Some(SubmitResult::Response(vec![1])));
}

#[test]
fn other_term() {
    let mut pending = Pending::default();
    let answer = wait_at(&mut pending, 5);
    pending.applied(LogIndex(5), Term(3), vec![1]);
    assert!(matches!(answer(), Some(SubmitResult::Refused(_))));
}

#[test]
fn skipped_by_snapshot() {
    let mut pending = Pending::default();
    let answer = wait_at(&mut pending, 5);
    let later = wait_at(&mut pending, 9);
    // The command at 5 may be part of the snapshot up to 7, so it may have run.
    pending.applied(LogIndex(8), Term(3), vec![1]);
    assert!(matches!(answer(), Some(SubmitResult::InDoubt(_))));
    assert_eq!(later(), None);
}

#[test]
fn restored_snapshot() {
    let mut pending = Pending::default();
    let answer = wait_at(&mut pending, 5);
    pending.restored(LogIndex(7));
    assert!(matches!(answer(), Some(SubmitResult::InDoubt(_))));
}
