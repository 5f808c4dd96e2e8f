//! How many connections a router accepts, which follows from the memory of its VM.

use router::settings::{CallerListener, ConnectionBounds, RouterSettings};

const CONFIGURED: usize = 4_096;

fn bounds(memory_mb: usize, connections_max: usize) -> ConnectionBounds {
    let server = CallerListener { connections_max, ..CallerListener::default() };
    let forward_listen = Some(([127, 0, 0, 1], 0).into());
    let settings = RouterSettings { memory_mb, server, forward_listen, ..Default::default() };
    settings.connection_bounds()
}

/// Guards against a router that is killed because it accepts more connections than its VM has memory for.
#[test]
fn little_memory() {
    for memory_mb in [0, 16, 32, 48] {
        let ConnectionBounds { callers, forwarded } = bounds(memory_mb, CONFIGURED);
        assert!(callers.0 < 2_000, "{memory_mb} MB: {callers:?}");
        assert!(callers.0 > 200 && forwarded.0 > 20, "{memory_mb} MB: {callers:?}, {forwarded:?}");
    }
    let callers = [48, 64, 80, 96].map(|it| bounds(it, usize::MAX).callers.0);
    assert!(callers.is_sorted_by(|fewer, more| fewer < more), "{callers:?}");
}

/// Guards against a bound that refuses the connections that deployments have.
#[test]
fn deployed_memory() {
    assert!(bounds(110, CONFIGURED).callers.0 >= 2_000);
    for memory_mb in [200, 400, usize::MAX] {
        let callers = bounds(memory_mb, CONFIGURED).callers.0;
        assert_eq!(callers, CONFIGURED, "{memory_mb} MB");
    }
}

/// Guards against a configured bound that memory raises.
#[test]
fn configured_bound() {
    for memory_mb in [16, 110, 1_024] {
        assert_eq!(bounds(memory_mb, 100).callers.0, 100);
    }
}
