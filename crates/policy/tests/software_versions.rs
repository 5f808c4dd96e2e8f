//! Requests that are restricted to servers of one software version.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class};
use policy::{
    Action, BackendKey, Execution, Failure, GiveUp, Outcome, RefusalReason, RetryDecision, Ticket,
    VersionHash,
};

const OLD: VersionHash = VersionHash(1);
const NEW: VersionHash = VersionHash(2);

/// Servers with one slot each, of the given versions.
fn fixture(versions: &[VersionHash]) -> Fixture {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], versions.len(), 1);
    let backends = fixture.backends.clone();
    for (backend, version) in backends.into_iter().zip(versions) {
        fixture.scheduler.set_version(backend, *version);
    }
    fixture
}

fn restricted(fixture: &mut Fixture, version: VersionHash) -> Ticket {
    let ticket = fixture.offer("chat");
    fixture.scheduler.restrict_version(ticket, version);
    ticket
}

fn leave(fixture: &mut Fixture, idx: usize) {
    let name = format!("s{idx}");
    let entry = fixture.entry(&name, 1);
    fixture.scheduler.backend_leaving(fixture.now, &entry);
}

/// Guards against a taken up stream at another version, and against one whose servers are busy and that
/// holds up the requests behind it.
#[test]
fn waits_for_version() {
    let mut fixture = fixture(&[OLD, NEW, NEW]);
    let old: BackendKey = fixture.backends[0];
    let first = restricted(&mut fixture, OLD);
    assert_eq!(fixture.poll_dispatches(), [(first, old)]);
    let second = restricted(&mut fixture, OLD);
    let others = fixture.offer_many("chat", 2);
    let dispatched = fixture.poll_dispatches();
    assert_eq!(dispatched.iter().map(|it| it.0).collect::<Vec<_>>(), others);
    fixture.finish(first);
    fixture.advance(100);
    assert_eq!(fixture.poll_dispatches(), [(second, old)]);
}

/// Guards against a stream that waits in vain for a version whose servers have left.
#[test]
fn refused_without_version() {
    let mut fixture = fixture(&[OLD, NEW]);
    let first = restricted(&mut fixture, OLD);
    assert_eq!(fixture.poll_dispatches().len(), 1);
    let second = restricted(&mut fixture, OLD);
    fixture.poll();
    leave(&mut fixture, 0);
    assert!(!fixture.scheduler.has_usable_version(fixture.now, fixture.pool, OLD));
    fixture.advance(100);
    let refused = fixture.poll().into_iter().find_map(|it| match it {
        Action::Refuse { ticket, refusal } => Some((ticket, refusal.reason)),
        _ => None,
    });
    assert_eq!(refused, Some((second, RefusalReason::NoVersion)));
    fixture.finish(first);
}

/// Guards against a stream that has begun and is resumed at another version.
#[test]
fn begun_stream_stays() {
    for old_servers in [1, 2] {
        let versions = [vec![NEW; 3], vec![OLD; old_servers]].concat();
        let mut fixture = fixture(&versions);
        let ticket = restricted(&mut fixture, OLD);
        let (_, began) = fixture.poll_dispatches()[0];
        assert_eq!(fixture.scheduler.pin_version(ticket), Some(OLD));
        let name = fixture.server_index(began);
        leave(&mut fixture, name);
        let outcome = Outcome::Failed(Failure::Other, Execution::MayHaveRun);
        let decision = fixture.scheduler.retry(ticket, outcome, fixture.now);
        if old_servers == 1 {
            assert_eq!(decision, RetryDecision::GiveUp(GiveUp::NoBackend));
            continue;
        }
        fixture.advance(100);
        let resumed = fixture.poll_dispatches();
        assert_eq!(resumed.len(), 1);
        assert!(fixture.server_index(resumed[0].1) >= 3, "{resumed:?}");
        assert_ne!(resumed[0].1, began);
    }
}
