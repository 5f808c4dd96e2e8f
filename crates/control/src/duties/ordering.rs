//! Orders backend servers for the pools whose configuration allows it.
//!
//! Every control VM records the demand, so that the next holder of the duty knows it. Only the leader orders.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use ::duties::{CallResult, ScaleOrder, ServerKind, Subject};
use clock::Clock;
use dissemination::Hub;
use monoio::time;
use policy::PendingWork;
use scaling::{DueOrder, Figures, Observation, OrderBook, Planner, ScalingSpec, Target};
use tables::{Pool, Revision, Scaling, TablesParser};

use super::{DutyCaller, DutyParts, ScalingGauges, pool_demand::ListedServers};
use crate::{replica::Replica, server_feed::ServerFeed};

/// The interval at which the demand is read; routers report their work as often.
const PERIOD: Duration = Duration::from_millis(250);
/// Nothing is ordered while the newest list is older than this.
const LIST_AGE_MAX: Duration = Duration::from_secs(3);
/// The timeout of the confirmation that the state here is the newest.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// The task that orders servers while this VM leads.
pub(crate) struct Ordering {
    caller: Rc<DutyCaller>,
    replica: Rc<Replica>,
    servers: Rc<ServerFeed>,
    hub: Rc<RefCell<Hub>>,
    parser: Rc<dyn TablesParser>,
    gauges: ScalingGauges,
    clock: Rc<dyn Clock>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    lead: Option<Lead>,
    /// The version of the document that the pools are from.
    document: u64,
    pools: BTreeMap<String, PoolPlan>,
    listed: ListedServers,
    book: OrderBook,
}

/// The time in which this VM leads.
#[derive(Debug, Clone, Copy)]
struct Lead {
    since: Instant,
    /// Whether no VM has held a duty before.
    is_first: bool,
}

struct PoolPlan {
    scaling: Scaling,
    /// The slots of a server, unless the list tells them.
    slots: u32,
    planner: Planner,
    /// Whether the planner knows that this VM leads.
    has_taken_over: bool,
    /// The last targets, by failure domain.
    targets: BTreeMap<String, Target>,
}

impl Ordering {
    pub(crate) fn new(parts: &DutyParts, caller: Rc<DutyCaller>) -> Ordering {
        Ordering {
            caller,
            replica: Rc::clone(&parts.replica),
            servers: Rc::clone(&parts.servers),
            hub: Rc::clone(&parts.hub),
            parser: Rc::clone(&parts.tables_parser),
            gauges: parts.gauges.clone(),
            clock: Rc::clone(&parts.clock),
            state: RefCell::default(),
        }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(self) {
        let this = Rc::new(self);
        loop {
            time::sleep(PERIOD).await;
            this.update_lead().await;
            this.update_pools();
            for due in this.due_orders() {
                monoio::spawn(Rc::clone(&this).send(due));
            }
        }
    }

    /// Updates whether this VM leads, and whether another one has led before.
    async fn update_lead(&self) {
        if !self.caller.leads() {
            let mut state = self.state.borrow_mut();
            state.lead = None;
            state.book.clear();
            self.gauges.clear();
            return;
        }
        let is_known = self.state.borrow().lead.is_some();
        // The holder before is known once all committed entries are applied.
        if !is_known && self.replica.confirm(CONFIRM_TIMEOUT).await {
            let is_first = self.replica.fencing_holder().is_empty();
            self.state.borrow_mut().lead = Some(Lead { since: self.clock.now(), is_first });
        }
    }

    /// Reads the pools from the newest document.
    fn update_pools(&self) {
        let document = self.replica.document();
        let mut state = self.state.borrow_mut();
        if state.document == document.version {
            return;
        }
        state.document = document.version;
        match self.parser.parse(Revision(document.version), &document.text) {
            Ok(tables) => state.set_pools(&tables.pools),
            Err(reason) => tracing::warn!(event = "scaling_unread", reason),
        }
    }

    /// Decides how many servers each pool needs; returns the orders to send now.
    fn due_orders(&self) -> Vec<DueOrder> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(list) = self.servers.current().filter(|it| it.age <= LIST_AGE_MAX) else {
            return Vec::new();
        };
        if state.pools.is_empty() {
            return Vec::new();
        }
        let work = self.work(now);
        state.listed.update(list.stamp, &list.servers, work.as_ref());
        state.plan(now, work.as_ref(), &self.gauges);
        match state.lead {
            Some(_) => state.book.take_due(now),
            None => Vec::new(),
        }
    }

    /// The work at each server; `None` if no router reports any.
    fn work(&self, now: Instant) -> Option<BTreeMap<SocketAddr, PendingWork>> {
        let mut hub = self.hub.borrow_mut();
        let work = hub.all_work(now);
        let is_known = !work.is_empty() || hub.routers().next().is_some();
        is_known.then_some(work)
    }

    async fn send(self: Rc<Self>, due: DueOrder) {
        let order = due.order;
        let subject = Subject::Servers {
            pool: order.pool.clone(),
            failure_domain: order.failure_domain.clone(),
        };
        let request = self.caller.call(&subject, |api, it| api.scale_request(it, &order));
        let result = request.await;
        self.state.borrow_mut().order_ended(self.clock.now(), &order, result);
    }
}

impl State {
    fn set_pools(&mut self, pools: &[Pool]) {
        let mut former = std::mem::take(&mut self.pools);
        for pool in pools {
            let Some(scaling) = &pool.scaling else { continue };
            let slots = pool.in_flight_max;
            let plan = match former.remove(&pool.name) {
                Some(plan) => PoolPlan { scaling: scaling.clone(), slots, ..plan },
                None => PoolPlan {
                    planner: Planner::new(to_spec(scaling, slots)),
                    has_taken_over: false,
                    scaling: scaling.clone(),
                    slots,
                    targets: BTreeMap::new(),
                },
            };
            self.pools.insert(pool.name.clone(), plan);
        }
    }

    fn plan(
        &mut self,
        now: Instant,
        work: Option<&BTreeMap<SocketAddr, PendingWork>>,
        gauges: &ScalingGauges,
    ) {
        for (name, plan) in &mut self.pools {
            let servers = self.listed.by_domain(name);
            let demand = work.map(|it| self.listed.demand(name, it));
            let observation = Observation { servers, demand };
            let slots = self.listed.slots(name).unwrap_or(plan.slots);
            plan.planner.set_spec(to_spec(&plan.scaling, slots));
            let Some(lead) = self.lead else {
                plan.planner.observe(now, &observation);
                plan.has_taken_over = false;
                plan.targets.clear();
                continue;
            };
            if !std::mem::replace(&mut plan.has_taken_over, true) {
                plan.planner.took_over(lead.since, lead.is_first);
            }
            let boot = Duration::from_millis(plan.scaling.boot_ms);
            for target in plan.planner.plan(now, &observation) {
                let domain = &target.failure_domain;
                let listed = observation.servers.get(domain).cloned().unwrap_or_default();
                self.book.set_target(now, name, &target, &listed, boot);
                let kinds = [ServerKind::Firm, ServerKind::Spot];
                let accepted = kinds.map(|it| self.book.accepted(name, domain, it));
                gauges.set(name, &target, accepted, &listed);
                if plan.targets.get(domain) != Some(&target) {
                    log_target(name, &target, &observation, plan.planner.figures());
                    plan.targets.insert(domain.clone(), target);
                }
            }
        }
    }

    fn order_ended(&mut self, now: Instant, order: &ScaleOrder, result: Option<CallResult>) {
        self.book.ended(now, order, result);
        let is_refused = order.kind == ServerKind::Spot && result == Some(CallResult::Conflict);
        if let Some(plan) = self.pools.get_mut(&order.pool).filter(|_| is_refused) {
            plan.planner.spot_refused(now, &order.failure_domain);
        }
    }
}

fn to_spec(scaling: &Scaling, slots: u32) -> ScalingSpec {
    ScalingSpec {
        servers_min: scaling.servers_min,
        servers_max: scaling.servers_max,
        boot: Duration::from_millis(scaling.boot_ms),
        spot_price_permille: scaling.spot_price_permille,
        domain_prices_permille: scaling.domain_prices_permille.clone(),
        slots,
    }
}

fn log_target(pool: &str, target: &Target, observation: &Observation, figures: Figures) {
    let listed = observation.servers.get(&target.failure_domain).cloned().unwrap_or_default();
    let demand = observation.demand.unwrap_or_default();
    tracing::info!(
        event = "servers_ordered",
        pool,
        failure_domain = target.failure_domain,
        firm = target.firm,
        spot = target.spot,
        firm_serving = listed.firm,
        spot_serving = listed.spot,
        spot_leaving = listed.spot_leaving,
        requests = demand.at_servers + demand.at_routers,
        unread_tokens = demand.unread_tokens,
        needed = figures.needed,
        wanted = figures.wanted,
        domains_available = figures.domains_available,
    );
}
