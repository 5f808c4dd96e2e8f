//! Checks that a router holds the state of the hub after any digest that it receives, no matter how
//! many digests were lost before.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dissemination::{
    Hub, HubSettings, Load, MemberState, PoolHash, QuarantineRow, ServerLoad, ServerObservation,
    ServerState, Summary, decode_digest, decode_summary, encode_digest, encode_summary,
};
use policy::{CrashSite, QuarantineEntry};
use proptest::prelude::*;

const ROUTERS: usize = 3;
const SERVERS: u16 = 4;

#[derive(Debug, Clone)]
enum Step {
    Load { router: usize, server: u16, running: u16, is_lost: bool },
    Observation { router: usize, server: u16, state: ServerState, incarnation: u64, is_lost: bool },
    HubRestart,
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(ServerState::Live), Just(ServerState::Leaving)];
    prop_oneof![
        6 => (0..ROUTERS, 0..SERVERS, 0..50u16, any::<bool>()).prop_map(
            |(router, server, running, is_lost)| Step::Load { router, server, running, is_lost }
        ),
        3 => (0..ROUTERS, 0..SERVERS, state, 0..4u64, any::<bool>()).prop_map(
            |(router, server, state, incarnation, is_lost)| Step::Observation {
                router, server, state, incarnation, is_lost
            }
        ),
        1 => Just(Step::HubRestart),
    ]
}

fn addr(server: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9000 + server))
}

struct World {
    now: Instant,
    hub: Hub,
    epoch: u64,
    members: Vec<MemberState>,
}

impl World {
    fn new() -> World {
        let members = (0..ROUTERS).map(|it| MemberState::new(&format!("router-{it}"))).collect();
        let hub = Hub::new(HubSettings::default());
        World { now: Instant::now(), hub, epoch: 1, members }
    }

    fn apply(&mut self, step: &Step) {
        self.now += Duration::from_millis(100);
        match *step {
            Step::Load { router, server, running, is_lost } => {
                let load = Load { running, ..Load::default() };
                let server = self.members[router].server_ref(addr(server));
                self.exchange(router, vec![ServerLoad { server, load }], Vec::new(), is_lost);
            }
            Step::Observation { router, server, state, incarnation, is_lost } => {
                let (addr, pool) = (addr(server), PoolHash(1));
                let observations =
                    vec![ServerObservation { addr, state, incarnation, pool, slots: 8 }];
                self.exchange(router, Vec::new(), observations, is_lost);
            }
            Step::HubRestart => {
                self.epoch += 1;
                self.hub = Hub::new(HubSettings { epoch: self.epoch, ..HubSettings::default() });
            }
        }
    }

    fn exchange(
        &mut self,
        router: usize,
        loads: Vec<ServerLoad>,
        observations: Vec<ServerObservation>,
        is_lost: bool,
    ) {
        let summary = self.members[router].empty_summary();
        let summary = Summary { loads, observations, ..summary };
        let summary =
            decode_summary(&encode_summary(&summary)).expect("an encoded summary decodes");
        let digest = encode_digest(&self.hub.exchange(self.now, summary));
        if !is_lost {
            self.members[router]
                .apply_digest(decode_digest(&digest).expect("an encoded digest decodes"));
        }
    }
}

proptest! {
    #[test]
    fn members_converge(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
        for router in 0..ROUTERS {
            world.exchange(router, Vec::new(), Vec::new(), false);
        }
        let expected: Vec<_> = world.hub.servers().map(|(row, load)| (*row, *load)).collect();
        for member in &world.members {
            let held: Vec<_> = member.servers().map(|it| (it.row, it.load)).collect();
            prop_assert_eq!(&held, &expected);
        }
    }

    #[test]
    fn leaving_until_restart(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        let mut leaving = std::collections::BTreeMap::new();
        for step in &steps {
            if matches!(step, Step::HubRestart) {
                continue;
            }
            world.apply(step);
            for (row, _) in world.hub.servers() {
                if let Some(incarnation) = leaving.get(&row.addr) {
                    prop_assert!(row.state == ServerState::Leaving || row.incarnation > *incarnation);
                }
                if row.state == ServerState::Leaving {
                    leaving.insert(row.addr, row.incarnation);
                }
            }
        }
    }
}

#[test]
fn silent_router_expires() {
    let mut world = World::new();
    for router in 0..ROUTERS {
        world.exchange(router, Vec::new(), Vec::new(), false);
    }
    world.now += Duration::from_secs(6);
    world.exchange(0, Vec::new(), Vec::new(), false);
    world.now += Duration::from_secs(3);
    world.exchange(0, Vec::new(), Vec::new(), false);
    assert_eq!(world.hub.routers().collect::<Vec<_>>(), ["router-0"]);

    // The expired router learns that its index is no longer valid, and registers again by name.
    world.exchange(1, Vec::new(), Vec::new(), false);
    world.exchange(1, Vec::new(), Vec::new(), false);
    assert_eq!(world.hub.routers().collect::<Vec<_>>(), ["router-0", "router-1"]);
}

#[test]
fn quarantine_shared() {
    let mut world = World::new();
    let site = |server_hash| CrashSite { server_hash, incarnation: 1, returns: 0 };
    let crashes = vec![site(3), site(4)];
    let entry = QuarantineEntry {
        request_hash: 7,
        crashes,
        completed_ms_ago: None,
        is_confirmed: false,
        ttl_ms: 60_000,
    };
    let row = QuarantineRow { pool: PoolHash(1), entry };
    let summary = world.members[0].empty_summary();
    world.hub.exchange(world.now, Summary { quarantine: vec![row.clone()], ..summary });

    // The hub's verdict goes with the entry.
    let entry = QuarantineEntry { is_confirmed: true, ..row.entry.clone() };
    let row = QuarantineRow { entry, ..row };
    let digest = world.hub.exchange(world.now, world.members[2].empty_summary());
    assert_eq!(world.members[2].apply_digest(digest).requests, [row]);

    world.now += Duration::from_secs(61);
    let digest = world.hub.exchange(world.now, world.members[1].empty_summary());
    assert_eq!(world.members[1].apply_digest(digest).requests, []);
}
