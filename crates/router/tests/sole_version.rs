//! Whether a pool has had a single software version for longer than streams last.

mod support;

use std::time::Duration;

use clock::ManualClock;
use directory::{ListedVm, VmState};
use dissemination::StreamHash;
use policy::VersionHash;
use support::{
    listed::{POOL, dispatcher},
    run,
};

fn listed(port: u16, version: &str) -> ListedVm {
    ListedVm {
        addr: ([127, 0, 0, 1], port).into(),
        failure_domain: String::new(),
        pool: POOL.to_owned(),
        incarnation: 0,
        label: format!("i-{port}"),
        software_version: version.to_owned(),
        slots: 4,
        state: VmState::Live,
        is_spot: false,
        leaves_in_ms: None,
    }
}

/// Guards against a stream of an older version that goes on at a newer one, because the router that does
/// not know the stream sees no older server any more.
#[test]
fn after_a_release() {
    run(async {
        let clock = ManualClock::default();
        let dispatcher = dispatcher(&clock);
        let list = |vms: &[&ListedVm]| {
            dispatcher.replace_servers(POOL, vms);
            dispatcher.sole_version(POOL, StreamHash::TTL)
        };
        let (old, new) = (listed(1, "v1"), listed(2, "v2"));
        let version = |it| Some(VersionHash::of(POOL, it));
        assert_eq!(list(&[&old]), None, "the router has just started");
        clock.advance(StreamHash::TTL);
        assert_eq!(list(&[&old]), version("v1"));
        assert_eq!(list(&[&old, &new]), None);
        // A server leaves with the second list that lacks it.
        (0..2).for_each(|_| assert_eq!(list(&[&new]), None));
        clock.advance(StreamHash::TTL - Duration::from_millis(1));
        assert_eq!(list(&[&new]), None);
        clock.advance(Duration::from_millis(1));
        assert_eq!(list(&[&new]), version("v2"));
    });
}

/// Guards against a stream that goes on at another version at a router that was stopped or cut off while
/// servers of that version joined: it does not know the stream, and its list still has one version.
#[test]
fn out_of_date() {
    run(async {
        let clock = ManualClock::default();
        let dispatcher = dispatcher(&clock);
        let old = listed(1, "v1");
        dispatcher.replace_servers(POOL, &[&old]);
        clock.advance(StreamHash::TTL);
        assert_eq!(dispatcher.sole_version(POOL, StreamHash::TTL), None);
        dispatcher.replace_servers(POOL, &[&old]);
        let version = Some(VersionHash::of(POOL, "v1"));
        assert_eq!(dispatcher.sole_version(POOL, StreamHash::TTL), version);
        // The router gets no list for some seconds.
        clock.advance(Duration::from_secs(3));
        assert_eq!(dispatcher.sole_version(POOL, StreamHash::TTL), None);
        assert_eq!(dispatcher.sole_version(POOL, Duration::ZERO), None);
        dispatcher.replace_servers(POOL, &[&old]);
        assert_eq!(dispatcher.sole_version(POOL, StreamHash::TTL), version);
    });
}
