//! The event loop in virtual time: arrivals, messages with a fixed latency, engine steps, faults.

mod engines;
mod faults;
mod leases;
mod routers;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use derive_more::Display;
use policy::{LoadReport, Settings};

use crate::{
    baselines::{Balancing, Direct, StrictPriority},
    policy_router::PolicyRouter,
    report::{Metrics, Results},
    router::{AttemptFailure, AttemptId, Router},
    server::Server,
    workload::Workload,
};

/// The scheduling design of the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Design {
    /// The policy crate; the load of other routers is known only from delayed load reports.
    Independent,
    /// The policy crate; the owner router of each server leases the server's slots by demand.
    Leases,
    /// The policy crate; only its owner router uses a server, and each request is forwarded to the
    /// owner of a server chosen by the request's index.
    Forward,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest requests in flight from the router.
    LeastInFlight,
    /// Strict priority, with an equal share of each server's slots for each router.
    StrictPriority,
}

/// Hedges per thousand requests of the urgent class, if it hedges.
const HEDGE_PERMILLE: u32 = 50;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_secs(1);
const REPORT_BYTES: u64 = 24;
/// Time after the last arrival in which requests may finish; 1 s more than the longest deadline.
const DRAIN_TIME: Duration = Duration::from_secs(121);

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Forwarded { job: usize, router: usize },
    Deadline(usize),
    ServerMessage(usize, ToServer),
    StepEnd { server: usize, seq: u64 },
    RouterMessage(usize, ToRouter),
    Wakeup(usize),
    Report(usize),
    LeaseTick,
    Fault(usize),
    Restart(usize),
}

#[derive(Debug)]
enum ToServer {
    Send(AttemptId),
    Pause(AttemptId),
    Resume(AttemptId),
    Cancel(AttemptId),
    Probe { router: usize },
}

#[derive(Debug)]
enum ToRouter {
    Tokens(Vec<(AttemptId, u32)>, Vec<AttemptId>),
    Failed(AttemptId, AttemptFailure),
    Report(usize, LoadReport),
    Probed(usize, Option<u64>),
    Lease { server: usize, slots: u32, expires: Duration },
}

#[derive(Debug)]
struct Attempt {
    job: usize,
    router: usize,
    server: usize,
    produced_tokens: u32,
    window_tokens: u64,
}

struct Sim<'a> {
    workload: &'a Workload,
    design: Design,
    epoch: Instant,
    now: Duration,
    seq: u64,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    free_events: Vec<usize>,
    servers: Vec<Server>,
    routers: Vec<Option<Box<dyn Router>>>,
    wakeups: Vec<Option<Duration>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    claim_table: leases::ClaimTable,
    metrics: Metrics,
}

/// Runs the workload under the design and returns the results.
pub fn run(workload: &Workload, design: Design) -> Results {
    let mut sim = Sim::new(workload, design);
    sim.schedule_initial_events();
    while let Some((at, event)) = sim.next_event() {
        if at > workload.settings.duration + DRAIN_TIME {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.metrics.results(workload, design)
}

impl<'a> Sim<'a> {
    fn new(workload: &'a Workload, design: Design) -> Self {
        let epoch = Instant::now();
        let count = workload.settings.routers;
        let routers = (0..count).map(|it| Some(new_router(workload, design, it, epoch)));
        Self {
            workload,
            design,
            epoch,
            now: Duration::ZERO,
            seq: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_events: Vec::new(),
            servers: (0..workload.servers).map(|_| Server::new(workload.engine.clone())).collect(),
            routers: routers.collect(),
            wakeups: vec![None; count],
            attempts: BTreeMap::new(),
            claim_table: leases::ClaimTable::new(workload),
            metrics: Metrics::new(workload),
        }
    }

    fn instant(&self) -> Instant {
        self.epoch + self.now
    }

    fn schedule_initial_events(&mut self) {
        for (idx, arrival) in self.workload.arrivals.iter().enumerate() {
            self.schedule_at(arrival.at, Event::Arrival(idx));
        }
        for (idx, fault) in self.workload.settings.faults.iter().enumerate() {
            self.schedule_at(fault.at, Event::Fault(idx));
        }
        for server in 0..self.servers.len() {
            self.schedule_at(Duration::ZERO, Event::Report(server));
        }
        if self.design == Design::Leases {
            self.schedule_at(Duration::ZERO, Event::LeaseTick);
        }
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        let slot = self.free_events.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.queue.push(Reverse((at, self.seq, slot)));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn next_event(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        self.free_events.push(slot);
        self.events[slot].take().map(|it| (at, it))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(job) => self.handle_arrival(job),
            Event::Forwarded { job, router } => self.offer_to_router(job, router),
            Event::Deadline(job) => self.handle_deadline(job),
            Event::ServerMessage(server, message) => self.handle_server_message(server, message),
            Event::StepEnd { server, seq } => self.handle_step_end(server, seq),
            Event::RouterMessage(router, message) => self.handle_router_message(router, message),
            Event::Wakeup(router) => self.handle_wakeup(router),
            Event::Report(server) => self.send_reports(server),
            Event::LeaseTick => self.handle_lease_tick(),
            Event::Fault(idx) => self.inject_fault(idx),
            Event::Restart(server) => self.servers[server].restart(),
        }
    }
}

fn new_router(workload: &Workload, design: Design, idx: usize, now: Instant) -> Box<dyn Router> {
    let (servers, routers) = (workload.servers, workload.settings.routers as u32);
    let settings = Settings {
        seed: workload.settings.seed * 1_000 + idx as u64,
        routers,
        pacing: workload.settings.pacing,
        hedge_permille: HEDGE_PERMILLE,
        ..Settings::default()
    };
    match design {
        Design::Independent | Design::Leases => {
            Box::new(PolicyRouter::new(workload, idx, now, settings, 0..servers))
        }
        Design::Forward => {
            let all: Vec<_> = (0..workload.settings.routers).collect();
            let owned = (0..servers).filter(|it| leases::owner_of(*it, &all) == Some(idx));
            Box::new(PolicyRouter::new(workload, idx, now, settings, owned))
        }
        Design::RoundRobin => Box::new(Direct::new(idx, servers, Balancing::RoundRobin)),
        Design::LeastInFlight => Box::new(Direct::new(idx, servers, Balancing::LeastInFlight)),
        Design::StrictPriority => {
            let slots = workload.engine.batch_max.div_ceil(routers);
            Box::new(StrictPriority::new(idx, servers, workload.classes.len(), slots))
        }
    }
}

impl Design {
    /// Returns whether the routers send the class's priority to the engine.
    fn sends_priority(self) -> bool {
        !matches!(self, Design::RoundRobin | Design::LeastInFlight)
    }
}
