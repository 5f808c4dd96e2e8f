//! Servers that fail if they have to reject too many requests in a second, before one router and before
//! many, in virtual time.

#[path = "support/limited_site.rs"]
mod limited_site;

use limited_site::{Places, SERVERS, Site};

/// Twelve servers with four places each bear 240 requests of 0.1 to 0.3 s a second.
const BEARABLE_PER_S: f64 = 240.0;
/// The users' bound: two failures, and one for ten servers.
const FAILURES_MAX: usize = 2 + SERVERS / 10;
/// Routers and hubs.
const FLEETS: [(usize, usize); 5] = [(1, 0), (1, 3), (9, 3), (40, 3), (85, 8)];
/// The users count from 3 s after the servers first said what they are.
const PLENTY: Places = Places { running: 4, waiting_max: 100, rejections_max: 10 };
const SCARCE_WAITING_MAX: usize = 2;
const START_MS: u64 = 3_000;
const END_MS: u64 = 17_000;

/// Plays so many requests a second; returns the site at its end.
fn play(routers: usize, hubs: usize, requests_per_s: f64, rejections_max: usize) -> Site {
    let mut site = Site::new(routers, hubs, requests_per_s);
    site.set_places(Places { rejections_max, ..PLENTY });
    site.play(START_MS);
    site.set_waiting_max(SCARCE_WAITING_MAX);
    site.play(END_MS);
    site
}

/// Loads that exceed what the servers bear, and the rejections that they survive.
const OVERLOADS: [(f64, usize); 2] = [(400.0, 10), (260.0, 4)];

/// Guards against requests that are sent beyond the places of all servers, so that one fails and its load
/// makes the others fail.
#[test]
fn failures_bounded() {
    for (routers, hubs) in FLEETS {
        for (requests_per_s, rejections_max) in [OVERLOADS[0], OVERLOADS[1], (180.0, 10)] {
            let site = play(routers, hubs, requests_per_s, rejections_max);
            let failures = site.failures();
            let what = format!("{routers} routers, {hubs} hubs, {requests_per_s} requests/s");
            assert!(failures <= FAILURES_MAX, "{what}: {failures} failures, {:?}", site.callers);
        }
    }
}

/// Guards against more repeats in 10 s than the users allow: a fifth of the requests, and 52.
#[test]
fn repeats_bounded() {
    const SPAN_MS: u64 = 10_000;
    const SLACK: f64 = 52.0;
    for (routers, hubs) in FLEETS {
        for (requests_per_s, rejections_max) in OVERLOADS {
            let site = play(routers, hubs, requests_per_s, rejections_max);
            let bound = 0.2 * requests_per_s * SPAN_MS as f64 / 1e3 + SLACK;
            let within = |from_ms: u64| {
                let span = from_ms..from_ms + SPAN_MS;
                site.repeats_ms.iter().filter(|it| span.contains(it)).count()
            };
            let most = (0..END_MS).step_by(100).map(within).max().unwrap_or_default();
            assert!(most as f64 <= bound, "{routers} routers, {requests_per_s}/s: {most} repeats");
        }
    }
}

/// Guards against a pool that serves far less than it could under overload.
#[test]
fn capacity_used() {
    let mut faults = Vec::new();
    for (routers, hubs) in FLEETS {
        for (requests_per_s, rejections_max) in OVERLOADS {
            let site = play(routers, hubs, requests_per_s, rejections_max);
            let served_per_s = site.callers.served as f64 * 1e3 / END_MS as f64;
            let what = format!(
                "{routers} routers, {hubs} hubs, {requests_per_s} requests/s: {served_per_s:.0}/s \
                 served, {:?}",
                site.callers
            );
            println!("{what}");
            if served_per_s < BEARABLE_PER_S * 0.85 {
                faults.push(what);
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against callers who lose by the limits although the pool could serve all requests.
#[test]
fn spare_room() {
    let mut faults = Vec::new();
    for (routers, hubs) in FLEETS {
        let site = play(routers, hubs, 180.0, 10);
        let lost = site.callers.refused + site.callers.failed;
        let what = format!("{routers} routers, {hubs} hubs: {:?}", site.callers);
        println!("{what}");
        if lost * 50 > site.callers.sent {
            faults.push(what);
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
