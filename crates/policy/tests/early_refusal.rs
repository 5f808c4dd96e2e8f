//! What can't meet its deadline is refused at its offer, with when to come back.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use policy::{Action, Admission, ClassSpec, Offer, RefusalReason};
use world::{World, class};

/// A pool whose four slots stream at 40 ms a token, so a request of 100 tokens takes 4 s.
fn busy(deadline_ms: u64) -> World {
    busy_with(ClassSpec { deadline_ms, ..class("draft", 0, 50) })
}

fn busy_with(draft: ClassSpec) -> World {
    busy_among(vec![draft, class("chat", 5, 100)])
}

/// Such a pool with a server beside that is free, and chats whose deadline is near.
fn busy_but_for_one() -> World {
    let chat = ClassSpec { deadline_ms: 5_000, ..class("chat", 5, 100) };
    let mut world = busy_among(vec![class("draft", 0, 50), chat]);
    world.seen("s1", 1);
    world
}

fn busy_among(classes: Vec<ClassSpec>) -> World {
    let mut world = World::new(classes, 1, 4);
    let tickets = world.offer_many("draft", 4);
    world.poll();
    world.stream(&tickets, 40, 60);
    world.poll();
    world
}

#[test]
fn refused_behind_long_queue() {
    let mut world = busy(20_000);
    let refusal = (0..100).find_map(|_| world.try_offer("draft", "a").err());
    let refusal = refusal.expect("the deadline is twenty seconds");
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    let draft = world.scheduler.class("draft").expect("it is in the spec");
    let waiting = world.scheduler.class_counts(draft, world.pool).waiting;
    assert!((12..=20).contains(&waiting), "{waiting} of 100 tokens wait at 100 tokens a second");
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn urgent_passes_lower_queue() {
    let mut world = busy(20_000);
    while world.try_offer("draft", "a").is_ok() {}
    assert!(world.try_offer("chat", "a").is_ok());
}

#[test]
fn given_up_answered_at_once() {
    let mut world = busy(20_000);
    let late = world.try_offer("draft", "a").expect("the queue has room");
    world.pass(17_000);
    let refused = world.poll().iter().any(|it| match it {
        Action::Refuse { ticket, refusal } => {
            *ticket == late && refusal.reason == RefusalReason::DeadlineUnreachable
        }
        _ => false,
    });
    assert!(refused, "three seconds are left and the answer takes four");
}

/// The first requests after a start, while the streams of another class are slow.
#[test]
fn unknown_length_is_no_reason() {
    let mut world = busy_but_for_one();
    let offer = Offer { max_tokens: None, ..world.offer_for("chat", "a") };
    let ticket = world.scheduler.offer(world.now, offer).expect("a server is free");
    let placed: Vec<_> = world.dispatched().iter().map(|it| it.0).collect();
    assert_eq!(placed, [ticket], "nothing is known of the answers of the class");
}

/// A long answer at a slow pool: it may miss its deadline, but nobody else wants the slot.
#[test]
fn free_server_takes_long_answer() {
    let mut world = busy_but_for_one();
    let offer = Offer { max_tokens: Some(5_000), ..world.offer_for("chat", "a") };
    let ticket = world.scheduler.offer(world.now, offer).expect("a server is free");
    let placed: Vec<_> = world.dispatched().iter().map(|it| it.0).collect();
    assert_eq!(placed, [ticket], "five thousand tokens are the most, not the length");
}

#[test]
fn no_server_refused() {
    let mut world = World::new(vec![class("chat", 5, 100)], 0, 4);
    let refusal = world.try_offer("chat", "a").expect_err("the pool is empty");
    assert_eq!(refusal.reason, RefusalReason::NoBackend);
}

#[test]
fn within_target_admits_less() {
    let draft = ClassSpec { first_token_target_ms: 5_000, ..class("draft", 0, 50) };
    let admitted = |admission| {
        let mut world = busy_with(ClassSpec { admission, ..draft.clone() });
        (0..200).filter(|_| world.try_offer("draft", "a").is_ok()).count()
    };
    let within = admitted(Admission::WithinTarget);
    assert!((2..=4).contains(&within), "{within} of 100 tokens at 100 a second, half of 5 s");
    assert!(admitted(Admission::UntilDeadline) > 4 * within);
}
