//! Checks that each router receives the pending work of all other routers, across hubs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use dissemination::{
    Hub, HubSettings, MemberState, ServerWork, Summary, decode_digest, decode_summary,
    encode_digest, encode_summary,
};
use policy::PendingWork;
use proptest::prelude::*;

const ROUTERS: usize = 4;
const HUBS: usize = 2;

fn addr(server: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9000 + server))
}

fn pending(requests: u32, unread_tokens: u64) -> PendingWork {
    PendingWork { requests, unread_tokens }
}

/// Routers spread over several hubs, which exchange their sums.
struct World {
    now: Instant,
    hubs: Vec<Hub>,
    routers: Vec<MemberState>,
    /// The last report of each router.
    reported: Vec<BTreeMap<SocketAddr, PendingWork>>,
}

impl World {
    fn new() -> World {
        let hub =
            |idx: usize| Hub::new(HubSettings { epoch: idx as u64 + 1, ..HubSettings::default() });
        World {
            now: Instant::now(),
            hubs: (0..HUBS).map(hub).collect(),
            routers: (0..ROUTERS).map(|it| MemberState::new(&format!("r{it}"))).collect(),
            reported: vec![BTreeMap::new(); ROUTERS],
        }
    }

    fn exchange(&mut self, router: usize, work: BTreeMap<SocketAddr, PendingWork>) {
        let state = &mut self.routers[router];
        let rows = work
            .iter()
            .map(|(addr, work)| ServerWork { server: state.server_ref(*addr), work: *work });
        let summary = Summary { work: rows.collect(), ..state.empty_summary() };
        let summary = decode_summary(&encode_summary(&summary)).expect("encoded messages decode");
        let digest = self.hubs[router % HUBS].exchange(self.now, summary);
        state
            .apply_digest(decode_digest(&encode_digest(&digest)).expect("encoded messages decode"));
        self.reported[router] = work;
    }

    fn exchange_sums(&mut self) {
        let sums: Vec<_> = self.hubs.iter_mut().map(|it| it.own_work(self.now)).collect();
        for (from, rows) in sums.into_iter().enumerate() {
            for to in (0..HUBS).filter(|it| *it != from) {
                self.hubs[to].update_hub_work(self.now, from as u64, rows.clone());
            }
        }
    }

    fn expected(&self, router: usize) -> BTreeMap<SocketAddr, PendingWork> {
        let mut all = BTreeMap::new();
        let others = (0..ROUTERS).filter(|it| *it != router);
        for (addr, work) in others.flat_map(|it| &self.reported[it]) {
            *all.entry(*addr).or_insert_with(PendingWork::default) += *work;
        }
        all
    }

    fn received(&self, router: usize) -> BTreeMap<SocketAddr, PendingWork> {
        self.routers[router].others_work().collect()
    }
}

fn work() -> impl Strategy<Value = BTreeMap<SocketAddr, PendingWork>> {
    let row = (0..6_u16, 1..50_u32, 0..40_000_u64);
    proptest::collection::btree_map(0..6_u16, row, 0..5).prop_map(|rows| {
        let rows = rows.into_values();
        rows.map(|(server, requests, tokens)| (addr(server), pending(requests, tokens))).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sums_of_all_others(steps in proptest::collection::vec((0..ROUTERS, work()), 1..40)) {
        let mut world = World::new();
        for (router, work) in steps {
            world.now += Duration::from_millis(10);
            world.exchange(router, work);
            world.exchange_sums();
            // A second exchange returns the sums after all reports.
            let own = world.reported[router].clone();
            world.exchange(router, own);
            prop_assert_eq!(world.received(router), world.expected(router));
        }
    }
}

/// The last reports of routers and hubs expire after two seconds.
#[test]
fn expired_reports() {
    let mut world = World::new();
    let work = BTreeMap::from([(addr(1), pending(3, 640))]);
    world.exchange(1, work.clone());
    world.exchange(2, work);
    world.exchange_sums();
    world.exchange(0, BTreeMap::new());
    assert_eq!(world.received(0), BTreeMap::from([(addr(1), pending(6, 1_280))]));
    world.now += Duration::from_millis(2_100);
    world.exchange(0, BTreeMap::new());
    assert_eq!(world.received(0), BTreeMap::new());
}
