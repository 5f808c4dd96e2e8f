//! Servers with rate limits before one router and before many, in virtual time.

#[path = "support/limited_site.rs"]
mod limited_site;

use std::time::Instant;

use dissemination::{Hub, HubSettings, MemberState, Summary};
use limited_site::{SERVERS, Site};
use policy::{LimitEntry, PermitDemand, PermitGrant, PermitRequest, RequestRate, ServerHash};

const LIMIT_PER_S: f64 = 1.4;
/// Four requests a second and server.
const REQUESTS_PER_S: f64 = 50.0;
const FLEETS: [(usize, usize); 5] = [(1, 0), (1, 3), (9, 3), (40, 3), (85, 8)];

fn site(routers: usize, hubs: usize) -> Site {
    Site::new(routers, hubs, REQUESTS_PER_S)
}

/// Guards against a server that gets more from all routers together than the limit that it names, or
/// that gets far less, and against callers who lose by it although other servers have no limit.
#[test]
fn limit_of_many_routers() {
    for (routers, hubs) in FLEETS {
        let mut site = site(routers, hubs);
        site.play(3_000);
        site.limit(0, Some(LIMIT_PER_S));
        site.play(33_000);
        let what = format!("{routers} routers, {hubs} hubs");
        site.check_limits(&what);
        assert_eq!(site.callers.refused, 0, "{what}: {:?}", site.callers);
        let used = site.arrivals(0, 13_000, 33_000) as f64 / 20.0;
        assert!(used >= LIMIT_PER_S / 2.0, "{what}: {used} a second of {LIMIT_PER_S}");
    }
}

/// Guards against limits that are broken while routers and control VMs restart, are cut off, or no
/// control VM leads.
#[test]
fn limits_through_faults() {
    for (routers, hubs) in [(9, 3), (85, 8)] {
        let mut site = site(routers, hubs);
        site.limit(0, Some(LIMIT_PER_S));
        site.limit(1, Some(0.2));
        site.play(5_000);
        for step in 0..60_u64 {
            let idx = step as usize;
            match step % 6 {
                0 => site.restart_router(idx * 7 % routers),
                1 => site.restart_hub(idx % hubs),
                2 => site.change_leader(Some(idx % hubs)),
                3 => site.cut_off_router(idx * 3 % routers, true),
                4 => site.cut_off_router((idx - 1) * 3 % routers, false),
                _ => site.change_leader(None),
            }
            site.play(5_000 + step * 700);
        }
        let what = format!("{routers} routers");
        site.check_limits(&what);
        assert_eq!(site.callers.refused, 0, "{what}: {:?}", site.callers);
    }
}

/// Guards against requests beyond the limit, and against a pool that stops, while no control VM leads or
/// the routers reach none for a long time.
#[test]
fn long_without_leader() {
    for is_cut_off in [false, true] {
        for (routers, hubs) in [(9, 3), (85, 8)] {
            let mut site = site(routers, hubs);
            (0..SERVERS).for_each(|it| site.limit(it, Some(LIMIT_PER_S)));
            site.play(12_000);
            site.change_leader(None);
            (0..routers).filter(|_| is_cut_off).for_each(|it| site.cut_off_router(it, true));
            site.play(42_000);
            let what = format!("{routers} routers, cut off: {is_cut_off}");
            site.check_limits(&what);
            let served: usize = (0..SERVERS).map(|it| site.arrivals(it, 22_000, 42_000)).sum();
            let allowed = LIMIT_PER_S * SERVERS as f64 * 20.0;
            assert!(served as f64 >= allowed / 4.0, "{what}: {served} of {allowed}");
        }
    }
}

/// Guards against a pool whose servers all have limits and that serves far less than they allow, or
/// leaves callers without an answer.
#[test]
fn whole_pool_limited() {
    for (routers, hubs) in FLEETS {
        let mut site = site(routers, hubs);
        (0..SERVERS).for_each(|it| site.limit(it, Some(LIMIT_PER_S)));
        site.play(33_000);
        let what = format!("{routers} routers, {hubs} hubs");
        site.check_limits(&what);
        let served: usize = (0..SERVERS).map(|it| site.arrivals(it, 13_000, 33_000)).sum();
        let allowed = LIMIT_PER_S * SERVERS as f64 * 20.0;
        assert!(served as f64 >= allowed / 2.0, "{what}: {served} of {allowed}");
        let callers = site.callers;
        let open = callers.sent - callers.served - callers.refused;
        assert!(open <= 100, "{what}: {open} of {callers:?}");
    }
}

/// Guards against a limit that holds on after the server has stopped naming it, and against a lowered
/// limit that is taken up too late.
#[test]
fn limit_changes() {
    for (routers, hubs) in FLEETS {
        let what = format!("{routers} routers, {hubs} hubs");
        let mut site = site(routers, hubs);
        site.limit(0, Some(3.0));
        site.play(13_000);
        site.check_limits(&what);
        site.limit(0, Some(0.5));
        site.play(33_000);
        site.check_limits(&what);
        site.limit(0, None);
        site.play(48_000);
        let share = site.arrivals(0, 43_000, 48_000);
        assert!(share >= 10, "{what}: {share} of 20 after the limit has ended");
    }
}

/// Guards against limits that take more of a router's bandwidth for control than is left of 2 KB/s beside
/// the work reports of 32 routers, with all servers limited.
#[test]
fn bytes_of_permits() {
    const LEFT_BYTES_PER_S: usize = 305;
    let mut site = site(96, 3);
    (0..SERVERS).for_each(|it| site.limit(it, Some(LIMIT_PER_S)));
    site.play(20_000);
    for second in 2..20 {
        let span = second * 1_000..(second + 1) * 1_000;
        let bytes: usize = site.bytes.iter().filter(|it| span.contains(&it.0)).map(|it| it.1).sum();
        assert!(bytes <= LEFT_BYTES_PER_S, "{bytes} B in second {second}");
    }
}

/// Guards against permits of a limit that has been lowered since, which a hub still hands out.
#[test]
fn lowered_at_hub() {
    const SERVER: ServerHash = ServerHash(7);
    let now = Instant::now();
    let mut hub = Hub::new(HubSettings::default());
    let asking = |limit_per_s| {
        let rate = RequestRate::from_per_second(limit_per_s);
        let demand = PermitDemand { waiting: 50, expected: 0 };
        Summary {
            limits: vec![LimitEntry { server: SERVER, rate, age_ms: 0 }],
            permit_requests: vec![PermitRequest { server: SERVER, demand }],
            ..MemberState::new("router-1").empty_summary()
        }
    };
    hub.exchange(now, asking(100.0));
    hub.permit_requests(now);
    hub.permits_granted(now, &[PermitGrant { server: SERVER, count: 50 }]);
    let later = now + std::time::Duration::from_millis(100);
    let permits = hub.exchange(later, asking(0.5)).permits;
    let count: u16 = permits.iter().map(|it| it.count).sum();
    assert_eq!(count, 0, "{permits:?}");
}

/// Guards against permits that a router gets twice, because it asks again before it knows of its grant or
/// because the hub still holds a request that the router no longer makes. They expire unused.
#[test]
fn repeated_requests() {
    const SERVERS: [ServerHash; 2] = [ServerHash(7), ServerHash(8)];
    let now = Instant::now();
    let mut hub = Hub::new(HubSettings::default());
    let asking = |server| {
        let entry =
            |server| LimitEntry { server, rate: RequestRate::from_per_second(100.0), age_ms: 0 };
        let demand = PermitDemand { waiting: 1, expected: 1 };
        Summary {
            limits: SERVERS.map(entry).to_vec(),
            permit_requests: vec![PermitRequest { server, demand }],
            ..MemberState::new("router-1").empty_summary()
        }
    };
    hub.exchange(now, asking(SERVERS[0]));
    hub.permit_requests(now);
    hub.permits_granted(now, &[PermitGrant { server: SERVERS[0], count: 2 }]);
    let got = hub.exchange(now, asking(SERVERS[0])).permits;
    assert_eq!(got, [PermitGrant { server: SERVERS[0], count: 2 }]);
    assert_eq!(hub.permit_requests(now), [], "the router has got what it asks for again");
    hub.exchange(now, asking(SERVERS[0]));
    hub.exchange(now, asking(SERVERS[1]));
    let asked: Vec<_> = hub.permit_requests(now).iter().map(|it| it.server).collect();
    assert_eq!(asked, [SERVERS[1]], "the router asks for the other server only");
}
