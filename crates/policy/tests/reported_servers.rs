//! Servers that other routers have found down.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::BTreeSet;

use fixture::{Fixture, class};
use policy::{Action, BackendKey, Execution, Failure, Outcome, ProbeResult};

const SERVERS: usize = 8;

fn fixture() -> Fixture {
    Fixture::new(vec![class("chat", 1, 100)], SERVERS, 4)
}

fn report(fixture: &mut Fixture, servers: &[usize]) {
    let keys: Vec<_> = servers.iter().map(|it| fixture.backends[*it]).collect();
    fixture.scheduler.set_reported_down(fixture.now, fixture.pool, &keys);
}

fn probed(fixture: &mut Fixture) -> Vec<BackendKey> {
    let probed = fixture.poll().into_iter().filter_map(|it| match it {
        Action::Probe { backend } => Some(backend),
        _ => None,
    });
    probed.collect()
}

/// The servers that some requests reach, one after the other.
fn used(fixture: &mut Fixture) -> BTreeSet<usize> {
    let mut used = BTreeSet::new();
    for _ in 0..400 {
        let ticket = fixture.offer("chat");
        let server = fixture.poll_dispatches()[0].1;
        used.insert(fixture.server_index(server));
        fixture.finish(ticket);
    }
    used
}

/// Guards against requests to servers of which other routers know that they are down.
#[test]
fn reported_avoided() {
    let mut fixture = fixture();
    report(&mut fixture, &[1, 2, 3]);
    assert_eq!(used(&mut fixture), BTreeSet::from([0, 4, 5, 6, 7]));
    fixture.advance(1_600);
    assert!(used(&mut fixture).len() >= 7, "the report has expired but for the checked server");
}

/// Guards against servers that are avoided because others cannot reach them.
#[test]
fn one_checked() {
    let mut fixture = fixture();
    let mut checked = BTreeSet::new();
    for _ in 0..3 {
        report(&mut fixture, &[1, 2, 3]);
        let probed = probed(&mut fixture);
        assert_eq!(probed.len(), 1);
        checked.insert(fixture.server_index(probed[0]));
        fixture.scheduler.probe_result(probed[0], fixture.now, ProbeResult::Alive);
        fixture.advance(250);
    }
    assert_eq!(checked, BTreeSet::from([1, 2, 3]));
    report(&mut fixture, &[1, 2, 3]);
    assert_eq!(used(&mut fixture).len(), SERVERS);
    assert_eq!(probed(&mut fixture), []);
}

/// Guards against a pool most of whose servers are avoided because many routers are cut off from it.
#[test]
fn most_reported() {
    let mut fixture = fixture();
    report(&mut fixture, &[0, 1, 2, 3, 4]);
    assert_eq!(used(&mut fixture).len(), SERVERS);
    assert_eq!(probed(&mut fixture), []);
}

/// Guards against reports of a router that is cut off from all servers.
#[test]
fn own_findings() {
    let mut fixture = fixture();
    let ticket = fixture.offer("chat");
    let server = fixture.poll_dispatches()[0].1;
    let outcome = Outcome::Failed(Failure::ConnectRefused, Execution::NotRun);
    fixture.scheduler.retry(ticket, outcome, fixture.now);
    assert_eq!(fixture.scheduler.down_servers(fixture.pool), [server]);
    fixture.scheduler.cut_off(fixture.now, fixture.pool);
    assert_eq!(fixture.scheduler.down_servers(fixture.pool), []);
}
