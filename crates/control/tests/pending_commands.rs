//! A command is called refused only if it is known that it never runs.

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
fn own_entry() {
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
    // The snapshot up to 7 may hold the command at 5, so nobody can say that it never runs.
    pending.applied(LogIndex(8), Term(3), vec![1]);
    assert!(matches!(answer(), Some(SubmitResult::InDoubt(_))));
    assert_eq!(later(), None);
}

#[test]
fn answered_at_snapshot() {
    let mut pending = Pending::default();
    let answer = wait_at(&mut pending, 5);
    pending.restored(LogIndex(7));
    assert!(matches!(answer(), Some(SubmitResult::InDoubt(_))));
}
