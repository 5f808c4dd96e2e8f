//! Permits for requests to servers that limit their rate of requests.
//!
//! One control VM, the leader, issues the permits of all servers. The hubs ask it for what their routers
//! ask for, and hand out what they are granted. So a limit is kept by all routers together, however many
//! there are, and no router or hub has to know the others.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use policy::{
    Allowance, PermitDemand, PermitGrant, PermitIssuer, PermitRequest, RequestRate, ServerHash,
};
use serde::{Deserialize, Serialize};

use crate::RouterIdx;

/// Time until a request for permits expires; it is repeated with each exchange.
const REQUEST_TTL: Duration = Duration::from_millis(1_200);
/// Time for which nothing has asked for permits to a server until it is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// The permits that a hub asks the leader for, for requests to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HubPermitRequest {
    /// The server.
    pub server: ServerHash,
    /// Its limit, as the hub knows it.
    pub rate: RequestRate,
    /// The permits.
    pub demand: PermitDemand,
}

/// Issues the permits of all servers to the hubs, at the control VM that leads.
#[derive(Debug, Default)]
pub struct PermitDesk {
    servers: BTreeMap<ServerHash, ServerDesk>,
}

#[derive(Debug)]
struct ServerDesk {
    issuer: PermitIssuer,
    rate: RequestRate,
    requests: Requests<u64>,
}

impl PermitDesk {
    /// Replaces the requests of a hub.
    pub fn update(&mut self, now: Instant, hub: u64, rows: &[HubPermitRequest]) {
        for row in rows {
            let desk = self.servers.entry(row.server).or_insert_with(|| ServerDesk {
                issuer: PermitIssuer::new(now),
                rate: row.rate,
                requests: Requests::default(),
            });
            desk.rate = row.rate;
            desk.requests.update(now, hub, row.demand);
        }
    }

    /// Issues permits to the hubs that ask for some. A hub that is granted none gets an answer too.
    pub fn issue(&mut self, now: Instant) -> BTreeMap<u64, Vec<PermitGrant>> {
        self.servers.retain(|_, it| it.requests.is_in_use(now));
        let mut grants: BTreeMap<u64, Vec<PermitGrant>> = BTreeMap::new();
        for (server, desk) in &mut self.servers {
            let available = desk.issuer.refill(now, desk.rate);
            let shares = desk.requests.divide(now, available);
            desk.issuer.issue(shares.values().sum());
            for (hub, count) in shares {
                let count = count.try_into().unwrap_or(u16::MAX);
                grants.entry(hub).or_default().push(PermitGrant { server: *server, count });
            }
        }
        grants
    }
}

/// The permits that a hub holds for its routers.
#[derive(Debug, Default)]
pub(crate) struct HubPermits {
    servers: BTreeMap<ServerHash, HeldPermits>,
}

#[derive(Debug)]
struct HeldPermits {
    /// The limit, as of the last request.
    rate: RequestRate,
    allowance: Allowance,
    requests: Requests<RouterIdx>,
    /// Whether the leader has not answered the last request yet.
    awaits_answer: bool,
    /// The permits set aside for each router until its next exchange, and when that was.
    assigned: BTreeMap<RouterIdx, (u32, Instant)>,
}

impl HubPermits {
    /// Replaces the requests of a router. `rate` gives the limit of a server.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        router: RouterIdx,
        rows: &[PermitRequest],
        rate: impl Fn(ServerHash) -> Option<RequestRate>,
    ) {
        self.servers.retain(|_, it| it.requests.is_in_use(now));
        self.servers.values_mut().for_each(|it| it.requests.withdraw(router));
        for row in rows {
            let Some(rate) = rate(row.server) else { continue };
            let held = self.servers.entry(row.server).or_insert_with(|| HeldPermits {
                rate,
                allowance: Allowance::new(now),
                requests: Requests::default(),
                awaits_answer: false,
                assigned: BTreeMap::new(),
            });
            held.set_rate(rate);
            // The router does not know yet what it gets with this exchange.
            let assigned = held.assigned.get(&router).map_or(0, |it| it.0);
            held.requests.update(now, router, without(row.demand, assigned));
        }
    }

    /// The permits to ask the leader for. `rate` gives the limit of a server.
    pub(crate) fn requests(
        &mut self,
        now: Instant,
        rate: impl Fn(ServerHash) -> Option<RequestRate>,
    ) -> Vec<HubPermitRequest> {
        let requests = self.servers.iter_mut().filter_map(|(server, held)| {
            let demand = held.requests.total(now);
            let rate = rate(*server)?;
            held.set_rate(rate);
            if demand == PermitDemand::default() {
                if !held.awaits_answer {
                    // Without a request, no answer is missing.
                    held.allowance.answered(now, rate, 0);
                }
                return None;
            }
            held.awaits_answer = true;
            Some(HubPermitRequest { server: *server, rate, demand })
        });
        requests.collect()
    }

    /// Applies the leader's answer, which names all servers that the hub asked for.
    pub(crate) fn granted(&mut self, now: Instant, grants: &[PermitGrant]) {
        for grant in grants {
            if let Some(held) = self.servers.get_mut(&grant.server) {
                held.awaits_answer = false;
                held.allowance.answered(now, held.rate, grant.count.into());
                held.assign(now);
            }
        }
    }

    /// The permits for a router, which it gets with its exchange.
    pub(crate) fn take(&mut self, now: Instant, router: RouterIdx) -> Vec<PermitGrant> {
        let grants = self.servers.iter_mut().filter_map(|(server, held)| {
            held.assign(now);
            let (count, _) = held.assigned.remove(&router)?;
            let count = count.try_into().unwrap_or(u16::MAX);
            Some(PermitGrant { server: *server, count })
        });
        grants.collect()
    }
}

impl HeldPermits {
    /// Sets the limit. Permits of a higher one are void.
    fn set_rate(&mut self, rate: RequestRate) {
        if rate < self.rate {
            self.allowance.revoke();
            self.assigned.clear();
        }
        self.rate = rate;
    }

    /// Sets the available permits aside for the routers that ask for some.
    fn assign(&mut self, now: Instant) {
        self.assigned.retain(|_, it| now < it.1 + self.rate.permit_ttl());
        let available = self.allowance.available(now);
        for (router, count) in self.requests.divide(now, available) {
            let taken = (0..count).filter(|_| self.allowance.take(now)).count() as u32;
            if taken > 0 {
                let assigned = self.assigned.entry(router).or_insert((0, now));
                *assigned = (assigned.0 + taken, now);
            }
        }
    }
}

/// The demand that is left after so many permits.
fn without(demand: PermitDemand, permits: u32) -> PermitDemand {
    let permits = permits.try_into().unwrap_or(u16::MAX);
    let left = permits.saturating_sub(demand.waiting);
    PermitDemand {
        waiting: demand.waiting.saturating_sub(permits),
        expected: demand.expected.saturating_sub(left),
    }
}

/// Requests for permits, which are served by turns.
#[derive(Debug)]
struct Requests<K> {
    holders: BTreeMap<K, Holder>,
    /// The number of permits that were handed out.
    turn: u64,
    updated_at: Option<Instant>,
}

#[derive(Debug)]
struct Holder {
    demand: PermitDemand,
    updated_at: Instant,
    /// The turn in which the holder got its last permit.
    last_turn: u64,
}

impl<K> Default for Requests<K> {
    fn default() -> Self {
        Requests { holders: BTreeMap::new(), turn: 0, updated_at: None }
    }
}

impl<K: Copy + Ord> Requests<K> {
    fn update(&mut self, now: Instant, key: K, demand: PermitDemand) {
        self.updated_at = Some(now);
        let holder =
            self.holders.entry(key).or_insert(Holder { demand, updated_at: now, last_turn: 0 });
        (holder.demand, holder.updated_at) = (demand, now);
    }

    /// Withdraws what the holder asks for.
    fn withdraw(&mut self, key: K) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.demand = PermitDemand::default();
        }
    }

    fn is_in_use(&self, now: Instant) -> bool {
        self.updated_at.is_some_and(|it| now < it + IDLE_TTL)
    }

    fn total(&self, now: Instant) -> PermitDemand {
        let current = self.holders.values().filter(|it| it.is_current(now));
        current.fold(PermitDemand::default(), |sum, it| PermitDemand {
            waiting: sum.waiting.saturating_add(it.demand.waiting),
            expected: sum.expected.saturating_add(it.demand.expected),
        })
    }

    /// Divides permits one by one: first among the holders with waiting requests, then among the others,
    /// each time to the one that has waited longest for a permit. Each current holder has an entry in the
    /// result. What is handed out is taken off the demand.
    fn divide(&mut self, now: Instant, count: u32) -> BTreeMap<K, u32> {
        self.holders.retain(|_, it| it.is_current(now));
        let mut shares: BTreeMap<K, u32> = self.holders.keys().map(|it| (*it, 0)).collect();
        for _ in 0..count {
            let asking = self.holders.iter_mut().filter(|(_, it)| it.is_asking());
            let next = asking.min_by_key(|(_, it)| (it.demand.waiting == 0, it.last_turn));
            let Some((key, holder)) = next else { break };
            self.turn += 1;
            holder.last_turn = self.turn;
            let demand = &mut holder.demand;
            match demand.waiting {
                0 => demand.expected -= 1,
                _ => demand.waiting -= 1,
            }
            *shares.entry(*key).or_default() += 1;
        }
        shares
    }
}

impl Holder {
    fn is_current(&self, now: Instant) -> bool {
        now < self.updated_at + REQUEST_TTL
    }

    fn is_asking(&self) -> bool {
        self.demand != PermitDemand::default()
    }
}
