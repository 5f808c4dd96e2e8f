//! A site in virtual time: callers, routers with their schedulers, hubs of which one leads, and servers
//! that name rate limits, or fail if they have to reject too much.
#![allow(dead_code, unreachable_pub)]

#[path = "room.rs"]
mod room;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use dissemination::{
    Hub, HubSettings, MemberState, PermitDesk, ServerWork, Summary, encode_summary,
};
use policy::{
    Action, BackendEntry, BackendKey, ClassSpec, Execution, Failure, FragileAnswer, LimitChange,
    Offer, OtherLoad, Outcome, Pacing, PendingWork, PermitSource, PoolKey, PoolSpec, ProbeResult,
    Repeat, RequestRate, RetryDecision, Scheduler, ServerHash, Settings, Spec, Ticket,
    WorkspaceSpec,
};
use room::{Admission, Room};

const TICK_MS: u64 = 10;
const EXCHANGE_MS: u64 = 250;
/// Routers of one hub above which they exchange half as often.
const SMALL_DOMAIN_ROUTERS_MAX: usize = 16;
const PERMIT_MS: u64 = 250;
/// Time from its arrival until a request is answered.
const ANSWER_MS: u64 = 60;
pub const SERVERS: usize = 12;
/// The users' bound on the requests to a limited server in a span, from some time after the first naming.
const SPAN_MS: u64 = 4_000;
const GRACE_MS: u64 = 3_000;
const TOLERANCE: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
const POOL: &str = "pool";

struct Server {
    name: String,
    limit: Option<f64>,
    /// The places of a server that fails if it has to reject too much.
    room: Option<Room>,
    /// The times of arrivals.
    arrivals: Vec<u64>,
    /// Since when it has had its limit.
    limited_since_ms: u64,
}

struct Job {
    server: usize,
    /// When it ends, and how.
    end_ms: u64,
    end: Outcome,
}

/// The places of a server.
#[derive(Debug, Clone, Copy)]
pub struct Places {
    pub running: u32,
    pub waiting_max: usize,
    pub rejections_max: usize,
}

struct Router {
    scheduler: Scheduler,
    pool: PoolKey,
    held: MemberState,
    sent: BTreeMap<ServerHash, Option<RequestRate>>,
    epoch: u64,
    servers: Vec<BackendKey>,
    jobs: BTreeMap<Ticket, Job>,
    /// The requests that were sent to a server before.
    sent_before: BTreeSet<Ticket>,
    is_up: bool,
    is_cut_off: bool,
}

/// What became of the callers' requests.
#[derive(Debug, Default, Clone, Copy)]
pub struct Callers {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
}

pub struct Site {
    start: Instant,
    pub now_ms: u64,
    requests_per_s: f64,
    /// The part of the next request that is due.
    due_requests: f64,
    next_id: u64,
    servers: Vec<Server>,
    routers: Vec<Router>,
    hubs: Vec<Hub>,
    desk: PermitDesk,
    /// The hub that issues permits.
    pub leader: Option<usize>,
    pub callers: Callers,
    /// The times at which requests reached a server that had reached one before.
    pub repeats_ms: Vec<u64>,
    /// Bytes of the exchanges of the first router about limits and permits, with their times.
    pub bytes: Vec<(u64, usize)>,
}

impl Site {
    pub fn new(routers: usize, hubs: usize, requests_per_s: f64) -> Site {
        let start = Instant::now();
        let new_hub = |epoch| Hub::new(HubSettings { epoch, ..HubSettings::default() });
        let server = |idx| Server {
            name: format!("server-{idx}"),
            limit: None,
            room: None,
            arrivals: Vec::new(),
            limited_since_ms: 0,
        };
        let mut site = Site {
            start,
            now_ms: 0,
            requests_per_s,
            due_requests: 0.0,
            next_id: 1,
            servers: (0..SERVERS).map(server).collect(),
            routers: Vec::new(),
            hubs: (1..=hubs as u64).map(new_hub).collect(),
            desk: PermitDesk::default(),
            leader: Some(0),
            callers: Callers::default(),
            repeats_ms: Vec::new(),
            bytes: Vec::new(),
        };
        for idx in 0..routers {
            let router = site.new_router(idx);
            site.routers.push(router);
        }
        site
    }

    /// Lets a server name a limit in its answers from now on, or none.
    pub fn limit(&mut self, server: usize, limit: Option<f64>) {
        self.servers[server].limit = limit;
        self.servers[server].limited_since_ms = self.now_ms;
    }

    /// Gives all servers places, and lets them say in their answers that they fail if they have to reject
    /// more than they can.
    pub fn set_places(&mut self, places: Places) {
        let Places { running, waiting_max, rejections_max } = places;
        for (seed, server) in (0..).zip(&mut self.servers) {
            server.room = Some(Room::new(seed, running as usize, waiting_max, rejections_max));
        }
        for router in &mut self.routers {
            for server in &router.servers {
                router.scheduler.set_slots(*server, running);
            }
        }
    }

    /// Changes how many requests may wait at each server.
    pub fn set_waiting_max(&mut self, waiting_max: usize) {
        let rooms = self.servers.iter_mut().filter_map(|it| it.room.as_mut());
        rooms.for_each(|it| it.set_waiting_max(waiting_max));
    }

    /// How often servers failed.
    pub fn failures(&self) -> usize {
        self.servers.iter().filter_map(|it| Some(it.room.as_ref()?.failed_ms.len())).sum()
    }

    pub fn restart_router(&mut self, idx: usize) {
        self.routers[idx] = self.new_router(idx);
    }

    pub fn cut_off_router(&mut self, idx: usize, is_cut_off: bool) {
        self.routers[idx].is_cut_off = is_cut_off;
    }

    pub fn restart_hub(&mut self, idx: usize) {
        let epoch = self.now_ms + 100 + idx as u64;
        self.hubs[idx] = Hub::new(HubSettings { epoch, ..HubSettings::default() });
    }

    pub fn change_leader(&mut self, leader: Option<usize>) {
        self.leader = leader;
        self.desk = PermitDesk::default();
    }

    pub fn play(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.due_requests += self.requests_per_s * TICK_MS as f64 / 1e3;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.send_request();
            }
            if self.now_ms.is_multiple_of(PERMIT_MS) {
                self.share_permits();
            }
            for idx in 0..self.routers.len() {
                let per_hub = self.routers.len() / self.hubs.len().max(1);
                let is_small = per_hub <= SMALL_DOMAIN_ROUTERS_MAX;
                let period_ms = if is_small { EXCHANGE_MS } else { 2 * EXCHANGE_MS };
                if (self.now_ms + idx as u64 * 70).is_multiple_of(period_ms) {
                    self.exchange(idx);
                }
                self.answer(idx);
                self.run_actions(idx);
            }
            self.now_ms += TICK_MS;
        }
    }

    /// The requests that a server got within a span.
    pub fn arrivals(&self, server: usize, from_ms: u64, to_ms: u64) -> usize {
        let arrivals = self.servers[server].arrivals.iter();
        arrivals.filter(|it| (from_ms..to_ms).contains(it)).count()
    }

    /// Checks that each limited server got no more in any span than the users allow since it has had its
    /// limit.
    pub fn check_limits(&self, what: &str) {
        for (idx, server) in self.servers.iter().enumerate() {
            let Some(limit) = server.limit else { continue };
            let bound = TOLERANCE * limit * SPAN_MS as f64 / 1e3 + EXTRA_REQUESTS;
            let counted = server.limited_since_ms + GRACE_MS;
            let ends = server.arrivals.iter().filter(|it| **it >= counted);
            let most = ends.map(|it| {
                self.arrivals(idx, (it + 1).saturating_sub(SPAN_MS).max(counted), it + 1)
            });
            let most = most.max().unwrap_or_default();
            assert!(most as f64 <= bound, "{what}: server {idx} got {most}, allowed {bound}");
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn new_router(&self, idx: usize) -> Router {
        let permits = if self.hubs.is_empty() { PermitSource::Own } else { PermitSource::Hub };
        let seed = 7 + idx as u64 + self.now_ms;
        let mut scheduler = Scheduler::new(Settings {
            seed,
            permits,
            others: OtherLoad::Decaying,
            pacing: Pacing::Off,
            retry_burst: 1,
            ..Settings::default()
        });
        let class =
            ClassSpec { name: "read".to_owned(), deadline_ms: 3_000, ..ClassSpec::default() };
        let pool = PoolSpec { name: POOL.to_owned(), slots: 64, ..PoolSpec::default() };
        let workspace = WorkspaceSpec { name: "north".to_owned(), ..WorkspaceSpec::default() };
        let (classes, pools, workspaces) = (vec![class], vec![pool], vec![workspace]);
        scheduler
            .configure(Spec { revision: 1, classes, pools, workspaces })
            .expect("the spec is valid");
        let pool = scheduler.pool(POOL).expect("the spec names the pool");
        let now = self.now();
        let mut list = |server: &Server| {
            let entry = BackendEntry { name: &server.name, pool, incarnation: 1 };
            scheduler.backend_live(now, &entry).expect("the pool is known")
        };
        let servers = self.servers.iter().map(&mut list).collect();
        Router {
            scheduler,
            pool,
            held: MemberState::new(&format!("router-{idx}-{}", self.now_ms)),
            sent: BTreeMap::new(),
            epoch: 0,
            servers,
            jobs: BTreeMap::new(),
            sent_before: BTreeSet::new(),
            is_up: true,
            is_cut_off: false,
        }
    }

    fn send_request(&mut self) {
        self.next_id += 1;
        let idx = (self.next_id % self.routers.len() as u64) as usize;
        let (now, router) = (self.now(), &mut self.routers[idx]);
        let offer = Offer {
            class: router.scheduler.class("read").expect("the spec names the class"),
            workspace: router.scheduler.workspace("north").expect("the spec names the workspace"),
            pool: router.pool,
            prefix_hash: 0,
            request_hash: self.next_id,
            max_tokens: None,
            repeat: Repeat::Idempotent,
        };
        self.callers.sent += 1;
        match router.scheduler.offer(now, offer) {
            Ok(_) => self.run_actions(idx),
            Err(_) => self.callers.refused += 1,
        }
    }

    fn run_actions(&mut self, idx: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let router = &mut self.routers[idx];
        for action in router.scheduler.poll(now) {
            match action {
                Action::Dispatch { ticket, backend } => {
                    let server = router.servers.iter().position(|it| *it == backend);
                    let server = server.expect("a listed server");
                    router.scheduler.dispatched(ticket, now);
                    self.servers[server].arrivals.push(now_ms);
                    if !router.sent_before.insert(ticket) {
                        self.repeats_ms.push(now_ms);
                    }
                    let (end_ms, end) = self.servers[server].admit(now_ms);
                    router.jobs.insert(ticket, Job { server, end_ms, end });
                }
                Action::Probe { backend } => {
                    let server = router.servers.iter().position(|it| *it == backend);
                    let room = &self.servers[server.expect("a listed server")].room;
                    let is_up = room.as_ref().is_none_or(|it| it.is_up(now_ms));
                    let result = if is_up { ProbeResult::Alive } else { ProbeResult::Dead };
                    router.scheduler.probe_result(backend, now, result);
                }
                Action::Refuse { .. } => self.callers.refused += 1,
                _ => {}
            }
        }
    }

    fn answer(&mut self, idx: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let router = &mut self.routers[idx];
        let failed = |it: &Job| {
            let room = self.servers[it.server].room.as_ref();
            let has_answer = matches!(it.end, Outcome::Complete { .. });
            has_answer && room.is_some_and(|it| !it.is_up(now_ms))
        };
        let due = router.jobs.extract_if(.., |_, it| it.end_ms <= now_ms || failed(it));
        for (ticket, job) in due.collect::<Vec<_>>() {
            let end = match failed(&job) {
                true => Outcome::Failed(Failure::Reset, Execution::MayHaveRun),
                false => job.end,
            };
            let is_answer =
                !matches!(end, Outcome::Failed(Failure::Reset | Failure::ConnectRefused, _));
            let server = &self.servers[job.server];
            if is_answer && server.room.is_some() {
                let rejections_max = server.rejections_max();
                let is_rejection = matches!(end, Outcome::Failed(Failure::Overloaded, _));
                let answer = FragileAnswer { rejections_max, is_rejection, named: None };
                router.scheduler.fragile_named(now, ticket, answer);
            } else if is_answer {
                let rate = server.limit.and_then(RequestRate::from_per_second);
                router.scheduler.limit_named(now, ticket, rate);
            }
            if let Outcome::Complete { .. } = end {
                router.scheduler.first_token(ticket, now);
                router.scheduler.finished(ticket, now, end);
                self.callers.served += 1;
            } else if let RetryDecision::GiveUp(_) = router.scheduler.retry(ticket, end, now) {
                self.callers.failed += 1;
            }
        }
    }

    fn exchange(&mut self, idx: usize) {
        if self.hubs.is_empty() || self.routers[idx].is_cut_off {
            return;
        }
        let (now, hub) = (self.now(), idx % self.hubs.len());
        let summary = self.routers[idx].summary(now);
        let bare = self.routers[idx].held.empty_summary();
        let told = Summary { work: Vec::new(), ..summary.clone() };
        let mut bytes = encode_summary(&told).len() - encode_summary(&bare).len();
        let digest = self.hubs[hub].exchange(now, summary);
        let told = Summary { limits: digest.limits.clone(), ..bare.clone() };
        bytes +=
            encode_summary(&told).len() - encode_summary(&bare).len() + 6 * digest.permits.len();
        if idx == 0 {
            self.bytes.push((self.now_ms, bytes));
        }
        let news = self.hubs[hub].take_news(now);
        for other in (0..self.hubs.len()).filter(|it| *it != hub) {
            self.hubs[other].merge_news(now, news.clone());
        }
        let router = &mut self.routers[idx];
        let epoch = digest.epoch;
        router.held.apply_digest(digest);
        if router.epoch != epoch {
            router.epoch = epoch;
            router.sent.clear();
        }
        for (_, entry, change) in router.scheduler.import_limits(now, router.held.new_limits()) {
            if change == LimitChange::Outdated {
                router.sent.remove(&entry.server);
            }
        }
        router.apply_others_work(now);
        let Router { scheduler, pool, held, .. } = router;
        scheduler.grant_permits(now, *pool, held.permits());
    }

    /// Hubs tell one another the work of their routers, and ask the leader for permits.
    fn share_permits(&mut self) {
        let now = self.now();
        for hub in 0..self.hubs.len() {
            let work = self.hubs[hub].own_work(now);
            for other in (0..self.hubs.len()).filter(|it| *it != hub) {
                self.hubs[other].update_hub_work(now, hub as u64, work.clone());
            }
        }
        for hub in 0..self.hubs.len() {
            let rows = self.hubs[hub].permit_requests(now);
            if self.leader.is_some() {
                self.desk.update(now, hub as u64, &rows);
            }
        }
        if self.leader.is_some() {
            for (hub, grants) in self.desk.issue(now) {
                self.hubs[hub as usize].permits_granted(now, &grants);
            }
        }
    }
}

/// The address of a server, whose port is its index.
fn server_addr(idx: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], idx as u16))
}

impl Server {
    /// The rejections in a second that the server says it survives.
    fn rejections_max(&self) -> u32 {
        self.room.as_ref().map_or(0, |it| it.rejections_max as u32)
    }

    /// When and how a request ends that arrives now.
    fn admit(&mut self, now_ms: u64) -> (u64, Outcome) {
        let answered = Outcome::Complete { tokens: 1 };
        match self.room.as_mut().map(|it| it.admit(now_ms)) {
            None => (now_ms + ANSWER_MS, answered),
            Some(Admission::Answered { at_ms }) => (at_ms, answered),
            Some(Admission::Rejected) => {
                (now_ms + TICK_MS, Outcome::Failed(Failure::Overloaded, Execution::NotRun))
            }
            Some(Admission::Unreachable) => {
                (now_ms + TICK_MS, Outcome::Failed(Failure::ConnectRefused, Execution::NotRun))
            }
        }
    }
}

impl Router {
    fn summary(&mut self, now: Instant) -> Summary {
        let entries = self.scheduler.limit_entries(now).into_iter();
        let limits = entries.filter(|it| self.sent.insert(it.server, it.rate) != Some(it.rate));
        let limits = limits.collect();
        let permit_requests = self.scheduler.permit_requests(now, self.pool);
        Summary { limits, permit_requests, work: self.work(), ..self.held.empty_summary() }
    }

    /// The pending work of this router at each server.
    fn work(&self) -> Vec<ServerWork> {
        let work = self.servers.iter().enumerate().map(|(idx, it)| ServerWork {
            server: self.held.server_ref(server_addr(idx)),
            work: self.scheduler.own_work(*it),
        });
        work.filter(|it| it.work != PendingWork::default()).collect()
    }

    fn apply_others_work(&mut self, now: Instant) {
        let idx_of = |addr: SocketAddr| usize::from(addr.port());
        let work = self.held.others_work().map(|(addr, work)| (self.servers[idx_of(addr)], work));
        let work: Vec<_> = work.collect();
        self.scheduler.set_others_work(now, self.pool, &work);
    }
}
