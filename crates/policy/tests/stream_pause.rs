//! Lower streams make way for pressing urgent requests, and go on afterwards.

#[path = "support/world.rs"]
mod world;

use policy::{Action, Pausing};
use world::{World, class, spec};

fn full_of_drafts() -> (World, Vec<policy::Ticket>) {
    let mut world = World::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    let drafts = world.offer_many("draft", 2);
    world.poll();
    world.stream(&drafts, 40, 3);
    world.poll();
    (world, drafts)
}

#[test]
fn paused_for_urgent() {
    let (mut world, drafts) = full_of_drafts();
    let chat = world.offer("chat");
    world.pass(2_000);
    let actions = world.poll();
    let [Action::Pause { ticket: paused, .. }, Action::Dispatch { ticket, .. }] = actions[..]
    else {
        panic!("a pause and a dispatch are expected, not {actions:?}");
    };
    assert!(drafts.contains(&paused));
    assert_eq!(ticket, chat);
}

#[test]
fn resumed_before_new() {
    let (mut world, _) = full_of_drafts();
    let chat = world.offer("chat");
    world.pass(2_000);
    let Action::Pause { ticket: paused, backend } = world.poll()[0] else {
        panic!("a draft is paused");
    };
    world.offer("draft");
    world.finish(chat);
    assert_eq!(world.poll(), [Action::Resume { ticket: paused, backend }]);
}

#[test]
fn plain_service_not_paused() {
    let mut spec = spec(vec![class("draft", 0, 50), class("chat", 5, 100)], 1);
    spec.pools[0].pausing = Pausing::Unsupported;
    let mut world = World::with(policy::Settings::default(), spec, 1);
    let draft = world.offer("draft");
    world.poll();
    world.stream(&[draft], 40, 3);
    world.offer("chat");
    world.pass(3_000);
    assert_eq!(world.poll(), []);
}

#[test]
fn late_goes_beyond_limit() {
    let mut world = World::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    world.offer_many("chat", 4);
    assert_eq!(world.dispatched().len(), 2);
    world.pass(1_900);
    assert_eq!(world.dispatched().len(), 0, "0.4 of the target of 5 s has not passed");
    world.pass(100);
    assert_eq!(world.dispatched().len(), 1, "one beyond the limit of two");
}

#[test]
fn room_kept_until_token() {
    let mut world = World::new(vec![class("draft", 0, 50), class("chat", 5, 100)], 1, 2);
    let draft = world.offer("draft");
    world.poll();
    world.stream(&[draft], 40, 3);
    let chat = world.offer("chat");
    assert_eq!(world.dispatched().len(), 1);
    world.pass(2_000);
    let backend = world.backends[0];
    assert_eq!(world.poll(), [Action::Pause { ticket: draft, backend }]);
    assert_eq!(world.poll(), [], "the slot waits for the chat answer");
    world.scheduler.first_token(chat, world.now);
    assert_eq!(world.poll(), [Action::Resume { ticket: draft, backend }]);
}
