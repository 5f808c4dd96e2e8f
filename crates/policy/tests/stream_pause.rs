//! Streams of lower classes are paused for pressing urgent requests, and resumed afterwards.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, spec};
use policy::{Action, Pausing};

fn full_of_drafts() -> (Fixture, Vec<policy::Ticket>) {
    let mut fixture = Fixture::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    let drafts = fixture.offer_many("draft", 2);
    fixture.poll();
    fixture.stream_tokens(&drafts, 40, 3);
    fixture.poll();
    (fixture, drafts)
}

#[test]
fn paused_for_urgent() {
    let (mut fixture, drafts) = full_of_drafts();
    let chat = fixture.offer("chat");
    fixture.advance(2_000);
    let actions = fixture.poll();
    let [Action::Pause { ticket: paused, .. }, Action::Dispatch { ticket, .. }] = actions[..]
    else {
        panic!("expected a pause and a dispatch, got {actions:?}");
    };
    assert!(drafts.contains(&paused));
    assert_eq!(ticket, chat);
}

#[test]
fn resumed_before_new() {
    let (mut fixture, _) = full_of_drafts();
    let chat = fixture.offer("chat");
    fixture.advance(2_000);
    let Action::Pause { ticket: paused, backend } = fixture.poll()[0] else {
        panic!("expected a pause first");
    };
    fixture.offer("draft");
    fixture.finish(chat);
    assert_eq!(fixture.poll(), [Action::Resume { ticket: paused, backend }]);
}

#[test]
fn unsupported_pause() {
    let mut spec = spec(vec![class("draft", 0, 50), class("chat", 5, 100)], 1);
    spec.pools[0].pausing = Pausing::Unsupported;
    let mut fixture = Fixture::with(policy::Settings::default(), spec, 1);
    let draft = fixture.offer("draft");
    fixture.poll();
    fixture.stream_tokens(&[draft], 40, 3);
    fixture.offer("chat");
    fixture.advance(3_000);
    assert_eq!(fixture.poll(), []);
}

#[test]
fn late_request_overcommits() {
    let mut fixture = Fixture::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    fixture.offer_many("chat", 4);
    assert_eq!(fixture.poll_dispatches().len(), 2);
    fixture.advance(1_900);
    assert_eq!(fixture.poll_dispatches().len(), 0, "less than 0.4 of the target of 5 s has passed");
    fixture.advance(100);
    assert_eq!(fixture.poll_dispatches().len(), 1, "one request beyond the limit of two");
}

#[test]
fn slot_reserved_until_token() {
    let mut fixture = Fixture::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    let draft = fixture.offer("draft");
    fixture.poll();
    fixture.stream_tokens(&[draft], 40, 3);
    let chat = fixture.offer("chat");
    assert_eq!(fixture.poll_dispatches().len(), 1);
    fixture.advance(2_000);
    let backend = fixture.backends[0];
    assert_eq!(fixture.poll(), [Action::Pause { ticket: draft, backend }]);
    assert_eq!(fixture.poll(), [], "the slot is reserved for the chat");
    fixture.scheduler.first_token(chat, fixture.now);
    assert_eq!(fixture.poll(), [Action::Resume { ticket: draft, backend }]);
}
