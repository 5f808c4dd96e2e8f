//! A platform whose servers follow the orders of a planner.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use duties::{CallResult, ScaleOrder, ServerKind};
use scaling::{Demand, DomainServers, Observation, OrderBook, Planner, ScalingSpec, Target};

pub(crate) const BOOT: Duration = Duration::from_secs(4);
pub(crate) const SLOTS: u32 = 32;
const POOL: &str = "llm";
const STEP: Duration = Duration::from_millis(250);
/// The time between the notice and the end of reclaimed servers.
const NOTICE: Duration = Duration::from_millis(2_500);

/// The servers of one kind in a failure domain, by when they serve.
#[derive(Debug, Clone, Default)]
struct Servers {
    serving_at: Vec<Instant>,
}

impl Servers {
    fn serving(&self, now: Instant) -> u32 {
        self.serving_at.iter().filter(|it| **it <= now).count() as u32
    }

    fn resize(&mut self, now: Instant, count: u32) {
        self.serving_at.sort();
        self.serving_at.resize(count as usize, now + BOOT);
    }
}

#[derive(Debug, Clone, Default)]
struct Domain {
    firm: Servers,
    spot: Servers,
    leaving: Option<(Instant, u32)>,
    no_spot_until: Option<Instant>,
    is_cut_off: bool,
}

/// The platform with one holder of the duty.
pub(crate) struct Platform {
    pub(crate) now: Instant,
    start: Instant,
    domains: BTreeMap<String, Domain>,
    pub(crate) spec: ScalingSpec,
    pub(crate) planner: Planner,
    pub(crate) book: OrderBook,
    /// The requests at servers; `None` if no router reports any.
    pub(crate) requests: Option<u32>,
    /// The accepted and refused orders.
    pub(crate) orders: Vec<(ScaleOrder, CallResult)>,
    pub(crate) targets: Vec<Target>,
    /// The price of all servers so far, in server-seconds of firm ones.
    pub(crate) cost: f64,
}

impl Platform {
    /// A platform with so many firm servers in each failure domain.
    pub(crate) fn new(domains: &[&str], firm: u32, servers_max: u32) -> Platform {
        let spec = ScalingSpec {
            servers_min: 1,
            servers_max,
            boot: BOOT,
            spot_price_permille: Some(180),
            domain_prices_permille: domains
                .iter()
                .zip([1_000, 800, 1_250])
                .map(|it| (it.0.to_string(), it.1))
                .collect(),
            slots: SLOTS,
        };
        let now = Instant::now();
        let servers = Servers { serving_at: vec![now; firm as usize] };
        let domain = Domain { firm: servers, ..Domain::default() };
        Platform {
            now,
            start: now,
            domains: domains.iter().map(|it| (it.to_string(), domain.clone())).collect(),
            planner: Planner::new(spec.clone()),
            spec,
            book: OrderBook::default(),
            requests: None,
            orders: Vec::new(),
            targets: Vec::new(),
            cost: 0.0,
        }
    }

    /// Three failure domains whose servers have been exchanged for spot servers.
    pub(crate) fn exchanged(firm: u32, servers_max: u32) -> Platform {
        let mut platform = Platform::new(&["a", "b", "c"], firm, servers_max);
        platform.run(Duration::from_secs(20), |_| {});
        assert_eq!(platform.counts(), (0, 3 * firm));
        platform
    }

    /// Lets time pass; `check` sees each step.
    pub(crate) fn run(&mut self, time: Duration, mut check: impl FnMut(&mut Platform)) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            check(self);
        }
    }

    /// The time since the start in seconds.
    pub(crate) fn seconds(&self) -> f64 {
        self.now.duration_since(self.start).as_secs_f64()
    }

    /// The firm and the spot servers that serve and stay.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let serving = self.observation().servers;
        (serving.values().map(|it| it.firm).sum(), serving.values().map(|it| it.spot).sum())
    }

    /// The servers that serve, those that leave included.
    pub(crate) fn serving(&self) -> u32 {
        self.observation().servers.values().map(|it| it.firm + it.spot + it.spot_leaving).sum()
    }

    /// The servers of the last targets, of both kinds.
    pub(crate) fn targeted(&self) -> (u32, u32) {
        (
            self.targets.iter().filter_map(|it| it.firm).sum(),
            self.targets.iter().map(|it| it.spot).sum(),
        )
    }

    /// Takes back all spot servers of a failure domain; there are none there for so long.
    pub(crate) fn reclaim(&mut self, name: &str, no_spot: Duration) {
        let now = self.now;
        let domain = self.domains.get_mut(name).expect("a failure domain");
        domain.leaving = Some((now + NOTICE, domain.spot.serving(now)));
        domain.spot = Servers::default();
        domain.no_spot_until = Some(now + no_spot);
    }

    /// No spot servers are available anywhere for so long.
    pub(crate) fn exhaust(&mut self, time: Duration) {
        let until = self.now + time;
        self.domains.values_mut().for_each(|it| it.no_spot_until = Some(until));
    }

    /// Some spot servers of a failure domain crash and serve again after a time.
    pub(crate) fn crash(&mut self, name: &str, count: usize, time: Duration) {
        let until = self.now + time;
        let domain = self.domains.get_mut(name).expect("a failure domain");
        domain.spot.serving_at.iter_mut().take(count).for_each(|it| *it = until);
    }

    /// Some firm servers of a failure domain serve only after a time.
    pub(crate) fn start_firm(&mut self, name: &str, count: usize, time: Duration) {
        let until = self.now + time;
        let domain = self.domains.get_mut(name).expect("a failure domain");
        domain.firm.serving_at.iter_mut().take(count).for_each(|it| *it = until);
    }

    /// Cuts a failure domain off from the platform, so that the list does not name its servers.
    pub(crate) fn cut_off(&mut self, name: &str, is_cut_off: bool) {
        self.domains.get_mut(name).expect("a failure domain").is_cut_off = is_cut_off;
    }

    /// Another VM becomes the holder. It has observed the demand if `has_observed`.
    pub(crate) fn replace_holder(&mut self, has_observed: bool) {
        let now = self.now;
        match has_observed {
            true => self.planner.observe(now, &self.observation()),
            false => self.planner = Planner::new(self.spec.clone()),
        }
        self.book.clear();
    }

    fn observation(&self) -> Observation {
        let now = self.now;
        let listed = self.domains.iter().filter(|it| !it.1.is_cut_off);
        let servers = listed.filter_map(|(name, it)| {
            let spot_leaving = it.leaving.filter(|it| now < it.0).map_or(0, |it| it.1);
            let (firm, spot) = (it.firm.serving(now), it.spot.serving(now));
            let servers = DomainServers { firm, spot, spot_leaving };
            (servers != DomainServers::default()).then(|| (name.clone(), servers))
        });
        let demand = |at_servers| Demand { at_servers, ..Demand::default() };
        Observation { servers: servers.collect(), demand: self.requests.map(demand) }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let observation = self.observation();
        let targets = self.planner.plan(now, &observation);
        for target in &targets {
            let listed = observation.servers.get(&target.failure_domain).cloned();
            self.book.set_target(now, POOL, target, &listed.unwrap_or_default(), BOOT);
        }
        if !targets.is_empty() {
            self.targets = targets;
        }
        for due in self.book.take_due(now) {
            let result = self.answer(&due.order);
            self.book.ended(now, &due.order, Some(result));
            if result == CallResult::Conflict && due.order.kind == ServerKind::Spot {
                self.planner.spot_refused(now, &due.order.failure_domain);
            }
            self.orders.push((due.order, result));
        }
        self.bill();
    }

    fn answer(&mut self, order: &ScaleOrder) -> CallResult {
        let now = self.now;
        let domain = self.domains.get_mut(&order.failure_domain).expect("a failure domain");
        let is_exhausted = domain.no_spot_until.is_some_and(|it| now < it);
        let (servers, other) = match order.kind {
            ServerKind::Spot => (&mut domain.spot, &domain.firm),
            ServerKind::Firm => (&mut domain.firm, &domain.spot),
        };
        let both = order.count + other.serving_at.len() as u32;
        assert!(both <= self.spec.servers_max, "{order:?} makes {both} servers");
        let more = order.count as usize > servers.serving_at.len();
        if more && is_exhausted && order.kind == ServerKind::Spot {
            return CallResult::Conflict;
        }
        servers.resize(now, order.count);
        CallResult::Accepted
    }

    fn bill(&mut self) {
        for domain in self.domains.values() {
            let (firm, spot) = (domain.firm.serving_at.len(), domain.spot.serving_at.len());
            self.cost += (firm as f64 + 0.18 * spot as f64) * STEP.as_secs_f64();
        }
    }
}
