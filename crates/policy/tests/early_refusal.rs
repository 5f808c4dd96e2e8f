//! Requests that can't meet their deadline are refused when offered, with a time to retry after.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use fixture::{Fixture, class};
use policy::{Action, Admission, ClassSpec, Offer, RefusalReason};

/// A pool whose four slots stream a token every 40 ms, so a request of 100 tokens takes 4 s.
fn busy(deadline_ms: u64) -> Fixture {
    busy_with(ClassSpec { deadline_ms, ..class("draft", 0, 50) })
}

fn busy_with(draft: ClassSpec) -> Fixture {
    busy_with_classes(vec![draft, class("chat", 5, 100)])
}

/// A pool with a busy server as in [`busy`], a second server that is free, and chats with a short
/// deadline.
fn busy_with_free_server() -> Fixture {
    let chat = ClassSpec { deadline_ms: 5_000, ..class("chat", 5, 100) };
    let mut fixture = busy_with_classes(vec![class("draft", 0, 50), chat]);
    fixture.list_server("s1", 1);
    fixture
}

fn busy_with_classes(classes: Vec<ClassSpec>) -> Fixture {
    let mut fixture = Fixture::new(classes, 1, 4);
    let tickets = fixture.offer_many("draft", 4);
    fixture.poll();
    fixture.stream_tokens(&tickets, 40, 60);
    fixture.poll();
    fixture
}

#[test]
fn refused_behind_long_queue() {
    let mut fixture = busy(20_000);
    let refusal = (0..100).find_map(|_| fixture.try_offer("draft", "a").err());
    let refusal = refusal.expect("some request can't meet the deadline of 20 s");
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    let draft = fixture.scheduler.class("draft").expect("it is in the spec");
    let waiting = fixture.scheduler.class_counts(draft, fixture.pool).waiting;
    assert!(
        (12..=20).contains(&waiting),
        "{waiting} requests of 100 tokens wait at 100 tokens per second"
    );
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn urgent_admitted_despite_queue() {
    let mut fixture = busy(20_000);
    while fixture.try_offer("draft", "a").is_ok() {}
    assert!(fixture.try_offer("chat", "a").is_ok());
}

#[test]
fn expired_request_refused() {
    let mut fixture = busy(20_000);
    let expired = fixture.try_offer("draft", "a").expect("the queue has room");
    fixture.advance(17_000);
    let refused = fixture.poll().iter().any(|it| match it {
        Action::Refuse { ticket, refusal } => {
            *ticket == expired && refusal.reason == RefusalReason::DeadlineUnreachable
        }
        _ => false,
    });
    assert!(refused, "3 s are left and the answer takes 4 s");
}

/// Guards against refusing the first requests of a class, whose answer length is not measured yet,
/// because the streams of another class are slow.
#[test]
fn unknown_length_admitted() {
    let mut fixture = busy_with_free_server();
    let offer = Offer { max_tokens: None, ..fixture.new_offer("chat", "a") };
    let ticket = fixture.scheduler.offer(fixture.now, offer).expect("a server is free");
    let dispatched: Vec<_> = fixture.poll_dispatches().iter().map(|it| it.0).collect();
    assert_eq!(dispatched, [ticket], "the answer length of the class is unknown");
}

/// Guards against refusing a long answer in a slow pool, which may miss its deadline, while a slot
/// is free.
#[test]
fn long_answer_admitted() {
    let mut fixture = busy_with_free_server();
    let offer = Offer { max_tokens: Some(5_000), ..fixture.new_offer("chat", "a") };
    let ticket = fixture.scheduler.offer(fixture.now, offer).expect("a server is free");
    let dispatched: Vec<_> = fixture.poll_dispatches().iter().map(|it| it.0).collect();
    assert_eq!(dispatched, [ticket], "5000 tokens are the limit, not the expected length");
}

#[test]
fn empty_pool_refused() {
    let mut fixture = Fixture::new(vec![class("chat", 5, 100)], 0, 4);
    fixture.poll();
    // The first list follows the tables within this time.
    fixture.advance(1_000);
    let refusal = fixture.try_offer("chat", "a").expect_err("the pool is empty");
    assert_eq!(refusal.reason, RefusalReason::NoBackend);
}

#[test]
fn target_admission_stricter() {
    let draft = ClassSpec { first_token_target_ms: 5_000, ..class("draft", 0, 50) };
    let admitted = |admission| {
        let mut fixture = busy_with(ClassSpec { admission, ..draft.clone() });
        (0..200).filter(|_| fixture.try_offer("draft", "a").is_ok()).count()
    };
    let within = admitted(Admission::WithinTarget);
    assert!(
        (2..=4).contains(&within),
        "{within} requests of 100 tokens at 100 tokens per second admitted for half of 5 s"
    );
    assert!(admitted(Admission::UntilDeadline) > 4 * within);
}
