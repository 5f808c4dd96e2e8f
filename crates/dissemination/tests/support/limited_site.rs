//! A site in virtual time: callers, routers with their schedulers, hubs of which one leads, and servers
//! that name rate limits.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dissemination::{Hub, HubSettings, MemberState, PermitDesk, Summary, encode_summary};
use policy::{
    Action, BackendEntry, BackendKey, ClassSpec, LimitChange, Offer, Outcome, PermitSource,
    PoolKey, PoolSpec, Repeat, RequestRate, Scheduler, ServerHash, Settings, Spec, Ticket,
    WorkspaceSpec,
};

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
    /// The times of arrivals.
    arrivals: Vec<u64>,
    /// Since when it has had its limit.
    limited_since_ms: u64,
}

struct Job {
    server: usize,
    answer_ms: u64,
}

struct Router {
    scheduler: Scheduler,
    pool: PoolKey,
    held: MemberState,
    sent: BTreeMap<ServerHash, Option<RequestRate>>,
    epoch: u64,
    servers: Vec<BackendKey>,
    jobs: BTreeMap<Ticket, Job>,
    is_up: bool,
    is_cut_off: bool,
}

/// What became of the callers' requests.
#[derive(Debug, Default, Clone, Copy)]
pub struct Callers {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
}

pub struct Site {
    start: Instant,
    pub now_ms: u64,
    request_every_ms: u64,
    next_id: u64,
    servers: Vec<Server>,
    routers: Vec<Router>,
    hubs: Vec<Hub>,
    desk: PermitDesk,
    /// The hub that issues permits.
    pub leader: Option<usize>,
    pub callers: Callers,
    /// Bytes of the exchanges of the first router about limits and permits, with their times.
    pub bytes: Vec<(u64, usize)>,
}

impl Site {
    pub fn new(routers: usize, hubs: usize, request_every_ms: u64) -> Site {
        let start = Instant::now();
        let new_hub = |epoch| Hub::new(HubSettings { epoch, ..HubSettings::default() });
        let server = |idx| Server {
            name: format!("server-{idx}"),
            limit: None,
            arrivals: Vec::new(),
            limited_since_ms: 0,
        };
        let mut site = Site {
            start,
            now_ms: 0,
            request_every_ms,
            next_id: 1,
            servers: (0..SERVERS).map(server).collect(),
            routers: Vec::new(),
            hubs: (1..=hubs as u64).map(new_hub).collect(),
            desk: PermitDesk::default(),
            leader: Some(0),
            callers: Callers::default(),
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
            if self.now_ms.is_multiple_of(self.request_every_ms) {
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
        let mut scheduler = Scheduler::new(Settings { seed, permits, ..Settings::default() });
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
                    router.jobs.insert(ticket, Job { server, answer_ms: now_ms + ANSWER_MS });
                }
                Action::Refuse { .. } => self.callers.refused += 1,
                _ => {}
            }
        }
    }

    fn answer(&mut self, idx: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let router = &mut self.routers[idx];
        let due: Vec<_> = router.jobs.extract_if(.., |_, it| it.answer_ms <= now_ms).collect();
        for (ticket, job) in due {
            let rate = self.servers[job.server].limit.and_then(RequestRate::from_per_second);
            router.scheduler.limit_named(now, ticket, rate);
            router.scheduler.first_token(ticket, now);
            router.scheduler.finished(ticket, now, Outcome::Complete { tokens: 1 });
            self.callers.served += 1;
        }
    }

    fn exchange(&mut self, idx: usize) {
        if self.hubs.is_empty() || self.routers[idx].is_cut_off {
            return;
        }
        let (now, hub) = (self.now(), idx % self.hubs.len());
        let summary = self.routers[idx].summary(now);
        let bare = self.routers[idx].held.empty_summary();
        let mut bytes = encode_summary(&summary).len() - encode_summary(&bare).len();
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
        let Router { scheduler, pool, held, .. } = router;
        scheduler.grant_permits(now, *pool, held.permits());
    }

    fn share_permits(&mut self) {
        let now = self.now();
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

impl Router {
    fn summary(&mut self, now: Instant) -> Summary {
        let entries = self.scheduler.limit_entries(now).into_iter();
        let limits = entries.filter(|it| self.sent.insert(it.server, it.rate) != Some(it.rate));
        let limits = limits.collect();
        let permit_requests = self.scheduler.permit_requests(now, self.pool);
        Summary { limits, permit_requests, ..self.held.empty_summary() }
    }
}
