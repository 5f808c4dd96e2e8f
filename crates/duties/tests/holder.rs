//! When a VM may call the platform, and under which token.

use std::time::{Duration, Instant};

use duties::{CallResult, Holder, HolderAction, HolderSettings, Subject};

const LEASE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(1);

fn holder() -> Holder {
    Holder::new(HolderSettings { lease: LEASE })
}

fn servers(failure_domain: &str) -> Subject {
    Subject::Servers { pool: "p".to_owned(), failure_domain: failure_domain.to_owned() }
}

/// Guards against a new holder whose calls come between those of the one before it within the lease.
#[test]
fn handover_waits() {
    let (mut holder, now) = (holder(), Instant::now());
    assert_eq!(holder.next(now, &Subject::Usage), HolderAction::AcquireToken);
    holder.acquired(now, 7, true);
    let ready = now + LEASE;
    assert_eq!(holder.next(now, &Subject::Usage), HolderAction::Wait(ready));
    assert_eq!(holder.next(ready - TICK, &servers("a")), HolderAction::Wait(ready));
    assert_eq!(holder.next(ready, &Subject::Usage), HolderAction::Call(7));
}

/// Guards against a wait that begins anew, or ends early, with a further token during it.
#[test]
fn wait_kept() {
    let (mut holder, now) = (holder(), Instant::now());
    holder.acquired(now, 7, true);
    holder.acquired(now + LEASE / 2, 8, false);
    assert_eq!(holder.next(now + LEASE - TICK, &Subject::Usage), HolderAction::Wait(now + LEASE));
    assert_eq!(holder.next(now + LEASE, &Subject::Usage), HolderAction::Call(8));
}

/// Guards against a VM that waits although no other one has held the duty since.
#[test]
fn returning_holder() {
    let (mut holder, now) = (holder(), Instant::now());
    holder.acquired(now, 7, false);
    holder.lost();
    holder.acquired(now + TICK, 8, false);
    assert_eq!(holder.next(now + TICK, &Subject::Usage), HolderAction::Call(8));
}

/// Guards against calls of a VM that no longer leads, and against its old token once it leads again.
#[test]
fn leadership_lost() {
    let (mut holder, now) = (holder(), Instant::now());
    holder.acquired(now, 7, false);
    assert!(holder.holds(7));
    holder.lost();
    assert!(!holder.holds(7));
    assert_eq!(holder.next(now, &Subject::Usage), HolderAction::AcquireToken);
    holder.acquired(now, 9, true);
    assert!(!holder.holds(7));
    assert_eq!(holder.next(now, &Subject::Usage), HolderAction::Wait(now + LEASE));
}

/// Guards against a call that reuses a refused token, or one under which a call may still be carried out.
#[test]
fn spent_tokens() {
    for result in [CallResult::Conflict, CallResult::Unanswered] {
        let (mut holder, now) = (holder(), Instant::now());
        holder.acquired(now, 7, false);
        holder.ended(&Subject::Usage, 7, result);
        assert_eq!(holder.next(now, &Subject::Usage), HolderAction::AcquireToken, "{result:?}");
        assert_eq!(holder.next(now, &servers("a")), HolderAction::Call(7), "{result:?}");
        holder.acquired(now, 8, false);
        assert_eq!(holder.next(now, &Subject::Usage), HolderAction::Call(8), "{result:?}");
    }
}

/// Guards against a new token for each call, which costs an entry of the log.
#[test]
fn token_kept() {
    let (mut holder, now) = (holder(), Instant::now());
    holder.acquired(now, 7, false);
    for result in [CallResult::Accepted, CallResult::Busy] {
        holder.ended(&Subject::Usage, 7, result);
        assert_eq!(holder.next(now, &Subject::Usage), HolderAction::Call(7), "{result:?}");
    }
}

/// Guards against a spent token that becomes usable when an earlier call of the same subject ends later.
#[test]
fn late_end() {
    let (mut holder, now) = (holder(), Instant::now());
    holder.acquired(now, 8, false);
    holder.ended(&Subject::Usage, 8, CallResult::Conflict);
    holder.ended(&Subject::Usage, 7, CallResult::Unanswered);
    assert_eq!(holder.next(now, &Subject::Usage), HolderAction::AcquireToken);
}
