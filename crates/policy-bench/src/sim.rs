//! The event loop in virtual time: arrivals, messages with a fixed lag, engine steps, faults.

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
    baselines::{Direct, Spread, StrictPriority},
    policy_router::PolicyRouter,
    report::{Results, Tally},
    router::{AttemptFailure, AttemptId, Router},
    server::Server,
    workload::Workload,
};

/// How the routers decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum Design {
    /// The policy crate; other routers' load is known from lagging reports.
    Independent,
    /// The policy crate; each server's slots are leased by its owner router by demand.
    Leases,
    /// The policy crate; each server is used by its owner router alone, and a request is forwarded
    /// to the owner of a server drawn by its hash.
    Forward,
    /// Each server in its turn.
    RoundRobin,
    /// The server with the fewest requests of the router.
    LeastInFlight,
    /// Priority alone, with an equal part of each server's slots for each router.
    StrictPriority,
}

const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_secs(1);
const REPORT_BYTES: u64 = 24;
/// Time after the last arrival until which requests may finish.
const DRAIN: Duration = Duration::from_secs(121);

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Forwarded { job: usize, router: usize },
    Deadline(usize),
    AtServer(usize, ToServer),
    StepEnd { server: usize, seq: u64 },
    AtRouter(usize, ToRouter),
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
    produced: u32,
    produced_in_window: u64,
}

struct Sim<'a> {
    workload: &'a Workload,
    design: Design,
    base: Instant,
    now: Duration,
    seq: u64,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    free_events: Vec<usize>,
    servers: Vec<Server>,
    routers: Vec<Option<Box<dyn Router>>>,
    wakeups: Vec<Option<Duration>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    leases: leases::Ledger,
    tally: Tally,
}

/// Runs the workload under the design and returns what came of it.
pub fn run(workload: &Workload, design: Design) -> Results {
    let mut sim = Sim::new(workload, design);
    sim.schedule_all();
    while let Some((at, event)) = sim.next_event() {
        if at > workload.settings.duration + DRAIN {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.tally.finish(workload, design)
}

impl<'a> Sim<'a> {
    fn new(workload: &'a Workload, design: Design) -> Self {
        let base = Instant::now();
        let count = workload.settings.routers;
        let routers = (0..count).map(|it| Some(new_router(workload, design, it, base)));
        Self {
            workload,
            design,
            base,
            now: Duration::ZERO,
            seq: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_events: Vec::new(),
            servers: (0..workload.servers).map(|_| Server::new(workload.engine.clone())).collect(),
            routers: routers.collect(),
            wakeups: vec![None; count],
            attempts: BTreeMap::new(),
            leases: leases::Ledger::new(workload),
            tally: Tally::new(workload),
        }
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn schedule_all(&mut self) {
        for (idx, arrival) in self.workload.arrivals.iter().enumerate() {
            self.at(arrival.at, Event::Arrive(idx));
        }
        for (idx, fault) in self.workload.settings.faults.iter().enumerate() {
            self.at(fault.at, Event::Fault(idx));
        }
        for server in 0..self.servers.len() {
            self.at(Duration::ZERO, Event::Report(server));
        }
        if self.design == Design::Leases {
            self.at(Duration::ZERO, Event::LeaseTick);
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        let slot = self.free_events.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.queue.push(Reverse((at, self.seq, slot)));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn next_event(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        self.free_events.push(slot);
        self.events[slot].take().map(|it| (at, it))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Forwarded { job, router } => self.arrive_at(job, router),
            Event::Deadline(job) => self.deadline(job),
            Event::AtServer(server, message) => self.at_server(server, message),
            Event::StepEnd { server, seq } => self.step_end(server, seq),
            Event::AtRouter(router, message) => self.at_router(router, message),
            Event::Wakeup(router) => self.wakeup(router),
            Event::Report(server) => self.send_reports(server),
            Event::LeaseTick => self.lease_tick(),
            Event::Fault(idx) => self.fault(idx),
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
        Design::RoundRobin => Box::new(Direct::new(idx, servers, Spread::RoundRobin)),
        Design::LeastInFlight => Box::new(Direct::new(idx, servers, Spread::LeastInFlight)),
        Design::StrictPriority => {
            let slots = workload.engine.batch_max.div_ceil(routers);
            Box::new(StrictPriority::new(idx, servers, workload.classes.len(), slots))
        }
    }
}

impl Design {
    /// Whether requests carry their class's priority to the engine.
    fn tells_priority(self) -> bool {
        !matches!(self, Design::RoundRobin | Design::LeastInFlight)
    }
}
