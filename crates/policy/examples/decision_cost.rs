//! Runs the scheduler in a steady overload, so that a profiler can count instructions per request.
//!
//! The arguments are the numbers of servers, classes, workspaces and requests, and the number of
//! polls per request beyond the two that it needs. A request consists of an offer, a poll, 20
//! chunks of tokens, its end and a poll. The example prints the growth of the resident memory.

use std::{
    collections::VecDeque,
    env, fs,
    time::{Duration, Instant},
};

use policy::{
    Action, BackendEntry, ClassKey, ClassSpec, Offer, Outcome, PoolKey, PoolSpec, Repeat,
    Scheduler, Settings, Spec, Ticket, WorkspaceKey, WorkspaceSpec,
};

const CHUNKS: u32 = 20;
const SLOTS: u32 = 2;
const QUEUED_REQUESTS: usize = 500;
const PAGE_BYTES: u64 = 4_096;

struct Bench {
    scheduler: Scheduler,
    now: Instant,
    classes: Vec<ClassKey>,
    workspaces: Vec<WorkspaceKey>,
    pool: PoolKey,
    running: VecDeque<Ticket>,
    offered: u64,
}

fn main() {
    let args: Vec<usize> = env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let [servers, classes, workspaces, requests, extra_polls] = args[..] else {
        eprintln!(
            "expected five numbers: servers, classes, workspaces, requests and extra polls per request"
        );
        return;
    };
    let before_bytes = resident_bytes();
    let mut bench = Bench::new(servers, classes, workspaces);
    for _ in 0..requests {
        bench.one_request();
        (0..extra_polls).for_each(|_| bench.poll());
    }
    let growth_bytes = resident_bytes().saturating_sub(before_bytes);
    println!(
        "servers={servers} classes={classes} workspaces={workspaces} resident_bytes={growth_bytes}"
    );
}

impl Bench {
    fn new(servers: usize, classes: usize, workspaces: usize) -> Self {
        let mut scheduler = Scheduler::new(Settings::default());
        scheduler.configure(spec(classes, workspaces)).expect("the rows are valid");
        let pool = scheduler.pool("pool").expect("the pool is configured");
        let now = Instant::now();
        for idx in 0..servers {
            let name = format!("server-{idx}");
            let entry = BackendEntry { name: &name, pool, incarnation: 1 };
            scheduler.backend_live(now, &entry);
        }
        let classes = (0..classes).filter_map(|it| scheduler.class(&format!("class-{it}")));
        let workspaces = (0..workspaces).filter_map(|it| scheduler.workspace(&format!("w-{it}")));
        let (classes, workspaces) = (classes.collect(), workspaces.collect());
        let mut bench = Self {
            scheduler,
            now,
            classes,
            workspaces,
            pool,
            running: VecDeque::new(),
            offered: 0,
        };
        (0..QUEUED_REQUESTS + servers * SLOTS as usize).for_each(|_| bench.offer());
        bench.poll();
        bench
    }

    fn one_request(&mut self) {
        self.offer();
        self.poll();
        let Some(ticket) = self.running.pop_front() else { return };
        self.now += Duration::from_micros(500);
        self.scheduler.first_token(ticket, self.now);
        for _ in 0..CHUNKS {
            self.scheduler.tokens(ticket, self.now, 1);
        }
        self.scheduler.finished(ticket, self.now, Outcome::Complete { tokens: CHUNKS + 1 });
        self.poll();
    }

    fn offer(&mut self) {
        self.offered += 1;
        let idx = self.offered as usize;
        let offer = Offer {
            class: self.classes[idx % self.classes.len()],
            workspace: self.workspaces[idx * 7 % self.workspaces.len()],
            pool: self.pool,
            prefix_hash: 1 + self.offered % 100,
            request_hash: self.offered,
            max_tokens: Some(CHUNKS + 1),
            repeat: Repeat::Idempotent,
        };
        // Refused offers are part of the measured work.
        let _ = self.scheduler.offer(self.now, offer);
    }

    fn poll(&mut self) {
        for action in self.scheduler.poll(self.now) {
            match action {
                Action::Dispatch { ticket, .. } | Action::Resume { ticket, .. } => {
                    self.running.push_back(ticket);
                }
                Action::Pause { ticket, .. } => self.running.retain(|it| *it != ticket),
                _ => {}
            }
        }
    }
}

fn spec(classes: usize, workspaces: usize) -> Spec {
    let class = |it: usize| ClassSpec {
        name: format!("class-{it}"),
        priority: it as u8,
        share_permille: 50,
        ..ClassSpec::default()
    };
    let workspace = |it| WorkspaceSpec { name: format!("w-{it}"), ..WorkspaceSpec::default() };
    Spec {
        revision: 1,
        classes: (0..classes).map(class).collect(),
        pools: vec![PoolSpec { name: "pool".to_owned(), slots: SLOTS, ..PoolSpec::default() }],
        workspaces: (0..workspaces).map(workspace).collect(),
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
