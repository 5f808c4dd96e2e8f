//! Servers that join, leave and return, with updates in any order.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class, load_report};
use policy::{Health, LoadReport, ProbeResult};
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Update {
    Live(u64),
    Leaving(u64),
    Gone(u64),
    Report(u64),
    Probe(ProbeResult),
}

fn update() -> impl Strategy<Value = Update> {
    prop_oneof![
        (1..5_u64).prop_map(Update::Live),
        (1..5_u64).prop_map(Update::Leaving),
        (1..5_u64).prop_map(Update::Gone),
        (1..5_u64).prop_map(Update::Report),
        Just(Update::Probe(ProbeResult::Alive)),
        Just(Update::Probe(ProbeResult::Dead)),
    ]
}

fn fixture() -> Fixture {
    Fixture::new(vec![class("chat", 1, 100)], 1, 4)
}

fn apply(fixture: &mut Fixture, update: Update) {
    let (key, now) = (fixture.backends[0], fixture.now);
    let entry = |it| fixture.entry("s0", it);
    match update {
        Update::Live(it) => {
            let entry = entry(it);
            fixture.scheduler.backend_live(now, &entry);
        }
        Update::Leaving(it) => {
            let entry = entry(it);
            fixture.scheduler.backend_leaving(now, &entry);
        }
        Update::Gone(it) => {
            let entry = entry(it);
            fixture.scheduler.backend_gone(now, &entry);
        }
        Update::Report(it) => fixture.scheduler.load_report(now, key, &load_report(it, 0, 4)),
        Update::Probe(it) => fixture.scheduler.probe_result(key, now, it),
    }
}

proptest! {
    #![proptest_config(fixture::deterministic(200))]

    #[test]
    fn leaving_gets_no_requests(updates in proptest::collection::vec(update(), 1..40)) {
        let mut fixture = fixture();
        let (mut newest, mut newest_left) = (1, None);
        for it in updates {
            apply(&mut fixture, it);
            if let Update::Live(incarnation)
            | Update::Report(incarnation)
            | Update::Leaving(incarnation)
            | Update::Gone(incarnation) = it
            {
                newest = newest.max(incarnation);
            }
            if let Update::Leaving(incarnation) | Update::Gone(incarnation) = it {
                newest_left = newest_left.max(Some(incarnation));
            }
            let _ = fixture.try_offer("chat", "a");
            let dispatched = !fixture.poll_dispatches().is_empty();
            let is_excluded = newest_left.is_some_and(|it| it >= newest);
            prop_assert!(!(is_excluded && dispatched));
            fixture.advance(100);
        }
    }
}

#[test]
fn newer_incarnation_returns() {
    let mut fixture = fixture();
    apply(&mut fixture, Update::Leaving(1));
    apply(&mut fixture, Update::Live(1));
    assert_eq!(fixture.scheduler.health(fixture.backends[0]), Some(Health::Leaving));
    apply(&mut fixture, Update::Live(2));
    apply(&mut fixture, Update::Leaving(1));
    assert_eq!(fixture.scheduler.health(fixture.backends[0]), Some(Health::Up));
}

#[test]
fn report_without_incarnation() {
    let mut fixture = fixture();
    apply(&mut fixture, Update::Leaving(1));
    apply(&mut fixture, Update::Live(2));
    let full = LoadReport { incarnation: None, ..load_report(0, 4, 4) };
    fixture.scheduler.load_report(fixture.now, fixture.backends[0], &full);
    fixture.offer("chat");
    assert_eq!(
        fixture.poll_dispatches(),
        [],
        "the server reports in its responses that it is full"
    );
}

#[test]
fn leaving_finishes_streams() {
    let mut fixture = fixture();
    let ticket = fixture.offer("chat");
    fixture.poll();
    apply(&mut fixture, Update::Leaving(1));
    assert_eq!(fixture.poll(), []);
    fixture.scheduler.first_token(ticket, fixture.now);
    fixture.finish(ticket);
    assert_eq!(fixture.scheduler.in_flight(fixture.backends[0]), 0);
}

/// Guards against a router that ends because a server states loads whose sum does not fit.
#[test]
fn huge_load() {
    let mut fixture = fixture();
    let report = load_report(0, u32::MAX, 4);
    let huge = LoadReport { incarnation: None, waiting: u32::MAX, ..report };
    fixture.scheduler.load_report(fixture.now, fixture.backends[0], &huge);
    fixture.offer("chat");
    assert_eq!(fixture.poll_dispatches(), [], "the server is full");
}
