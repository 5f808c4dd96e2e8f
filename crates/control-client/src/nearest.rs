//! Keeps the link of a router at the control VM that is nearest to it.
//!
//! When a fleet starts, the routers follow whichever control VM has a leader first, and after a loss they
//! follow the next one. Without a way back all of them end up at few control VMs, whose work grows with the
//! square of their routers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use futures::future::join_all;
use monoio::time;
use rpc::{ByteCounters, Link, dial};

use crate::document_watch::Order;

/// The interval between checks whether the link is where it should be; the first comes after half of it.
const CHECK_INTERVAL: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The calls by which the distance is measured; the fastest one counts.
const PINGS: usize = 2;
/// Control VMs at up to this multiple of the shortest round trip, and the allowance, are equally near:
/// round trips within a failure domain differ by the load of the VMs.
const NEAR_FACTOR: f64 = 1.5;
const NEAR_ALLOWANCE: Duration = Duration::from_micros(400);

/// Moves a link back to the nearest control VM.
pub struct NearestControl {
    link: Link,
    clock: Rc<dyn Clock>,
    order: Order,
    /// The control VMs among which the last choice was made, and the choice.
    chosen: Option<(Vec<SocketAddr>, SocketAddr)>,
}

impl NearestControl {
    /// Starts the checks. `order` sorts control VMs that are equally near by preference; `share`, from 0 to
    /// 1, spreads the checks of routers that start together.
    pub fn start(
        link: Link,
        clock: Rc<dyn Clock>,
        order: impl Fn(&mut Vec<SocketAddr>) + 'static,
        share: f64,
    ) {
        let nearest = NearestControl { link, clock, order: Box::new(order), chosen: None };
        monoio::spawn(nearest.run(share));
    }

    async fn run(mut self, share: f64) {
        let mut pause = CHECK_INTERVAL.mul_f64(0.5 + 0.5 * share);
        while self.link.has_other_handles() {
            time::sleep(pause).await;
            pause = CHECK_INTERVAL.mul_f64(1.0 + 0.5 * share);
            self.check().await;
        }
    }

    async fn check(&mut self) {
        let mut known = self.link.addrs();
        known.sort();
        let Ok(current) = self.link.client().map(|it| it.addr()) else { return };
        let is_settled =
            self.chosen.as_ref().is_some_and(|(among, it)| *among == known && *it == current);
        if is_settled || known.len() < 2 {
            return;
        }
        let measured = join_all(known.iter().map(|it| self.round_trip(*it))).await;
        let measured: Vec<_> = known.iter().copied().zip(measured).collect();
        let Some(nearest) = choose(&measured, &*self.order) else { return };
        self.chosen = Some((known, nearest));
        if nearest != current {
            tracing::info!(event = "control_moved", from = %current, to = %nearest);
            self.link.move_to(nearest);
        }
    }

    /// The shortest round trip of a call; `None` if the control VM does not answer.
    async fn round_trip(&self, addr: SocketAddr) -> Option<Duration> {
        let connection = dial(addr, CONNECT_TIMEOUT, &ByteCounters::default()).await.ok()?;
        let mut shortest = Duration::MAX;
        for _ in 0..PINGS {
            let started = self.clock.now();
            connection.client.ping(CONNECT_TIMEOUT).await.ok()?;
            shortest = shortest.min(self.clock.now().saturating_duration_since(started));
        }
        Some(shortest)
    }
}

/// The control VM that a router should follow, given the round trips to those that answer: the preferred one
/// of the nearest.
pub fn choose(
    measured: &[(SocketAddr, Option<Duration>)],
    order: &dyn Fn(&mut Vec<SocketAddr>),
) -> Option<SocketAddr> {
    let shortest = measured.iter().filter_map(|it| it.1).min()?;
    let bound = shortest.mul_f64(NEAR_FACTOR) + NEAR_ALLOWANCE;
    let near = measured.iter().filter(|it| it.1.is_some_and(|it| it <= bound));
    let mut near: Vec<_> = near.map(|it| it.0).collect();
    order(&mut near);
    near.first().copied()
}
