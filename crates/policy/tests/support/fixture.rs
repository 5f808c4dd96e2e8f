//! A test fixture: a scheduler with one pool, some servers and a clock that tests advance.
#![allow(dead_code, unreachable_pub)]

use std::time::{Duration, Instant};

use policy::{
    Action, BackendEntry, BackendKey, ClassSpec, LoadReport, Offer, Outcome, PoolKey, PoolSpec,
    Refusal, Repeat, Scheduler, Settings, Spec, Ticket, WorkspaceSpec,
};

use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// A scheduler under test and the keys of its pool and servers.
pub struct Fixture {
    pub scheduler: Scheduler,
    pub start: Instant,
    pub now: Instant,
    pub pool: PoolKey,
    pub backends: Vec<BackendKey>,
    next_hash: u64,
}

/// A configuration with a fixed seed, so that property tests run the same cases each time.
pub fn deterministic(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

pub fn class(name: &str, priority: u8, share_permille: u32) -> ClassSpec {
    ClassSpec { name: name.to_owned(), priority, share_permille, ..ClassSpec::default() }
}

pub fn workspaces(names: &[&str]) -> Vec<WorkspaceSpec> {
    let names = names.iter().map(|it| (*it).to_owned());
    names.map(|name| WorkspaceSpec { name, ..WorkspaceSpec::default() }).collect()
}

pub fn spec(classes: Vec<ClassSpec>, slots: u32) -> Spec {
    Spec {
        revision: 1,
        classes,
        pools: vec![PoolSpec { name: "pool".to_owned(), slots, ..PoolSpec::default() }],
        workspaces: workspaces(&["a", "b"]),
    }
}

impl Fixture {
    pub fn new(classes: Vec<ClassSpec>, servers: usize, slots: u32) -> Self {
        Self::with(Settings::default(), spec(classes, slots), servers)
    }

    pub fn with(settings: Settings, spec: Spec, servers: usize) -> Self {
        let mut scheduler = Scheduler::new(settings);
        scheduler.configure(spec).expect("the spec of the test is valid");
        let pool = scheduler.pool("pool").expect("the spec names the pool");
        let now = Instant::now();
        let mut fixture =
            Self { scheduler, start: now, now, pool, backends: Vec::new(), next_hash: 1 };
        for idx in 0..servers {
            let key = fixture.list_server(&format!("s{idx}"), 1).expect("the pool is known");
            fixture.backends.push(key);
        }
        fixture
    }

    pub fn entry<'a>(&self, name: &'a str, incarnation: u64) -> BackendEntry<'a> {
        BackendEntry { name, pool: self.pool, incarnation }
    }

    /// Reports a server as listed and live; returns `None` if the pool is unknown.
    pub fn list_server(&mut self, name: &str, incarnation: u64) -> Option<BackendKey> {
        let entry = self.entry(name, incarnation);
        self.scheduler.backend_live(self.now, &entry)
    }

    /// The place of a server in `backends`.
    pub fn server_index(&self, key: BackendKey) -> usize {
        self.backends.iter().position(|it| *it == key).expect("the fixture has the server")
    }

    pub fn new_offer(&mut self, class: &str, workspace: &str) -> Offer {
        self.next_hash += 1;
        Offer {
            class: self.scheduler.class(class).expect("the class is in the spec"),
            workspace: self.scheduler.workspace(workspace).expect("the workspace is in the spec"),
            pool: self.pool,
            prefix_hash: 0,
            request_hash: self.next_hash,
            max_tokens: Some(100),
            repeat: Repeat::Idempotent,
        }
    }

    pub fn try_offer(&mut self, class: &str, workspace: &str) -> Result<Ticket, Refusal> {
        let offer = self.new_offer(class, workspace);
        self.scheduler.offer(self.now, offer)
    }

    pub fn offer(&mut self, class: &str) -> Ticket {
        self.try_offer(class, "a").expect("the queue has room")
    }

    pub fn offer_many(&mut self, class: &str, count: usize) -> Vec<Ticket> {
        (0..count).map(|_| self.offer(class)).collect()
    }

    pub fn poll(&mut self) -> Vec<Action> {
        self.scheduler.poll(self.now)
    }

    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    pub fn finish(&mut self, ticket: Ticket) {
        self.scheduler.finished(ticket, self.now, Outcome::Complete { tokens: 100 });
    }

    /// Reports the first token of each stream and `count` more, one every `gap_ms`.
    pub fn stream_tokens(&mut self, tickets: &[Ticket], gap_ms: u64, count: u32) {
        tickets.iter().for_each(|it| self.scheduler.first_token(*it, self.now));
        for _ in 0..count {
            self.advance(gap_ms);
            tickets.iter().for_each(|it| self.scheduler.tokens(*it, self.now, 1));
        }
    }

    /// Polls and returns the dispatched requests with their servers.
    pub fn poll_dispatches(&mut self) -> Vec<(Ticket, BackendKey)> {
        self.poll().iter().filter_map(as_dispatch).collect()
    }
}

pub fn as_dispatch(action: &Action) -> Option<(Ticket, BackendKey)> {
    match action {
        Action::Dispatch { ticket, backend } => Some((*ticket, *backend)),
        _ => None,
    }
}

pub fn load_report(incarnation: u64, running: u32, batch_max: u32) -> LoadReport {
    LoadReport {
        incarnation: Some(incarnation),
        running,
        waiting: 0,
        batch_max,
        kv_used_permille: 0,
        age: Duration::from_secs(1),
    }
}
