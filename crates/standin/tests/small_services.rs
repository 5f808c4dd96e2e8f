//! The lookup service answers every name, and the platform's list shows changes after its lag.

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use standin::{Lagged, LookupSettings, PlatformSettings, ServiceSettings};
use support::{call, serve};

#[test]
fn lookup_answers() {
    let server = serve(ServiceSettings::Lookup(LookupSettings::default()));
    let reply = call(server.addr, "GET", "/lookup/clip-7", "");
    assert_eq!(reply.json(), json!({ "name": "clip-7", "value": "entry of clip-7" }));
    assert_eq!(call(server.addr, "GET", "/lookup/", "").status, 404);
}

/// Adds a VM to the empty list and returns the lengths of the lists read after it.
fn lengths_after_change(settings: PlatformSettings) -> [usize; 3] {
    let server = serve(ServiceSettings::Platform(settings));
    let vms = json!([{
        "vm": "vm1", "addr": "127.0.0.1:9", "failure_domain": "a", "pool": "chat",
        "incarnation": 1, "state": "leaving",
    }]);
    assert_eq!(call(server.addr, "POST", "/vms", &vms.to_string()).json(), vms);
    [(); 3].map(|()| call(server.addr, "GET", "/vms", "").json().as_array().expect("a list").len())
}

#[test]
fn list_changes() {
    assert_eq!(lengths_after_change(PlatformSettings::default()), [1, 1, 1]);
}

#[test]
fn list_lags() {
    let settings = PlatformSettings { list_lag_ms: 3_600_000, ..PlatformSettings::default() };
    assert_eq!(lengths_after_change(settings), [0, 0, 0]);
}

#[test]
fn stale_list_read() {
    let settings = PlatformSettings { stale_read_every: 2, ..PlatformSettings::default() };
    assert_eq!(lengths_after_change(settings), [1, 0, 1]);
}

#[test]
fn lagged_value() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut value = Lagged::new(Duration::from_millis(100), at(0), 'a');
    value.set(at(10), 'b');
    value.set(at(50), 'c');
    let visible: Vec<_> = [20, 109, 110, 149, 150, 900].map(|ms| *value.visible(at(ms)).0).into();
    assert_eq!(visible, ['a', 'a', 'b', 'b', 'c', 'c']);
    assert_eq!(value.visible(at(900)).1, Duration::from_millis(100));
    assert_eq!(*value.latest(), 'c');
}

#[test]
fn frequent_changes_merged() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut value = Lagged::new(Duration::from_millis(640), at(0), 0);
    for ms in 1..=2_000 {
        value.set(at(ms), ms);
    }
    let visible = *value.visible(at(2_000)).0;
    assert!((1_330..=1_360).contains(&visible), "visible value {visible}");
}
