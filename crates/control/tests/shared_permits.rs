//! The permits for requests to a server with a rate limit, which the control VM that leads issues for the
//! routers of all control VMs.

mod support;

use std::time::Instant;

use dissemination::{MemberState, Summary};
use policy::{LimitEntry, PermitDemand, PermitRequest, RequestRate, ServerHash};
use support::{Cluster, wait_until};

const SERVER: ServerHash = ServerHash(7);
const LIMIT_PER_S: f64 = 10.0;
/// What may be sent beyond the rate: permits that have piled up, and those issued by a leader that has
/// just ended.
const EXTRA_PERMITS: f64 = 5.0;

/// A router that always wants to send more to the server.
struct Router {
    held: MemberState,
    node: usize,
    permits: u32,
}

impl Router {
    fn new(node: usize) -> Router {
        Router { held: MemberState::new(&format!("router-{node}")), node, permits: 0 }
    }

    /// Exchanges with its control VM, if that runs, and counts the permits that it is granted.
    fn exchange(&mut self, cluster: &Cluster) {
        let rate = RequestRate::from_per_second(LIMIT_PER_S);
        let limit = LimitEntry { server: SERVER, rate, age_ms: 0 };
        let demand = PermitDemand { waiting: 100, expected: 0 };
        let summary = Summary {
            limits: vec![limit],
            permit_requests: vec![PermitRequest { server: SERVER, demand }],
            ..self.held.empty_summary()
        };
        if let Some(digest) = cluster.exchange(self.node, &summary) {
            self.held.apply_digest(digest);
            self.permits += self.held.permits().iter().map(|it| u32::from(it.count)).sum::<u32>();
        }
    }
}

/// Exchanges with all control VMs and checks what they have granted since the start.
fn exchange_all(cluster: &Cluster, routers: &mut [Router], start: Instant) {
    routers.iter_mut().for_each(|it| it.exchange(cluster));
    let total: u32 = routers.iter().map(|it| it.permits).sum();
    let allowed = LIMIT_PER_S * start.elapsed().as_secs_f64() + EXTRA_PERMITS;
    assert!(f64::from(total) <= allowed, "{total} permits, {allowed} allowed");
}

/// Guards against control VMs that each hand out the whole rate of a server, also when the one that
/// issues the permits has ended, and against routers of one control VM that get none.
#[test]
fn one_rate_for_all() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.await_leader(&[1, 2, 3]);
    let mut routers = [1, 2, 3].map(Router::new);
    let start = Instant::now();
    wait_until("permits at each control VM", || {
        exchange_all(&cluster, &mut routers, start);
        routers.iter().all(|it| it.permits > 0).then_some(())
    });
    cluster.kill(leader);
    let before = routers.each_ref().map(|it| it.permits);
    wait_until("permits at the others after the leader has ended", || {
        exchange_all(&cluster, &mut routers, start);
        let grown = routers.iter().zip(before).filter(|(it, before)| it.permits > before + 5);
        (grown.count() == 2).then_some(())
    });
}
