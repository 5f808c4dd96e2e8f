//! What happens to requests that come before the first list of their pool's servers.

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{Fixture, class};
use policy::{Action, RefusalReason};

fn fixture(servers: usize) -> Fixture {
    Fixture::new(vec![class("chat", 1, 100)], servers, 400)
}

fn refusals(fixture: &mut Fixture) -> usize {
    fixture.poll().iter().filter(|it| matches!(it, Action::Refuse { .. })).count()
}

/// Guards against the refusal of all requests that waited for the tables of a router that has just started:
/// the list follows the tables within milliseconds.
#[test]
fn wait_for_list() {
    for waiting in [30, 100, 300] {
        let mut fixture = fixture(0);
        fixture.offer_many("chat", waiting);
        assert_eq!(refusals(&mut fixture), 0);
        fixture.advance(10);
        fixture.list_server("s0", 1).expect("the pool is known");
        assert_eq!(fixture.poll_dispatches().len(), waiting);
    }
}

/// Guards against callers who are held although no list comes, and against a wait for each of them.
#[test]
fn no_list() {
    let mut fixture = fixture(0);
    fixture.offer_many("chat", 3);
    fixture.poll();
    fixture.advance(1_000);
    assert_eq!(refusals(&mut fixture), 3);
    let refusal = fixture.try_offer("chat", "a").expect_err("no list has come");
    assert_eq!(refusal.reason, RefusalReason::NoBackend);
}

/// Guards against a wait for the list of a pool whose only server is down.
#[test]
fn server_lost() {
    let mut fixture = fixture(1);
    fixture.poll();
    fixture.scheduler.cut_off(fixture.now, fixture.pool);
    let refusal = fixture.try_offer("chat", "a").expect_err("the server is down");
    assert_eq!(refusal.reason, RefusalReason::NoBackend);
}
