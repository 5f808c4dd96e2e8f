//! Compares the bytes per second of the hub with those of flat dissemination for the same loads.
//!
//! In the flat design, each router sends the rows that it owns to every other router of its failure
//! domain. Both designs send one message per second, and only payload bytes are counted.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dissemination::{
    Demand, Hub, HubSettings, Load, MemberState, PoolHash, ServerLoad, ServerObservation,
    ServerRef, ServerState, Slots, Summary, encode_digest, encode_summary, owner,
};

const DURATION_S: u64 = 120;
const POOLS: u32 = 5;

/// Bytes per second: of each router in both directions, and of the hub.
struct Rates {
    router_out: usize,
    router_in: usize,
    hub_out: usize,
}

fn main() {
    println!(
        "routers servers hub_router_out_bps hub_router_in_bps hub_vm_out_bps flat_router_out_bps flat_router_in_bps"
    );
    for (routers, servers) in [(3, 12), (9, 12), (8, 30), (16, 59), (32, 118), (64, 236)] {
        let hub = measure_hub(routers, servers);
        let flat = measure_flat(routers, servers);
        println!(
            "{routers} {servers} {} {} {} {flat} {flat}",
            hub.router_out, hub.router_in, hub.hub_out
        );
    }
}

fn measure_hub(routers: usize, servers: u16) -> Rates {
    let start = Instant::now();
    let names: Vec<_> = (0..routers).map(|it| format!("router-{it}")).collect();
    let mut hub = Hub::new(HubSettings::default());
    let mut members: Vec<_> = names.iter().map(|it| MemberState::new(it)).collect();
    let (mut sent, mut received) = (0, 0);
    for second in 0..DURATION_S {
        for (name, member) in names.iter().zip(&mut members) {
            let loads = owned_loads(&names, name, servers, second, |it| member.server_ref(it));
            let demand = (0..POOLS).map(|pool| Demand {
                pool: PoolHash(pool * 0x1357_9bdf),
                requests: 200,
                urgent: 20,
            });
            let held = member.servers().map(|it| Slots { server: it.row.idx, count: 2 });
            let is_first = second == 0;
            let summary = Summary {
                loads,
                observations: if is_first { observations(servers) } else { Vec::new() },
                demand: demand.collect(),
                held_slots: held.collect(),
                ..member.empty_summary()
            };
            sent += encode_summary(&summary).len();
            let digest = hub.exchange(start + Duration::from_secs(second), summary);
            received += encode_digest(&digest).len();
            member.apply_digest(digest);
        }
    }
    let per_router = |bytes: usize| bytes / routers / DURATION_S as usize;
    Rates {
        router_out: per_router(sent),
        router_in: per_router(received),
        hub_out: received / DURATION_S as usize,
    }
}

fn observations(servers: u16) -> Vec<ServerObservation> {
    let observation = |it: u16| ServerObservation {
        addr: SocketAddr::from(([10, 0, 0, 1], 9000 + it)),
        state: ServerState::Live,
        incarnation: 1,
        pool: PoolHash(u32::from(it) % POOLS * 0x1357_9bdf),
        slots: 64,
    };
    (0..servers).map(observation).collect()
}

/// Bytes per second that each router sends, which equals what it receives.
fn measure_flat(routers: usize, servers: u16) -> usize {
    let names: Vec<_> = (0..routers).map(|it| format!("router-{it}")).collect();
    let mut sent = 0;
    for second in 0..DURATION_S {
        for (idx, name) in names.iter().enumerate() {
            let by_port =
                |it: SocketAddr| ServerRef::Idx(dissemination::ServerIdx(it.port() - 9000));
            let loads = owned_loads(&names, name, servers, second, by_port);
            let summary = MemberState::new(name).empty_summary();
            let from = dissemination::Sender::Idx(dissemination::RouterIdx(idx as u16));
            sent += encode_summary(&Summary { from, loads, ..summary }).len() * (routers - 1);
        }
    }
    sent / routers / DURATION_S as usize
}

fn owned_loads(
    names: &[String],
    router: &str,
    servers: u16,
    second: u64,
    server_ref: impl Fn(SocketAddr) -> ServerRef,
) -> Vec<ServerLoad> {
    let addrs = (0..servers).map(|it| SocketAddr::from(([10, 0, 0, 1], 9000 + it)));
    let owned = addrs.filter(|it| owner(names.iter().map(String::as_str), *it) == Some(router));
    owned.map(|it| ServerLoad { server: server_ref(it), load: load(it, second) }).collect()
}

/// A load that changes every second, as it does under traffic.
fn load(server: SocketAddr, second: u64) -> Load {
    let variation = (u64::from(server.port()) * 31 + second * 17) % 23;
    Load {
        running: 40 + variation as u16,
        waiting: (variation / 5) as u16,
        kv_used_64ths: 30 + variation as u8,
        step_100us: 300 + variation as u16,
    }
}
