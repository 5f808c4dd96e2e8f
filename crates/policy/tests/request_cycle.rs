//! The life cycle of a request, and the state that a new revision of the tables keeps.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, spec};
use policy::{Action, RefusalReason, Spec, SpecError};

#[test]
fn dispatch_and_finish() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 1);
    let (first, second) = (fixture.offer("chat"), fixture.offer("chat"));
    assert_eq!(fixture.poll_dispatches(), [(first, fixture.backends[0])]);
    fixture.finish(first);
    assert_eq!(fixture.poll_dispatches(), [(second, fixture.backends[0])]);
}

#[test]
fn urgent_dispatched_first() {
    let mut fixture = Fixture::new(vec![class("summary", 0, 50), class("chat", 5, 100)], 1, 1);
    let running = fixture.offer("summary");
    fixture.poll();
    let (_, chat) = (fixture.offer("summary"), fixture.offer("chat"));
    fixture.finish(running);
    assert_eq!(fixture.poll_dispatches()[0].0, chat);
}

#[test]
fn cancelled_frees_slot() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 1);
    let (first, second) = (fixture.offer("chat"), fixture.offer("chat"));
    fixture.poll();
    fixture.scheduler.cancelled(first);
    assert_eq!(fixture.poll_dispatches()[0].0, second);
}

#[test]
fn closed_ticket_ignored() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 1);
    let ticket = fixture.offer("chat");
    fixture.poll();
    fixture.finish(ticket);
    fixture.finish(ticket);
    fixture.scheduler.first_token(ticket, fixture.now);
    fixture.scheduler.cancelled(ticket);
    assert_eq!(fixture.scheduler.in_flight(fixture.backends[0]), 0);
}

#[test]
fn revision_keeps_state() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100), class("old", 0, 10)], 1, 1);
    let key = fixture.scheduler.class("chat");
    let (_, _, dropped) = (fixture.offer("chat"), fixture.offer("chat"), fixture.offer("old"));
    fixture.poll();
    let next = Spec { revision: 2, ..spec(vec![class("chat", 3, 100)], 2) };
    fixture.scheduler.configure(next).expect("the revision is newer");
    assert_eq!(fixture.scheduler.class("chat"), key);
    assert_eq!(fixture.scheduler.class("old"), None);
    let actions = fixture.poll();
    let refused = actions.iter().find_map(|it| match it {
        Action::Refuse { ticket, refusal } => Some((*ticket, refusal.reason)),
        _ => None,
    });
    assert_eq!(refused, Some((dropped, RefusalReason::Unknown)));
    let counts =
        fixture.scheduler.class_counts(key.expect("the class is in both revisions"), fixture.pool);
    assert_eq!(
        (counts.running, counts.waiting),
        (2, 0),
        "the new number of slots applies immediately"
    );
}

#[test]
fn older_revision_refused() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 1);
    let older = Spec { revision: 0, ..spec(vec![class("chat", 1, 100)], 1) };
    let error = fixture.scheduler.configure(older);
    assert_eq!(error, Err(SpecError::Stale { offered: 0, current: 1 }));
}

#[test]
fn shares_over_whole() {
    let mut fixture = Fixture::new(vec![class("chat", 1, 100)], 1, 1);
    let spec = spec(vec![class("chat", 1, 600), class("draft", 0, 500)], 1);
    let error = fixture.scheduler.configure(spec);
    assert_eq!(error, Err(SpecError::SharesOverWhole { sum_permille: 1100 }));
}
