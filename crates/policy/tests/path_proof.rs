//! When a router that was cut off sends servers requests that must not run twice.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class};
use policy::{Action, Offer, ProbeResult, Repeat, Ticket};

/// A router that is cut off from its only server, of which one probe is answered.
fn just_back() -> Fixture {
    let mut fixture = Fixture::new(vec![class("orders", 1, 100)], 1, 4);
    fixture.scheduler.cut_off(fixture.now, fixture.pool);
    fixture.advance(500);
    answer_probe(&mut fixture, ProbeResult::Alive);
    fixture
}

fn answer_probe(fixture: &mut Fixture, result: ProbeResult) {
    let probes = fixture.poll().iter().filter(|it| matches!(it, Action::Probe { .. })).count();
    assert_eq!(probes, 1, "a probe is due");
    fixture.scheduler.probe_result(fixture.backends[0], fixture.now, result);
}

fn offer(fixture: &mut Fixture, repeat: Repeat) -> Ticket {
    let offer = Offer { repeat, ..fixture.new_offer("orders", "a") };
    fixture.scheduler.offer(fixture.now, offer).expect("the queue has room")
}

fn is_reachable(fixture: &Fixture) -> bool {
    fixture.scheduler.is_reachable_by(fixture.pool, Repeat::AtMostOnce)
}

/// Guards against an order that is sent because one probe has got through.
#[test]
fn three_answers() {
    let mut fixture = just_back();
    let order = offer(&mut fixture, Repeat::AtMostOnce);
    assert!(fixture.poll_dispatches().is_empty());
    assert!(!is_reachable(&fixture));
    for _ in 0..2 {
        fixture.advance(100);
        answer_probe(&mut fixture, ProbeResult::Alive);
    }
    assert!(is_reachable(&fixture));
    assert_eq!(fixture.poll_dispatches(), [(order, fixture.backends[0])]);
}

/// Guards against probes that are counted although others between them did not get through.
#[test]
fn answers_in_a_row() {
    let mut fixture = just_back();
    fixture.advance(100);
    answer_probe(&mut fixture, ProbeResult::Alive);
    fixture.advance(100);
    answer_probe(&mut fixture, ProbeResult::Dead);
    fixture.advance(500);
    answer_probe(&mut fixture, ProbeResult::Alive);
    offer(&mut fixture, Repeat::AtMostOnce);
    assert!(fixture.poll_dispatches().is_empty());
}

/// Guards against orders that wait although a request that may be repeated has shown the path to be well.
#[test]
fn answered_request() {
    let mut fixture = just_back();
    fixture.advance(1);
    let read = offer(&mut fixture, Repeat::Idempotent);
    assert_eq!(fixture.poll_dispatches().len(), 1);
    fixture.finish(read);
    assert!(is_reachable(&fixture));
}

/// Guards against an answer on a connection that the cut left open, which says nothing about new ones.
#[test]
fn answer_from_before() {
    let mut fixture = Fixture::new(vec![class("orders", 1, 100)], 1, 4);
    let read = offer(&mut fixture, Repeat::Idempotent);
    assert_eq!(fixture.poll_dispatches().len(), 1);
    fixture.advance(1);
    fixture.scheduler.cut_off(fixture.now, fixture.pool);
    fixture.advance(500);
    answer_probe(&mut fixture, ProbeResult::Alive);
    fixture.finish(read);
    assert!(!is_reachable(&fixture));
}
