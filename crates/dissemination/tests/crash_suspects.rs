//! Checks which requests the hubs pass on to routers as quarantined: those that crashed servers
//! under several routers, and none that ran on a crashed server by chance.

use std::time::{Duration, Instant};

use dissemination::{
    CrashRows, Hub, HubNews, HubSettings, MemberState, PoolHash, QuarantineRow, Summary,
    encode_summary,
};
use policy::{CrashSite, QuarantineEntry};

const REQUEST_HASH: u64 = 7;

/// Two hubs with a router each. The hubs pass new suspects on at once.
struct World {
    now: Instant,
    hubs: [Hub; 2],
    routers: [MemberState; 2],
}

impl World {
    fn new() -> World {
        let hub = |epoch| Hub::new(HubSettings { epoch, ..HubSettings::default() });
        let routers = ["router-1", "router-2"].map(MemberState::new);
        World { now: Instant::now(), hubs: [hub(1), hub(2)], routers }
    }

    /// Exchanges with the router's own hub; returns what it sends as quarantined.
    fn exchange(&mut self, router: usize, rows: Vec<QuarantineRow>) -> Vec<QuarantineRow> {
        let summary = Summary { quarantine: rows, ..self.routers[router].empty_summary() };
        let digest = self.hubs[router].exchange(self.now, summary);
        let new = self.hubs[router].take_news(self.now);
        self.hubs[1 - router].merge_news(self.now, new);
        self.routers[router].apply_digest(digest).requests
    }

    /// Reports a suspect and returns whether either hub sends it as quarantined afterwards.
    fn report(&mut self, router: usize, row: QuarantineRow) -> bool {
        self.exchange(router, vec![row]);
        let [first, second] = self.quarantined();
        assert_eq!(first, second, "both hubs know the same");
        first > 0
    }
}

impl World {
    /// The number of quarantined requests at each hub.
    fn quarantined(&mut self) -> [usize; 2] {
        let now = self.now;
        self.hubs.each_mut().map(|it| it.repeated_news(now).crashes.requests.len())
    }
}

fn site(server_hash: u64) -> CrashSite {
    CrashSite { server_hash, incarnation: 1, returns: 0 }
}

fn crash(server_hash: u64) -> QuarantineRow {
    row(vec![site(server_hash)], None)
}

fn crash_of(request_hash: u64, server_hash: u64) -> QuarantineRow {
    let QuarantineRow { pool, entry } = crash(server_hash);
    QuarantineRow { pool, entry: QuarantineEntry { request_hash, ..entry } }
}

fn row(crashes: Vec<CrashSite>, completed_ms_ago: Option<u64>) -> QuarantineRow {
    let entry = QuarantineEntry {
        request_hash: REQUEST_HASH,
        crashes,
        completed_ms_ago,
        is_confirmed: false,
        ttl_ms: 600_000,
    };
    QuarantineRow { pool: PoolHash(1), entry }
}

/// Guards against routers that count only their own crashes of a request.
#[test]
fn one_crash_a_router() {
    let mut world = World::new();
    assert!(!world.report(0, crash(1)));
    // The router that reports the second crash is told in the same exchange.
    for (router, rows) in [(1, vec![crash(2)]), (0, Vec::new())] {
        let received = world.exchange(router, rows);
        assert_eq!(received.len(), 1, "router {router} is told");
        assert_eq!(received[0].entry.crashes.len(), 2);
        assert_eq!(world.exchange(router, Vec::new()), [], "once");
    }
}

/// Guards against messages to all routers about each request that ran on a crashed server.
#[test]
fn single_crashes_stay() {
    let mut world = World::new();
    world.report(0, crash(1));
    for router in 0..2 {
        assert_eq!(world.exchange(router, Vec::new()), []);
    }
}

/// Guards against the quarantine of a request that two routers saw on the same crashed server.
#[test]
fn same_crash_twice() {
    let mut world = World::new();
    assert!(!world.report(0, crash(1)));
    assert!(!world.report(1, crash(1)));
}

/// Guards against the quarantine of a request that completed between two crashes that it did not
/// cause, whichever router it completed at.
#[test]
fn completed_between() {
    let mut world = World::new();
    world.report(0, crash(1));
    world.now += Duration::from_secs(5);
    // The suspect completes at the router that reported it.
    world.report(0, row(Vec::new(), Some(0)));
    world.now += Duration::from_secs(5);
    assert!(!world.report(1, crash(2)));
    world.now += Duration::from_secs(5);
    // A request of this fingerprint completed at the other router after the second crash.
    assert!(!world.report(1, row(vec![site(3)], Some(2_000))));
    assert!(!world.report(0, crash(4)), "a request that has completed needs three crashes");
    assert!(world.report(0, crash(5)));
}

/// Guards against a quarantine that a late report of a completion lifts.
#[test]
fn quarantine_stays() {
    let mut world = World::new();
    world.report(0, crash(1));
    assert!(world.report(1, crash(2)));
    assert!(world.report(0, row(Vec::new(), Some(0))));
    world.now += Duration::from_secs(601);
    world.exchange(0, Vec::new());
    assert!(world.hubs[0].repeated_news(world.now).is_empty(), "until it expires");
}

/// Guards against the refusal of requests that were on two servers which crashed with many others.
#[test]
fn servers_crash_together() {
    let mut world = World::new();
    for servers in [1..=4, 5..=8] {
        // Request N was on server N and goes on at server N + 4.
        let reports = servers.map(|server| crash_of((server - 1) % 4, server)).collect();
        world.exchange(0, reports);
        world.now += Duration::from_secs(3);
    }
    assert_eq!(world.quarantined(), [0, 0]);
}

/// Guards against the refusal of requests that were on two of the servers that another one crashed.
#[test]
fn bystanders_of_crashes() {
    let (bystanders, cause) = (10..16, 7);
    let mut world = World::new();
    for (server, router) in [(1, 0), (2, 1)] {
        // The bystanders' reports come first, through the other router.
        let reports = bystanders.clone().map(|it| crash_of(it, server)).collect();
        world.exchange(1 - router, reports);
        world.exchange(router, vec![crash_of(cause, server)]);
        world.now += Duration::from_secs(1);
        assert_eq!(world.quarantined(), [0, 0]);
    }
    world.exchange(0, vec![crash_of(cause, 3)]);
    assert_eq!(world.quarantined(), [1, 1]);
    let received = world.exchange(1, Vec::new());
    assert_eq!(received[0].entry.request_hash, cause);
}

/// Guards against a crash of many servers that takes a router more than its 2 KB/s for control: 12 of
/// 60 servers crash with 64 requests each, which came through 58 routers.
#[test]
fn mass_crash_bytes() {
    const BYTES_PER_SECOND_MAX: usize = 2_048;
    let (servers, requests, routers) = (12, 64, 58);
    let mut world = World::new();
    let share = |router: u64| {
        let crashed = (0..servers * requests).filter(move |it| it % routers == router);
        crashed
            .map(|it| crash_of(it.wrapping_mul(0x9e37_79b9_7f4a_7c15), it % servers))
            .collect::<Vec<_>>()
    };
    for router in 0..routers {
        let empty = world.routers[0].empty_summary();
        let summary = Summary { quarantine: share(router), ..empty };
        assert!(encode_summary(&summary).len() <= BYTES_PER_SECOND_MAX, "router {router}");
        let received = world.exchange(router as usize % 2, share(router));
        assert_eq!(received, [], "routers are sent quarantined requests only");
    }
}

/// Guards against a hub that has restarted and, hearing of all recent crashes at once, takes them for
/// simultaneous: what the hubs have found stays.
#[test]
fn restarted_hub() {
    let mut world = World::new();
    for server in 1..=6 {
        // Each server crashes with another request; the last two with the same one.
        let request_hash = if server < 5 { 100 + server } else { REQUEST_HASH };
        world.exchange(0, vec![crash_of(request_hash, server)]);
        world.now += Duration::from_secs(2);
    }
    assert_eq!(world.quarantined(), [1, 1]);
    let repeated = world.hubs[0].repeated_news(world.now);
    world.hubs[1] = Hub::new(HubSettings { epoch: 3, ..HubSettings::default() });
    // The other suspects come first, from a router.
    let requests = (1..5).map(|it| crash_of(100 + it, it)).collect();
    let crashes = CrashRows { requests, ..CrashRows::default() };
    world.hubs[1].merge_news(world.now, HubNews { crashes, ..HubNews::default() });
    world.hubs[1].merge_news(world.now, repeated);
    assert_eq!(world.quarantined(), [1, 1]);
}

/// Guards against a verdict on the first reports of servers that are cut off together: a request that
/// was sent to two of them within milliseconds is on most of those known so far.
#[test]
fn cut_off_together() {
    let mut world = World::new();
    world.exchange(1, vec![crash_of(100, 1)]);
    for server in 2..=3 {
        world.now += Duration::from_millis(10);
        world.exchange(0, vec![crash(server)]);
    }
    for server in 4..=9 {
        world.now += Duration::from_millis(10);
        world.exchange(1, vec![crash_of(100 + server, server)]);
    }
    world.now += Duration::from_secs(1);
    assert_eq!(world.quarantined(), [0, 0]);
}
